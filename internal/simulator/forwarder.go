package simulator

import (
	"net"
	"sync"
	"time"
)

// linkState is what happens to the bytes that one host sends to another.
type linkState uint8

const (
	linkOpen  linkState = iota
	linkHeld            // bytes are delivered once the cut ends
	linkLost            // bytes are lost
	linkReset           // bytes reset their connection
)

// linkState returns the current state of a link.
func (c *Cluster) linkState(from, to string) linkState {
	switch fault := c.linkFaults[link{from, to}]; {
	case fault == nil:
		return linkOpen
	case fault.resetConnections:
		return linkReset
	case fault.holdMessages:
		return linkHeld
	}
	return linkLost
}

// forwarder forwards the connections that one controller makes to another, and applies the link
// faults between their hosts to them.
type forwarder struct {
	loopback *Loopback
	from, to string // hosts; from makes the connections
	target   string // address on host to
	listener net.Listener
}

// newForwarder starts a forwarder to an address of host to and returns the address where it accepts
// the connections of host from. It is called with the lock held.
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

// forwardDialTimeout limits how long a forwarder tries to connect to its target.
const forwardDialTimeout = 2 * time.Second

// handle forwards one accepted connection until it ends.
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

// forwardedConn is one forwarded connection.
type forwardedConn struct {
	*forwarder
	lossy   bool          // some of its bytes were lost; guarded by Loopback.mu
	ended   chan struct{} // closed when a side ends the connection
	endOnce sync.Once
}

func (c *forwardedConn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// established reports whether the connection can be established. One that is made during a cut is
// never forwarded, since its sender has given it up by the time the cut ends.
func (c *forwardedConn) established() bool {
	c.loopback.mu.Lock()
	defer c.loopback.mu.Unlock()
	c.lossy = !c.linksOpen()
	return !c.lossy
}

// linksOpen reports whether the links between the hosts are open both ways. It is called with the
// lock held.
func (c *forwardedConn) linksOpen() bool {
	return c.linkInState(linkOpen, c.from, c.to) && c.linkInState(linkOpen, c.to, c.from)
}

// linksReset reports whether connections between the hosts are reset. It is called with the lock
// held.
func (c *forwardedConn) linksReset() bool {
	return c.linkInState(linkReset, c.from, c.to) || c.linkInState(linkReset, c.to, c.from)
}

func (c *forwardedConn) linkInState(s linkState, from, to string) bool {
	return c.loopback.cluster.linkState(from, to) == s
}

// awaitEnd returns when the connection is over: one side has ended it, the link is reset, or a cut
// that lost some of its bytes has ended. In the last two cases it resets conns.
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

// reset closes a TCP connection with a reset (RST) instead of a FIN.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// copyBytes forwards the bytes of one direction. After the first lost byte everything is lost,
// including the end of the connection, since a TCP stream has no gaps.
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

// awaitDelivery waits while the link holds bytes, and reports whether they are delivered.
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
