package simulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"brasskeel/internal/protocol"
)

// LoopbackOptions configures a [Loopback].
type LoopbackOptions struct {
	Options
	Binary           string // path of the controller program
	OperatorFile     string // file with the operators' settings; empty for the defaults
	Dir              string // directory for the controllers' settings and logs
	ExternalMachines []ExternalMachine
}

// Loopback serves a cluster in real time: its state service, cloud and workers answer HTTP requests
// on the loopback interface, and its controllers are separate processes. The cluster is the same as
// in simulated time; a real-time clock drives its events and a lock guards it.
type Loopback struct {
	options     LoopbackOptions
	controllers []*ControllerProcess

	ctx        context.Context // ends on Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // all goroutines that end on Close

	mu              sync.Mutex // guards the cluster and all fields below
	cluster         *Cluster
	closed          bool
	closers         []func() error
	failures        []error
	waiters         []*waiter
	nextWake        time.Time     // when runClock runs events next
	clockWake       chan struct{} // signals runClock that an event is due before nextWake
	seenLinkChanges int           // Cluster.linkChanges when linksChanged was last closed
	linksChanged    chan struct{} // closed at the next change of links
}

// waiter waits for a condition.
type waiter struct {
	condition func(*Cluster) bool
	done      chan struct{} // closed when the condition holds
}

// NewLoopback starts the services. The controllers must be started separately. Close ends
// everything.
func NewLoopback(o LoopbackOptions) (*Loopback, error) {
	l := &Loopback{options: o, clockWake: make(chan struct{}, 1), linksChanged: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	if err := l.build(); err != nil {
		l.Close()
		return nil, err
	}
	l.goroutines.Go(l.runClock)
	return l, nil
}

// build creates the cluster, its servers and its controllers.
func (l *Loopback) build() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cluster = newCluster(l.options.Options, time.Now(), l.serveWorker)
	l.cluster.externalUsers = true
	for _, e := range l.options.ExternalMachines {
		if err := l.cluster.cloud.addExternal(e); err != nil {
			return err
		}
	}
	for _, n := range l.cluster.controllers {
		cp, err := newControllerProcess(l, n)
		if err != nil {
			return err
		}
		n.remote = cp
		l.controllers = append(l.controllers, cp)
	}
	for _, cp := range l.controllers {
		if err := cp.writeSettings(); err != nil {
			return err
		}
	}
	return errors.Join(l.failures...)
}

// Controllers returns the controllers by index: node-0 is the first.
func (l *Loopback) Controllers() []*ControllerProcess { return l.controllers }

// StartControllers starts the controllers that are not running.
func (l *Loopback) StartControllers() error {
	for _, cp := range l.controllers {
		if cp.running() {
			continue
		}
		if err := cp.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills the controllers and stops the services.
func (l *Loopback) Close() {
	for _, cp := range l.controllers {
		cp.Kill()
	}
	l.mu.Lock()
	l.closed = true
	for _, closer := range l.closers {
		_ = closer()
	}
	l.mu.Unlock()
	l.cancel()
	l.goroutines.Wait()
}

// Do advances the cluster to the current time and calls f with the lock held, unless l is closed. f
// must not call methods of l that take the lock or wait, nor advance the cluster's clock.
func (l *Loopback) Do(f func(*Cluster)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.cluster.advanceTo(time.Now())
	f(l.cluster)
	l.notifyWaiters()
}

// notifyWaiters wakes the clock, the forwarders and the callers of Await as needed after a step of
// the cluster. It is called with the lock held.
func (l *Loopback) notifyWaiters() {
	c := l.cluster
	if len(c.events) > 0 && c.events[0].at.Before(l.nextWake) {
		select {
		case l.clockWake <- struct{}{}:
		default:
		}
	}
	if l.seenLinkChanges != c.linkChanges {
		l.seenLinkChanges = c.linkChanges
		close(l.linksChanged)
		l.linksChanged = make(chan struct{})
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if !w.condition(c) {
			return false
		}
		close(w.done)
		return true
	})
}

// maxClockSleep is how long the clock sleeps when no event is scheduled.
const maxClockSleep = time.Minute

// runClock runs the cluster's events when they are due.
func (l *Loopback) runClock() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.clockWake:
		case <-timer.C:
		}
		l.Do(func(c *Cluster) {
			l.nextWake = c.now.Add(maxClockSleep)
			if len(c.events) > 0 {
				l.nextWake = c.events[0].at
			}
			timer.Reset(time.Until(l.nextWake))
		})
	}
}

// Await returns once a condition holds, or an error if ctx ends before. The condition is checked
// after every step of the cluster. what describes it in errors.
func (l *Loopback) Await(ctx context.Context, what string, condition func(*Cluster) bool) error {
	w := &waiter{condition: condition, done: make(chan struct{})}
	l.Do(func(*Cluster) { l.waiters = append(l.waiters, w) })
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		l.Do(func(*Cluster) { l.waiters = slices.DeleteFunc(l.waiters, func(x *waiter) bool { return x == w }) })
		return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
	case <-l.ctx.Done():
		return fmt.Errorf("waiting for %s: %w", what, l.ctx.Err())
	}
}

// AwaitReady returns once there is a leader and the health check of every controller has succeeded.
func (l *Loopback) AwaitReady(ctx context.Context) error {
	healthy := 0
	l.Do(func(c *Cluster) {
		for controller := range c.controllers {
			c.awaitHealth(controller, func() { healthy++ })
		}
	})
	return l.Await(ctx, "a leader and healthy controllers", func(c *Cluster) bool { return c.Leader() >= 0 && healthy == len(c.controllers) })
}

// healthCheckInterval is the time between a failed health check and the next.
const healthCheckInterval = 200 * time.Millisecond

// awaitHealth repeats a controller's health check until it succeeds and then calls done.
func (c *Cluster) awaitHealth(controller int, done func()) {
	c.userRequest(controller, "GET", protocol.PathHealth, nil, func(status int, _ []byte) {
		if status == http.StatusOK {
			done()
			return
		}
		c.after(healthCheckInterval, func() { c.awaitHealth(controller, done) })
	})
}

// Violations returns the violations of invariants so far, and other failures.
func (l *Loopback) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.cluster.Violations())
	for _, err := range l.failures {
		list = append(list, err.Error())
	}
	return list
}

// listen serves HTTP on a free port of the loopback interface and returns its address. It is called
// with the lock held.
func (l *Loopback) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	l.closers = append(l.closers, server.Close)
	l.goroutines.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// anyPort is the listen address for a free port of the loopback interface.
const anyPort = "127.0.0.1:0"
