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

// LoopbackOptions shape a live stand-in.
type LoopbackOptions struct {
	Options
	Binary           string // the controllers' program
	OperatorFile     string // file with the operators' settings; empty for the defaults
	Dir              string // where the controllers' settings and logs are written
	ExternalMachines []ExternalMachine
}

// Loopback serves a cluster in real time: its state service, cloud and workers answer HTTP
// requests on the loopback interface, and its controllers are processes. The cluster is
// the simulated one; a clock and a lock are all that is added to it.
type Loopback struct {
	options     LoopbackOptions
	controllers []*ControllerProcess

	ctx        context.Context // ends with the stand-in
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // goroutines that end with it

	mu              sync.Mutex // guards the cluster and all below
	cluster         *Cluster
	closed          bool
	closers         []func() error
	failures        []error
	waiters         []*waiter
	nextWake        time.Time     // when the clock looks for events next
	clockWake       chan struct{} // tells the clock of an event before that
	seenLinkChanges int           // of the cluster's links that were told
	linksChanged    chan struct{} // closed at the next one
}

// waiter waits for a condition.
type waiter struct {
	condition func(*Cluster) bool
	done      chan struct{}
}

// NewLoopback starts the services. Controllers are started one by one; Close ends everything.
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

// build makes the cluster, its servers and its controllers.
func (l *Loopback) build() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cluster = newCluster(l.options.Options, time.Now(), l.serveWorker)
	l.cluster.externalUsers = true
	for _, m := range l.options.ExternalMachines {
		if err := l.cluster.cloud.addExternal(m); err != nil {
			return err
		}
	}
	for _, n := range l.cluster.controllers {
		k, err := newControllerProcess(l, n)
		if err != nil {
			return err
		}
		n.remote = k
		l.controllers = append(l.controllers, k)
	}
	for _, k := range l.controllers {
		if err := k.writeSettings(); err != nil {
			return err
		}
	}
	return errors.Join(l.failures...)
}

// Controllers are the controllers, in the order of the cluster's nodes.
func (l *Loopback) Controllers() []*ControllerProcess { return l.controllers }

// StartControllers starts those that don't run.
func (l *Loopback) StartControllers() error {
	for _, k := range l.controllers {
		if k.running() {
			continue
		}
		if err := k.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends the controllers and the services.
func (l *Loopback) Close() {
	for _, k := range l.controllers {
		k.Kill()
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

// Do does something with the cluster, at the time it is and with the lock held: f must not
// wait for the stand-in, nor let time pass by Advance.
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

// notifyWaiters tells those whom a step of the cluster concerns.
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

// maxClockSleep is how long the clock sleeps when nothing is planned.
const maxClockSleep = time.Minute

// runClock lets what is planned happen when its time has come.
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

// Await returns once a condition holds, or with an error when ctx ends before. The
// condition is looked at after every step of the cluster.
func (l *Loopback) Await(ctx context.Context, what string, holds func(*Cluster) bool) error {
	w := &waiter{condition: holds, done: make(chan struct{})}
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

// AwaitReady returns once a controller leads and all answer their health checks.
func (l *Loopback) AwaitReady(ctx context.Context) error {
	healthy := 0
	l.Do(func(c *Cluster) {
		for node := range c.controllers {
			c.awaitHealth(node, func() { healthy++ })
		}
	})
	return l.Await(ctx, "controllers that are ready", func(c *Cluster) bool { return c.Leader() >= 0 && healthy == len(c.controllers) })
}

// healthCheckInterval is how often a controller is asked that is not known to be healthy.
const healthCheckInterval = 200 * time.Millisecond

// awaitHealth asks a node until its health check succeeds.
func (c *Cluster) awaitHealth(node int, done func()) {
	c.userRequest(node, "GET", protocol.PathHealth, nil, func(status int, _ []byte) {
		if status == http.StatusOK {
			done()
			return
		}
		c.after(healthCheckInterval, func() { c.awaitHealth(node, done) })
	})
}

// Violations lists the rules broken so far, and what else went wrong.
func (l *Loopback) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.cluster.Violations())
	for _, err := range l.failures {
		list = append(list, err.Error())
	}
	return list
}

// listen serves HTTP at a new address of the loopback interface. It is called with the
// lock held.
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

// anyPort lets the system choose a port of the loopback interface.
const anyPort = "127.0.0.1:0"
