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

// Errors a call can end with instead of a response. All of them leave open
// whether the request was carried out, except ErrNotSent.
var (
	ErrTimeout = errors.New("transport: no response in time")
	ErrClosed  = errors.New("transport: connection closed before the response")
	ErrNotSent = errors.New("transport: the request was not sent")
	// ErrNoSocket says that the call ended while it waited for a socket: nobody was
	// asked, so it tells nothing of the other side.
	ErrNoSocket = fmt.Errorf("%w: no socket was free", ErrNotSent)
)

// outboundConn is one connection of ours to a service.
type outboundConn struct {
	conn     gnet.Conn
	addr     string
	call     *call
	lastUsed time.Time
	closed   bool

	element *list.Element // while it waits for a call
	closing bool
}

type call struct {
	addr, method, target string
	body                 []byte
	deadline             time.Time
	timer                *time.Timer
	conn                 *outboundConn
	element              *list.Element // while it waits for a socket
	dialing              bool
	done                 func(status int, body []byte, err error)
}

// Call sends one request and runs done with the outcome, exactly once, on the
// loop.
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

// dialQueued dials for the calls that wait, the state service's first. Without
// that, silent machines, whose dials hang, would hold up what every answer to
// users depends on. It looks at no call that can't be dialled for: thousands may wait.
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

// dequeue takes a call out of those that wait for a socket.
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

// removeIdle takes a connection out of those that wait for a call.
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

func (l *Loop) dial(c *call) {
	wait := min(dialTimeout, time.Until(c.deadline))
	if wait <= 0 {
		l.Post(func() { l.dialing--; l.finish(c, 0, nil, ErrNotSent); l.dialQueued() })
		return
	}
	// Keep-alive would take four system calls; calls have limits of their own.
	dialer := net.Dialer{Timeout: wait, KeepAlive: -1}
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
			_ = conn.Close() // nothing was sent on it
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
	if o.call == nil { // nothing was asked
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

// markIdle makes a connection available for the next call.
func (l *Loop) markIdle(o *outboundConn) {
	o.lastUsed = time.Now()
	l.idleByAddr[o.addr] = append(l.idleByAddr[o.addr], o)
	o.element = l.idle.PushBack(o)
}

func (l *Loop) expire(c *call) {
	if c.done == nil {
		return
	}
	if c.conn != nil && c.conn.conn != nil {
		// The peer may still carry the request out; the connection is of no
		// more use either way.
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

func (l *Loop) finish(c *call, status int, body []byte, err error) {
	if c.done == nil {
		return
	}
	done := c.done
	c.done = nil
	c.timer.Stop()
	done(status, body, err)
}

// onDialed takes a connection of ours that came about, and sends the call that it was dialled for.
func (l *Loop) onDialed(o *outboundConn, c gnet.Conn) {
	o.conn = c
	l.outbound++
	if o.call != nil && o.call.done == nil { // gave up while dialling
		o.call = nil
	}
	if o.call == nil {
		l.markIdle(o)
		return
	}
	l.send(o, o.call)
}

// onOutboundClosed ends the call of a connection of ours that was closed.
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
	// A body without a length ends with the connection. Without the bytes there is no
	// response either, so that the error of reading them adds nothing.
	buf, _ := o.conn.Peek(-1)
	var m message
	if _, err := parseResponse(buf, true, &m); err == nil {
		l.finish(o.call, m.status, append([]byte(nil), m.body...), nil)
	} else {
		l.finish(o.call, 0, nil, ErrClosed)
	}
	l.dialQueued()
}
