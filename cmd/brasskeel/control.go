package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/transport"
)

// Every message that the core sends to peers must fit in a line of a peer stream. If MaxMessage
// exceeds MaxPeerLine, the difference is negative and this declaration doesn't compile.
const _ = uint(transport.MaxPeerLine - peers.MaxMessage)

// logLevel parses the value of the environment variable LOG_LEVEL; an empty one means info.
func logLevel(name string) (slog.Level, error) {
	switch name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, &optionError{"LOG_LEVEL", fmt.Sprintf("is %q, must be error, info or debug", name)}
}

// controllerProcess connects the core to the network: it passes requests, results of calls, peer
// messages and timer ticks to the core, and carries out the effects that the core returns.
type controllerProcess struct {
	cfg     *config.Settings
	core    *coordination.Controller
	loop    *transport.Loop
	peers   *transport.PeerStreams
	timer   *time.Timer
	timerAt time.Time     // when timer fires; zero: not set
	trace   *tracer       // nil: spans are dropped
	ready   chan struct{} // closed once the core has started
}

// runController runs a controller until its event loop ends, and never returns nil. SIGTERM ends
// the process without a return.
func runController(cfg *config.Settings, op config.Operator, trace *tracer, level slog.Level) error {
	// The process may use only a fraction of one core, so more threads would not run in
	// parallel. The Go runtime's soft limit is 60% of the memory; the rest is for sockets and
	// for what the limit does not count.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(cfg.MemoryBytes * 6 / 10)
	debug.SetGCPercent(200)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("controller", cfg.Name)

	// Output of libraries that use the standard logger is logged at debug level.
	slog.SetDefault(log)
	slog.SetLogLoggerLevel(slog.LevelDebug)

	c := &controllerProcess{cfg: cfg, trace: trace, ready: make(chan struct{})}
	c.core = coordination.New(cfg, op, log, rand.Uint64(), time.Now())
	c.loop = transport.NewLoop(cfg.ListenAddr, cfg.StateAddr, cfg.MaxSockets, c, log)
	var addrs []string
	for _, p := range cfg.Peers {
		addrs = append(addrs, p.Addr)
	}
	c.timer = time.AfterFunc(time.Hour, func() { c.loop.Post(c.tick) })
	c.timer.Stop()
	var err error
	c.peers, err = transport.NewPeerStreams(cfg.PeerListenAddr, cfg.Name, addrs, func(line []byte) {
		<-c.ready
		c.loop.Post(func() { c.apply(c.core.PeerMessage(time.Now(), line)) })
	}, log)
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w", cfg.PeerListenAddr, err)
	}
	if limit, known := descriptorLimit(); known && limit < uint64(cfg.MaxSockets+reservedDescriptors) {
		log.Warn("too few file descriptors for the configured sockets", "descriptors", limit, "sockets", cfg.MaxSockets)
	}
	log.Info("controller starting", "listen", cfg.ListenAddr, "peer_listen", cfg.PeerListenAddr, "zone", cfg.Zone)
	c.drainOnTerminate(log)
	if err := c.loop.Run(); err != nil {
		return fmt.Errorf("event loop on %s: %w", cfg.ListenAddr, err)
	}
	return errLoopExited
}

// Times of a graceful shutdown. drainTimeout limits how long a controller keeps running after
// the signal. Shards and leadership that it has not handed over by then are taken over by other
// controllers as after a crash.
const (
	drainTimeout      = 20 * time.Second
	drainPollInterval = 100 * time.Millisecond
)

// drainOnTerminate makes SIGTERM drain the controller and then end the process.
func (c *controllerProcess) drainOnTerminate(log *slog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, unix.SIGTERM)
	go func() {
		<-signals
		<-c.ready
		c.loop.Post(func() { c.apply(c.core.Drain(time.Now())) })
		for end := time.Now().Add(drainTimeout); time.Now().Before(end); time.Sleep(drainPollInterval) {
			drained := make(chan bool, 1)
			c.loop.Post(func() { drained <- c.core.Drained() })
			if <-drained {
				log.Info("controller drained")
				c.trace.close()
				os.Exit(0)
			}
		}
		log.Warn("drain timed out", "duration", drainTimeout)
		c.trace.close()
		os.Exit(0)
	}()
}

// reservedDescriptors is how many file descriptors the process needs besides sockets: for the
// standard streams, the settings files, the runtime and the event loop.
const reservedDescriptors = 16

// descriptorLimit returns the number of file descriptors that the process may open. The Go
// runtime raises the soft limit to the hard one at startup.
func descriptorLimit() (limit uint64, known bool) {
	var rlimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit); err != nil {
		return 0, false
	}
	return rlimit.Cur, true
}

// cpuTime returns the CPU time that the process has used; 0 if it can't be read.
func cpuTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Ready implements transport.Handler.
func (c *controllerProcess) Ready() {
	c.apply(c.core.Start(time.Now()))
	close(c.ready)
}

// Request implements transport.Handler.
func (c *controllerProcess) Request(id uint64, method, target string, body []byte) {
	c.apply(c.core.Request(time.Now(), id, method, target, body))
}

func (c *controllerProcess) tick() {
	c.timerAt = time.Time{}
	c.apply(c.core.Tick(time.Now()))
}

// apply carries out the effects that the core returned.
func (c *controllerProcess) apply(e coordination.Effects) {
	for i := range e.Replies {
		r := &e.Replies[i]
		c.loop.Reply(r.ID, r.Status, r.RetryAfter, r.Body, r.Close)
	}
	for i := range e.Calls {
		k := &e.Calls[i]
		addr := k.Addr
		switch k.To {
		case coordination.StateService:
			addr = c.cfg.StateAddr
		case coordination.Cloud:
			addr = c.cfg.CloudAddr
		}
		id := k.ID
		c.loop.Call(addr, k.Method, k.Target, k.Body, k.Timeout, func(status int, body []byte, err error) {
			c.apply(c.core.Result(time.Now(), id, coordination.Outcome{Status: status, Body: body,
				Answered: err == nil, NotSent: errors.Is(err, transport.ErrNotSent), Busy: errors.Is(err, transport.ErrNoSocket)}))
		})
	}
	for i := range e.Broadcasts {
		c.peers.Publish(e.Broadcasts[i].Body)
	}
	for i := range e.Unicasts {
		c.peers.Send(e.Unicasts[i].To, e.Unicasts[i].Body)
	}
	c.trace.record(e.Spans)
	if len(e.Broadcasts) > 0 { // the core broadcasts once a second
		c.core.ObserveProcessorTime(time.Now(), cpuTime())
		c.core.CountLostPeerMessages(c.peers.TakeDropped())
		k := c.loop.TakeCounts()
		c.core.CountSocketLimits(k.ClosedAfterResponse, k.ConnectionsShed, k.CallsWithoutSocket)
	}
	if next := c.core.NextTick(); !next.IsZero() && (c.timerAt.IsZero() || next.Before(c.timerAt)) {
		c.timerAt = next
		c.timer.Reset(max(0, time.Until(next)))
	}
}
