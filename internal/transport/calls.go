package transport

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Errors that a call can end with instead of a response. After ErrTimeout and ErrClosed the
// request may have been executed or not; after ErrNotSent it was not.
var (
	ErrTimeout = errors.New("transport: no response within the call's timeout")
	ErrClosed  = errors.New("transport: connection closed before a valid response")
	ErrNotSent = errors.New("transport: request not sent")
	// ErrNoSocket says that the call timed out while it was queued for a socket. No connection
	// was attempted, so it says nothing about the called host.
	ErrNoSocket = fmt.Errorf("%w: no socket became free within the call's timeout", ErrNotSent)
)

// outboundConn is a connection that this process opened.
type outboundConn struct {
	conn     gnet.Conn
	addr     string
	call     *call
	lastUsed time.Time
	closed   bool

	element *list.Element // in Loop.idle; nil while it serves a call
	closing bool          // closed by closeLongestIdle, and not yet reported closed by gnet
}

// call is a request that this process sends, from Call until done was called.
type call struct {
	addr, method, target string
	body                 []byte
	deadline             time.Time
	timer                *time.Timer   // ends the call at the deadline
	conn                 *outboundConn // nil until there is a connection for the call
	element              *list.Element // in stateQueue or queue; nil while the call isn't queued
	dialing              bool
	done                 func(status int, body []byte, err error) // nil once it was called
}

// Call sends one request and calls done with the outcome exactly once, on the event loop.
func (l *Loop) Call(addr, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error)) {
	c := &call{addr: addr, method: method, target: target, body: body, deadline: time.Now().Add(timeout), done: done}
	c.timer = l.After(timeout, func() { l.expire(c) })
	if list := l.idleByAddr[addr]; len(list) > 0 {
		o := list[len(list)-1]
		l.removeIdle(o)
		o.call, c.conn = c, o
		l.send(o, c)
		return
	}
	queue := l.queue
	if addr == l.stateAddr {
		queue = l.stateQueue
	}
	c.element = queue.PushBack(c)
	l.dialQueued()
}

// dialQueued dials for queued calls, first for those to the state service: every response to
// users depends on them, and dials to unreachable machines, which hang until they time out,
// must not delay them. It stops at the first call that can't be dialed for, since thousands may
// be queued.
func (l *Loop) dialQueued() {
	for l.stateQueue.Len() > 0 && (l.outboundSockets() < l.socketShare(maxOutboundPercent+stateServiceExtraPercent) || l.canDial()) {
		l.dialFront(l.stateQueue)
	}
	for l.queue.Len() > 0 && l.canDial() {
		l.dialFront(l.queue)
	}
}

func (l *Loop) dialFront(queue *list.List) {
	c := queue.Front().Value.(*call)
	l.dequeue(c)
	l.dialing++
	c.dialing = true
	go l.dial(c)
}

// dequeue removes a call from the queue in which it waits for a socket, if any.
func (l *Loop) dequeue(c *call) {
	if c.element == nil {
		return
	}
	if c.addr == l.stateAddr {
		l.stateQueue.Remove(c.element)
	} else {
		l.queue.Remove(c.element)
	}
	c.element = nil
}

// removeIdle removes a connection from the idle ones.
func (l *Loop) removeIdle(o *outboundConn) {
	if o.element != nil {
		l.idle.Remove(o.element)
		o.element = nil
	}
	list := l.idleByAddr[o.addr]
	for i, k := range list {
		if k == o {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(l.idleByAddr, o.addr)
	} else {
		l.idleByAddr[o.addr] = list
	}
}

// dial opens a connection for a call. It runs on a goroutine of its own.
func (l *Loop) dial(c *call) {
	timeout := min(dialTimeout, time.Until(c.deadline))
	if timeout <= 0 {
		l.Post(func() { l.dialing--; l.finish(c, 0, nil, ErrNotSent); l.dialQueued() })
		return
	}
	// Enabling TCP keep-alive would take four system calls per connection, and is not needed:
	// every call has a timeout.
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", c.addr)
	if err != nil {
		l.Post(func() { l.dialing--; l.finish(c, 0, nil, ErrNotSent); l.dialQueued() })
		return
	}
	l.Post(func() {
		l.dialing--
		o := &outboundConn{addr: c.addr, call: c, lastUsed: time.Now()}
		c.conn = o
		if _, err := l.eventLoop.Enroll(gnet.NewContext(context.Background(), o), conn); err != nil {
			_ = conn.Close() // nothing was sent, so the error does not matter
			l.finish(c, 0, nil, ErrNotSent)
		}
	})
}

func (l *Loop) send(o *outboundConn, c *call) {
	l.writeBuffer = appendRequest(l.writeBuffer[:0], c.method, c.addr, c.target, c.body)
	c.body = nil
	if _, err := o.conn.Write(l.writeBuffer); err != nil {
		_ = o.conn.Close()
	}
}

func (l *Loop) readResponse(o *outboundConn) gnet.Action {
	buf, err := o.conn.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	if o.call == nil { // data without a request
		return gnet.Close
	}
	var m message
	n, err := parseResponse(buf, false, &m)
	if errors.Is(err, errIncomplete) {
		return gnet.None
	}
	c := o.call
	if err != nil {
		o.call = nil
		l.finish(c, 0, nil, ErrClosed)
		return gnet.Close
	}
	body := append([]byte(nil), m.body...)
	_, _ = o.conn.Discard(n)
	o.call = nil
	action := gnet.None
	if m.close || o.conn.InboundBuffered() > 0 {
		action = gnet.Close
	} else {
		l.markIdle(o)
	}
	l.finish(c, m.status, body, nil)
	return action
}

// markIdle makes a connection available for further calls.
func (l *Loop) markIdle(o *outboundConn) {
	o.lastUsed = time.Now()
	l.idleByAddr[o.addr] = append(l.idleByAddr[o.addr], o)
	o.element = l.idle.PushBack(o)
}

// expire ends a call whose timeout has passed.
func (l *Loop) expire(c *call) {
	if c.done == nil {
		return
	}
	if c.conn != nil && c.conn.conn != nil {
		// The other side may still execute the request. The connection can't be reused, since the
		// late response would be taken for that of the next call.
		o := c.conn
		o.call = nil
		l.finish(c, 0, nil, ErrTimeout)
		if !o.closed {
			_ = o.conn.Close()
		}
		return
	}
	if !c.dialing {
		l.dequeue(c)
		l.counts.CallsWithoutSocket++
		l.finish(c, 0, nil, ErrNoSocket)
		return
	}
	l.finish(c, 0, nil, ErrNotSent)
}

// finish ends a call with its outcome, unless it has ended already.
func (l *Loop) finish(c *call, status int, body []byte, err error) {
	if c.done == nil {
		return
	}
	done := c.done
	c.done = nil
	c.timer.Stop()
	done(status, body, err)
}

// onDialed registers a new outbound connection and sends the request that it was dialed for. If that
// call has ended, the connection becomes idle.
func (l *Loop) onDialed(o *outboundConn, c gnet.Conn) {
	o.conn = c
	l.outbound++
	if o.call != nil && o.call.done == nil { // the call timed out during the dial
		o.call = nil
	}
	if o.call == nil {
		l.markIdle(o)
		return
	}
	l.send(o, o.call)
}

// onOutboundClosed handles the close of an outbound connection: it ends the connection's call,
// if any, and dials for queued calls.
func (l *Loop) onOutboundClosed(o *outboundConn) {
	o.closed = true
	l.outbound--
	if o.closing {
		l.outboundClosing--
	}
	if o.call == nil {
		l.removeIdle(o)
		l.dialQueued()
		return
	}
	// The close of the connection ends a body without a length. An error of Peek is not
	// checked: without bytes, parsing fails anyway.
	buf, _ := o.conn.Peek(-1)
	var m message
	if _, err := parseResponse(buf, true, &m); err == nil {
		l.finish(o.call, m.status, append([]byte(nil), m.body...), nil)
	} else {
		l.finish(o.call, 0, nil, ErrClosed)
	}
	l.dialQueued()
}
