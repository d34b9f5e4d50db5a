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

// LiveOptions shape a live stand-in.
type LiveOptions struct {
	Options
	Binary   string // the controllers' program
	Operator string // file with the operators' settings; empty for the defaults
	Dir      string // where the controllers' settings and logs are written
	External []ExternalMachine
}

// Live serves a cluster in real time: its state service, cloud and workers answer HTTP
// requests on the loopback interface, and its controllers are processes. The cluster is
// the simulated one; a clock and a lock are all that is added to it.
type Live struct {
	options     LiveOptions
	controllers []*Controller

	ctx  context.Context // ends with the stand-in
	end  context.CancelFunc
	work sync.WaitGroup // goroutines that end with it

	mu           sync.Mutex // guards the cluster and all below
	cluster      *Cluster
	closed       bool
	closers      []func() error
	failures     []error
	waiters      []*waiter
	wakeAt       time.Time     // when the clock looks for events next
	earlier      chan struct{} // tells the clock of an event before that
	linkChanges  int           // of the cluster's links that were told
	linksChanged chan struct{} // closed at the next one
}

// waiter waits for a condition.
type waiter struct {
	holds func(*Cluster) bool
	met   chan struct{}
}

// NewLive starts the services. Controllers are started one by one; Close ends everything.
func NewLive(o LiveOptions) (*Live, error) {
	l := &Live{options: o, earlier: make(chan struct{}, 1), linksChanged: make(chan struct{})}
	l.ctx, l.end = context.WithCancel(context.Background())
	if err := l.build(); err != nil {
		l.Close()
		return nil, err
	}
	l.work.Go(l.keepTime)
	return l, nil
}

// build makes the cluster, its servers and its controllers.
func (l *Live) build() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cluster = newCluster(l.options.Options, time.Now(), l.serveWorker)
	l.cluster.outsiders = true
	for _, m := range l.options.External {
		if err := l.cluster.cloud.addExternal(m); err != nil {
			return err
		}
	}
	for _, n := range l.cluster.nodes {
		k, err := newController(l, n)
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
func (l *Live) Controllers() []*Controller { return l.controllers }

// StartControllers starts those that don't run.
func (l *Live) StartControllers() error {
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
func (l *Live) Close() {
	for _, k := range l.controllers {
		k.Kill()
	}
	l.mu.Lock()
	l.closed = true
	for _, closer := range l.closers {
		_ = closer()
	}
	l.mu.Unlock()
	l.end()
	l.work.Wait()
}

// Do does something with the cluster, at the time it is and with the lock held: f must not
// wait for the stand-in, nor let time pass by Advance.
func (l *Live) Do(f func(*Cluster)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.cluster.advanceTo(time.Now())
	f(l.cluster)
	l.settle()
}

// settle tells those whom a step of the cluster concerns.
func (l *Live) settle() {
	c := l.cluster
	if len(c.events) > 0 && c.events[0].at.Before(l.wakeAt) {
		select {
		case l.earlier <- struct{}{}:
		default:
		}
	}
	if l.linkChanges != c.linkChanges {
		l.linkChanges = c.linkChanges
		close(l.linksChanged)
		l.linksChanged = make(chan struct{})
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if !w.holds(c) {
			return false
		}
		close(w.met)
		return true
	})
}

// idleWake is how long the clock sleeps when nothing is planned.
const idleWake = time.Minute

// keepTime lets what is planned happen when its time has come.
func (l *Live) keepTime() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.earlier:
		case <-timer.C:
		}
		l.Do(func(c *Cluster) {
			l.wakeAt = c.now.Add(idleWake)
			if len(c.events) > 0 {
				l.wakeAt = c.events[0].at
			}
			timer.Reset(time.Until(l.wakeAt))
		})
	}
}

// Await returns once a condition holds, or with an error when ctx ends before. The
// condition is looked at after every step of the cluster.
func (l *Live) Await(ctx context.Context, what string, holds func(*Cluster) bool) error {
	w := &waiter{holds: holds, met: make(chan struct{})}
	l.Do(func(*Cluster) { l.waiters = append(l.waiters, w) })
	select {
	case <-w.met:
		return nil
	case <-ctx.Done():
		l.Do(func(*Cluster) { l.waiters = slices.DeleteFunc(l.waiters, func(x *waiter) bool { return x == w }) })
		return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
	case <-l.ctx.Done():
		return fmt.Errorf("waiting for %s: %w", what, l.ctx.Err())
	}
}

// AwaitReady returns once a controller leads and all answer their health checks.
func (l *Live) AwaitReady(ctx context.Context) error {
	healthy := 0
	l.Do(func(c *Cluster) {
		for node := range c.nodes {
			c.awaitHealth(node, func() { healthy++ })
		}
	})
	return l.Await(ctx, "controllers that are ready", func(c *Cluster) bool { return c.Leader() >= 0 && healthy == len(c.nodes) })
}

// healthEvery is how often a controller is asked that is not known to be healthy.
const healthEvery = 200 * time.Millisecond

// awaitHealth asks a node until its health check succeeds.
func (c *Cluster) awaitHealth(node int, done func()) {
	c.user(node, "GET", protocol.PathHealth, nil, func(status int, _ []byte) {
		if status == http.StatusOK {
			done()
			return
		}
		c.after(healthEvery, func() { c.awaitHealth(node, done) })
	})
}

// Broken lists the rules broken so far, and what else went wrong.
func (l *Live) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.cluster.Broken())
	for _, err := range l.failures {
		list = append(list, err.Error())
	}
	return list
}

// listen serves HTTP at a new address of the loopback interface. It is called with the
// lock held.
func (l *Live) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	l.closers = append(l.closers, server.Close)
	l.work.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// anyPort lets the system choose a port of the loopback interface.
const anyPort = "127.0.0.1:0"
