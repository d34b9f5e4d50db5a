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

// A peer's stream takes every line that the core makes: this doesn't compile otherwise.
const _ = uint(transport.MaxPeerLine - peers.MaxMessage)

func logLevel(name string) (slog.Level, error) {
	switch name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, &optionError{"LOG_LEVEL", fmt.Sprintf("is %q, not error, info or debug", name)}
}

// controllerProcess ties the core to the network: what happens goes in as steps, and
// what the steps ask for is done.
type controllerProcess struct {
	cfg     *config.Settings
	core    *coordination.Controller
	loop    *transport.Loop
	peers   *transport.PeerStreams
	timer   *time.Timer
	timerAt time.Time
	trace   *tracer       // nil: spans are dropped
	ready   chan struct{} // closed once the core has started
}

func runController(cfg *config.Settings, op config.Operator, trace *tracer, level slog.Level) error {
	// The program's share is a fraction of one core: more threads would only
	// take turns. Half of the memory is left for the runtime and the sockets.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(cfg.MemoryBytes * 6 / 10)
	debug.SetGCPercent(200)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("controller", cfg.Name)

	// Libraries that use the standard logger are heard at debug level.
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
		return err
	}
	if most, known := descriptorLimit(); known && most < uint64(cfg.MaxSockets+reservedDescriptors) {
		log.Warn("too few file descriptors for the configured sockets", "descriptors", most, "sockets", cfg.MaxSockets)
	}
	log.Info("controller starting", "listen", cfg.ListenAddr, "peer_listen", cfg.PeerListenAddr, "zone", cfg.Zone)
	c.drainOnTerminate(log)
	if err := c.loop.Run(); err != nil {
		return err
	}
	return errLoopExited
}

// Times of a planned end. drainTimeout bounds how long a controller goes on after it was asked
// to end; what it has not given up by then, others take over as after a crash.
const (
	drainTimeout      = 20 * time.Second
	drainPollInterval = 100 * time.Millisecond
)

// drainOnTerminate lets a termination signal drain the controller before the process ends.
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

// reservedDescriptors is how many file descriptors the process needs beside sockets: its standard
// streams, the settings, and what the runtime and the event loop hold.
const reservedDescriptors = 16

// descriptorLimit is how many file descriptors the process may hold. The runtime has raised the
// soft limit to the hard one by now.
func descriptorLimit() (most uint64, known bool) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, false
	}
	return limit.Cur, true
}

// cpuTime is how much processor time the process has used; 0 where that isn't told.
func cpuTime() time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
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
	if len(e.Broadcasts) > 0 { // once a second
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
