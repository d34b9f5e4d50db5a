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
	"brasskeel/internal/transport"
)

// A peer's stream takes every line that the core makes: this doesn't compile otherwise.
const _ = uint(transport.MaxPeerLine - coordination.MaxPeerMessage)

func logLevel(name string) (slog.Level, error) {
	switch name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL is %q, not error, info or debug", name)
}

// control ties the core to the network: what happens goes in as steps, and
// what the steps ask for is done.
type control struct {
	cfg   *config.Settings
	node  *coordination.Controller
	loop  *transport.Loop
	peers *transport.Peers
	timer *time.Timer
	armed time.Time
	trace *tracer       // nil: spans are dropped
	ready chan struct{} // closed once the core has started
}

func runControl(cfg *config.Settings, op config.Operator, trace *tracer, level slog.Level) error {
	// The program's share is a fraction of one core: more threads would only
	// take turns. Half of the memory is left for the runtime and the sockets.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(cfg.MemoryBytes * 6 / 10)
	debug.SetGCPercent(200)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("controller", cfg.Name)

	// Libraries that use the standard logger are heard at debug level.
	slog.SetDefault(log)
	slog.SetLogLoggerLevel(slog.LevelDebug)

	c := &control{cfg: cfg, trace: trace, ready: make(chan struct{})}
	c.node = coordination.New(cfg, op, log, rand.Uint64(), time.Now())
	c.loop = transport.NewLoop(cfg.Listen, cfg.State, cfg.Sockets, c, log)
	var addrs []string
	for _, p := range cfg.Peers {
		addrs = append(addrs, p.Addr)
	}
	c.timer = time.AfterFunc(time.Hour, func() { c.loop.Post(c.tick) })
	c.timer.Stop()
	var err error
	c.peers, err = transport.NewPeers(cfg.PeerListen, cfg.Name, addrs, func(line []byte) {
		<-c.ready
		c.loop.Post(func() { c.apply(c.node.PeerMessage(time.Now(), line)) })
	}, log)
	if err != nil {
		return err
	}
	if most, known := openFiles(); known && most < uint64(cfg.Sockets+otherFiles) {
		log.Warn("too few file descriptors for the configured sockets", "descriptors", most, "sockets", cfg.Sockets)
	}
	log.Info("controller starting", "listen", cfg.Listen, "peer_listen", cfg.PeerListen, "zone", cfg.Zone)
	c.drainOnTerminate(log)
	if err := c.loop.Run(); err != nil {
		return err
	}
	return errors.New("the event loop ended")
}

// Times of a planned end. drainWithin bounds how long a controller goes on after it was asked
// to end; what it has not given up by then, others take over as after a crash.
const (
	drainWithin = 20 * time.Second
	drainLook   = 100 * time.Millisecond
)

// drainOnTerminate lets a termination signal drain the controller before the process ends.
func (c *control) drainOnTerminate(log *slog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, unix.SIGTERM)
	go func() {
		<-signals
		<-c.ready
		c.loop.Post(func() { c.apply(c.node.Drain(time.Now())) })
		for end := time.Now().Add(drainWithin); time.Now().Before(end); time.Sleep(drainLook) {
			drained := make(chan bool, 1)
			c.loop.Post(func() { drained <- c.node.Drained() })
			if <-drained {
				log.Info("controller drained")
				c.trace.close()
				os.Exit(0)
			}
		}
		log.Warn("drain timed out", "duration", drainWithin)
		c.trace.close()
		os.Exit(0)
	}()
}

// otherFiles is how many file descriptors the process needs beside sockets: its standard
// streams, the settings, and what the runtime and the event loop hold.
const otherFiles = 16

// openFiles is how many file descriptors the process may hold. The runtime has raised the
// soft limit to the hard one by now.
func openFiles() (most uint64, known bool) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, false
	}
	return limit.Cur, true
}

// processorTime is how much processor time the process has used; 0 where that isn't told.
func processorTime() time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// Ready implements transport.Handler.
func (c *control) Ready() {
	c.apply(c.node.Start(time.Now()))
	close(c.ready)
}

// Request implements transport.Handler.
func (c *control) Request(id uint64, method, target string, body []byte) {
	c.apply(c.node.Request(time.Now(), id, method, target, body))
}

func (c *control) tick() {
	c.armed = time.Time{}
	c.apply(c.node.Tick(time.Now()))
}

func (c *control) apply(e coordination.Effects) {
	for i := range e.Replies {
		r := &e.Replies[i]
		c.loop.Reply(r.ID, r.Status, r.RetryAfter, r.Body, r.Close)
	}
	for i := range e.Calls {
		k := &e.Calls[i]
		addr := k.Addr
		switch k.To {
		case coordination.State:
			addr = c.cfg.State
		case coordination.Cloud:
			addr = c.cfg.Cloud
		}
		id := k.ID
		c.loop.Call(addr, k.Method, k.Target, k.Body, k.Timeout, func(status int, body []byte, err error) {
			c.apply(c.node.Result(time.Now(), id, coordination.Outcome{Status: status, Body: body,
				Answered: err == nil, NotSent: errors.Is(err, transport.ErrNotSent), Busy: errors.Is(err, transport.ErrBusy)}))
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
		c.node.ProcessorUsed(time.Now(), processorTime())
		c.node.PeerLinesLost(c.peers.Dropped())
		k := c.loop.Counts()
		c.node.Sockets(k.Crowded, k.Shed, k.Busy)
	}
	if next := c.node.Next(); !next.IsZero() && (c.armed.IsZero() || next.Before(c.armed)) {
		c.armed = next
		c.timer.Reset(max(0, time.Until(next)))
	}
}
