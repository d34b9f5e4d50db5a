package simulator

import (
	"net"
	"sync"
	"time"
)

// linkState says what becomes of the bytes that one host sends to another.
type linkState uint8

const (
	linkOpen  linkState = iota
	linkHeld            // they arrive once the cut is over
	linkLost            // they never arrive
	linkReset           // they end their connection
)

// linkState is how a link is now.
func (c *Cluster) linkState(from, to string) linkState {
	switch k := c.linkFaults[link{from, to}]; {
	case k == nil:
		return linkOpen
	case k.resetConnections:
		return linkReset
	case k.holdMessages:
		return linkHeld
	}
	return linkLost
}

// forwarder carries the connections that one controller makes to another, through the
// cuts between their hosts.
type forwarder struct {
	loopback *Loopback
	from, to string // hosts; connections are made by the first
	target   string // address at the second
	listener net.Listener
}

// newForwarder gives a host an address that leads to another host's address. It is called with
// the lock held.
func (l *Loopback) newForwarder(from, to, target string) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	f := &forwarder{l, from, to, target, listener}
	l.closers = append(l.closers, listener.Close)
	l.goroutines.Go(f.run)
	return listener.Addr().String(), nil
}

func (f *forwarder) run() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return // closed
		}
		f.loopback.goroutines.Go(func() { f.handle(near) })
	}
}

// forwardDialTimeout is how long a forwarder tries to reach its target.
const forwardDialTimeout = 2 * time.Second

// handle forwards one connection until it ends.
func (f *forwarder) handle(near net.Conn) {
	defer near.Close()
	c := &forwardedConn{forwarder: f, ended: make(chan struct{})}
	if !c.established() {
		c.awaitEnd(near)
		return
	}
	dialer := net.Dialer{Timeout: forwardDialTimeout}
	far, err := dialer.DialContext(f.loopback.ctx, "tcp", f.target)
	if err != nil {
		reset(near)
		return
	}
	defer far.Close()
	f.loopback.goroutines.Go(func() { c.copyBytes(f.from, f.to, near, far) })
	f.loopback.goroutines.Go(func() { c.copyBytes(f.to, f.from, far, near) })
	c.awaitEnd(near, far)
}

// forwardedConn is one connection that a forwarder carries.
type forwardedConn struct {
	*forwarder
	lossy   bool // some of its bytes are lost; guarded by the stand-in's lock
	ended   chan struct{}
	endOnce sync.Once
}

func (c *forwardedConn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// established reports whether the connection comes about. One that is made during a cut leads
// nowhere; its sender has given it up by the time the cut is over.
func (c *forwardedConn) established() bool {
	c.loopback.mu.Lock()
	defer c.loopback.mu.Unlock()
	c.lossy = !c.linksOpen()
	return !c.lossy
}

// linksOpen reports whether there is no cut between the hosts. It is called with the lock held.
func (c *forwardedConn) linksOpen() bool {
	return c.linkInState(linkOpen, c.from, c.to) && c.linkInState(linkOpen, c.to, c.from)
}

// linksReset reports whether connections fail between the hosts. It is called with the lock
// held.
func (c *forwardedConn) linksReset() bool {
	return c.linkInState(linkReset, c.from, c.to) || c.linkInState(linkReset, c.to, c.from)
}

func (c *forwardedConn) linkInState(s linkState, from, to string) bool {
	return c.loopback.cluster.linkState(from, to) == s
}

// awaitEnd returns when the connection is over: because a side has ended it, because of a
// reset, or because a cut is over that has cost some of its bytes.
func (c *forwardedConn) awaitEnd(conns ...net.Conn) {
	for {
		c.loopback.mu.Lock()
		over, changed := c.linksReset() || c.lossy && c.linksOpen(), c.loopback.linksChanged
		c.loopback.mu.Unlock()
		if over {
			for _, conn := range conns {
				reset(conn)
			}
			return
		}
		select {
		case <-changed:
		case <-c.ended:
			return
		case <-c.loopback.ctx.Done():
			return
		}
	}
}

// reset closes a connection without the usual farewell.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// copyBytes carries the bytes of one direction. Once some are lost all are, and the end of the
// connection with them.
func (c *forwardedConn) copyBytes(from, to string, source, sink net.Conn) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		count, readErr := source.Read(buffer)
		lost = lost || !c.awaitDelivery(from, to)
		if lost && readErr != nil {
			return
		}
		if lost {
			continue
		}
		if _, err := sink.Write(buffer[:count]); err != nil || readErr != nil {
			c.end()
			return
		}
	}
}

// awaitDelivery waits while bytes are held, and reports whether they arrive.
func (c *forwardedConn) awaitDelivery(from, to string) bool {
	for {
		c.loopback.mu.Lock()
		state, changed := c.loopback.cluster.linkState(from, to), c.loopback.linksChanged
		c.lossy = c.lossy || state == linkLost
		c.loopback.mu.Unlock()
		switch state {
		case linkOpen:
			return true
		case linkLost, linkReset:
			return false
		}
		select {
		case <-changed:
		case <-c.ended:
			return false
		case <-c.loopback.ctx.Done():
			return false
		}
	}
}
