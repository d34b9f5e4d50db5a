package transport

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// Errors a call can end with instead of a response. All of them leave open
// whether the request was carried out, except ErrNotSent.
var (
	ErrTimeout = errors.New("transport: no response in time")
	ErrClosed  = errors.New("transport: connection closed before the response")
	ErrNotSent = errors.New("transport: the request was not sent")
	// ErrBusy says that the call ended while it waited for a socket: nobody was
	// asked, so it tells nothing of the other side.
	ErrBusy = fmt.Errorf("%w: no socket was free", ErrNotSent)
)

// Time and number limits of connections.
const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 10 * time.Second // from the first byte of a request to its last
	idleCallLife   = 45 * time.Second // an unused outgoing connection is closed after it
	minDialsAtOnce = 48
	sweepInterval  = time.Second
)

// Shares of the sockets, in percent. Every worker holds one accepted connection
// and, while it has work, one of ours. What is left is for the controllers' own
// streams. Within all of them need decides: connections of ours that wait for a call
// give way to workers and users that come, since a fleet that reconnects at once
// takes more than any fixed share of it.
const (
	allShare      = 88 // those that are closing take some more for a moment
	outgoingShare = 40 // of ours at the most
	outgoingKept  = 12 // that don't give way to accepted ones
	storeShare    = 4  // more of ours, for the state service alone
	dialShare     = 10 // at a time: those of machines that are gone hang
	// Beyond this share of all sockets an answer ends its connection, where connections
	// had to be shed lately.
	crowdedShare = 72
)

// crowdedFor is for how long after a connection was shed, or came while sockets were few,
// answers end their connections. There may be many more workers than sockets: one whose
// idle connection is closed under its next report takes that for a failure and goes to
// another controller a second later, while one that is told to close dials again.
const crowdedFor = 10 * time.Second

// Handler receives what arrives. All its methods run on the event loop.
type Handler interface {
	// Ready runs once, before anything else.
	Ready()
	// Request must be answered by one call of Loop.Reply with its id.
	Request(id uint64, method, target string, body []byte)
}

// Loop is the process's only event loop: it accepts, calls out, and runs
// whatever else is posted to it, so that the state behind Handler needs no lock.
type Loop struct {
	gnet.BuiltinEventEngine
	addr    string
	store   string // its calls wait for no other's
	handler Handler
	log     *slog.Logger
	eng     gnet.Engine
	start   sync.Mutex
	el      gnet.EventLoop

	maxConns int
	nextID   uint64
	accepted *list.List // of *served, the one that was heard longest ago first
	pending  map[uint64]*served
	out      []byte
	idle     map[string][]*outgoing
	unused   *list.List // the same, the one unused for longest first
	outgoing int
	leaving  int // of them, those that were told to close
	dials    int

	// Calls that wait for a socket, in order: those of the state service, and all others.
	waitingStore, waiting *list.List
	counts                Counts
	crowdedUntil          time.Time
}

// Counts are how often bounds of the sockets were reached.
type Counts struct {
	Crowded int // answers that ended their connection for want of sockets
	Shed    int // accepted connections that were closed to make room
	Busy    int // calls that were given up while they waited for a socket
}

// Counts tells how often bounds were reached since it was last asked. It runs on the loop.
func (l *Loop) Counts() Counts {
	c := l.counts
	l.counts = Counts{}
	return c
}

// served is one accepted connection.
type served struct {
	conn    gnet.Conn
	request uint64 // being answered; 0 when none
	close   bool   // close after the answer
	partial time.Time
	place   *list.Element // in the loop's list; nil once it is closed for want of sockets
	// continued is set once 100 Continue went out for the request being read.
	continued bool
}

// outgoing is one connection of ours to a service.
type outgoing struct {
	conn gnet.Conn
	addr string
	call *call
	used time.Time
	dead bool

	unused  *list.Element // while it waits for a call
	leaving bool
}

type call struct {
	addr, method, target string
	body                 []byte
	deadline             time.Time
	timer                *time.Timer
	conn                 *outgoing
	place                *list.Element // while it waits for a socket
	dialled              bool
	done                 func(status int, body []byte, err error)
}

// NewLoop prepares a loop that will listen on addr. store is the state service:
// it is dialled at the start, since the loop can take work only once it has had a
// connection, and calls of it don't queue behind others. At most maxConns sockets
// are open at a time.
func NewLoop(addr, store string, maxConns int, handler Handler, log *slog.Logger) *Loop {
	return &Loop{
		addr: addr, store: store, handler: handler, log: log, maxConns: maxConns,
		accepted: list.New(), pending: map[uint64]*served{}, idle: map[string][]*outgoing{},
		unused: list.New(), waitingStore: list.New(), waiting: list.New(),
	}
}

// Run serves until the engine fails.
func (l *Loop) Run() error {
	return gnet.Run(l, "tcp://"+l.addr,
		gnet.WithNumEventLoop(1),
		gnet.WithReusePort(true), // with it gnet accepts on the same loop, without a second thread
		gnet.WithReadBufferCap(64<<10),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogLevel(logging.WarnLevel),
		gnet.WithLogger(gnetLogger{l.log}),
	)
}

// gnetLogger writes gnet's own messages to our log. What it tells of single
// connections is everyday news here: peers come and go.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Infof(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Warn(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

// OnBoot implements gnet.EventHandler.
func (l *Loop) OnBoot(eng gnet.Engine) gnet.Action {
	l.eng = eng
	go l.wake()
	return gnet.None
}

// wake makes a first connection so that the loop becomes known.
func (l *Loop) wake() {
	for {
		c, err := net.DialTimeout("tcp", l.store, dialTimeout)
		if err == nil {
			o := &outgoing{addr: l.store, used: time.Now()}
			if _, err = l.eng.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), o)); err == nil {
				return
			}
			c.Close()
		}
		time.Sleep(200 * time.Millisecond)
		l.start.Lock()
		known := l.el != nil
		l.start.Unlock()
		if known {
			return
		}
	}
}

// Post runs f on the loop; it may be called from any goroutine once Ready ran.
func (l *Loop) Post(f func()) {
	_ = l.el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { f(); return nil }))
}

// After runs f on the loop when d has passed.
func (l *Loop) After(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { l.Post(f) })
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if l.el == nil {
		l.start.Lock()
		l.el = c.EventLoop()
		l.start.Unlock()
		l.After(sweepInterval, l.sweep)
		l.handler.Ready()
	}
	if o, ok := c.Context().(*outgoing); ok {
		o.conn = c
		l.outgoing++
		if o.call != nil && o.call.done == nil { // gave up while dialling
			o.call = nil
		}
		if o.call == nil {
			l.release(o)
			return nil, gnet.None
		}
		l.send(o, o.call)
		return nil, gnet.None
	}
	s := &served{conn: c}
	c.SetContext(s)
	s.place = l.accepted.PushBack(s)
	if l.crowded() {
		l.crowdedUntil = time.Now().Add(crowdedFor)
	}
	if l.open() > l.share(allShare) && !(l.mine() > l.share(outgoingKept) && l.shedUnused()) {
		l.shedOldest()
	}
	return nil, gnet.None
}

func (l *Loop) share(percent int) int { return l.maxConns * percent / 100 }

// mine is the number of connections of ours, those that are being dialled included,
// and open the number of all connections.
func (l *Loop) mine() int { return l.outgoing - l.leaving + l.dials }
func (l *Loop) open() int { return l.mine() + l.accepted.Len() }

// fewLeft reports whether few sockets are left.
func (l *Loop) fewLeft() bool { return l.open() > l.share(crowdedShare) }

// crowded reports whether there are more clients than sockets, so that an answer is to end
// its connection.
func (l *Loop) crowded() bool { return l.fewLeft() && time.Now().Before(l.crowdedUntil) }

// shedUnused closes the connection of ours that has been unused for longest.
func (l *Loop) shedUnused() bool {
	e := l.unused.Front()
	if e == nil {
		return false
	}
	o := e.Value.(*outgoing)
	l.dropIdle(o)
	o.leaving = true
	l.leaving++
	_ = o.conn.Close()
	return true
}

// shedOldest closes the accepted connection that was heard longest ago, so that silent
// clients can't lock out the others. Those that wait for an answer are kept.
func (l *Loop) shedOldest() {
	for e := l.accepted.Front(); e != nil; e = e.Next() {
		s := e.Value.(*served)
		if s.request != 0 {
			continue
		}
		l.counts.Shed++
		l.crowdedUntil = time.Now().Add(crowdedFor)
		l.forget(s)
		_ = s.conn.Close()
		return
	}
}

// forget takes an accepted connection out of those that count.
func (l *Loop) forget(s *served) {
	if s.place != nil {
		l.accepted.Remove(s.place)
		s.place = nil
	}
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, _ error) gnet.Action {
	switch s := c.Context().(type) {
	case *served:
		l.forget(s)
		if s.request != 0 {
			delete(l.pending, s.request)
		}
	case *outgoing:
		s.dead = true
		l.outgoing--
		if s.leaving {
			l.leaving--
		}
		if s.call != nil {
			// A body without a length ends with the connection.
			buf, _ := c.Peek(-1)
			var m message
			if _, err := parseResponse(buf, true, &m); err == nil {
				l.finish(s.call, m.status, append([]byte(nil), m.body...), nil)
			} else {
				l.finish(s.call, 0, nil, ErrClosed)
			}
		} else {
			l.dropIdle(s)
		}
		l.dialNext()
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	switch s := c.Context().(type) {
	case *served:
		return l.readRequest(s)
	case *outgoing:
		return l.readResponse(s)
	}
	return gnet.Close
}

func (l *Loop) readRequest(s *served) gnet.Action {
	now := time.Now()
	if s.place != nil {
		l.accepted.MoveToBack(s.place)
	}
	// Requests are not pipelined; whatever comes early waits, bounded.
	if s.request != 0 {
		if s.conn.InboundBuffered() > maxRequestBody+maxHead {
			return gnet.Close
		}
		return gnet.None
	}
	buf, err := s.conn.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	if len(buf) == 0 {
		return gnet.None
	}
	var m message
	n, err := parseRequest(buf, &m)
	if errors.Is(err, errIncomplete) {
		if s.partial.IsZero() {
			s.partial = now
		}
		if m.expectContinue && !s.continued {
			s.continued = true
			_, _ = s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return gnet.None
	}
	if err != nil {
		l.out = appendResponse(l.out[:0], StatusOf(err), 0, []byte(`{"error":"malformed request"}`), true)
		_, _ = s.conn.Write(l.out)
		return gnet.Close
	}
	s.partial, s.continued = time.Time{}, false
	s.close = m.close
	l.nextID++
	s.request = l.nextID
	l.pending[s.request] = s
	id, method, target := s.request, m.method, m.target
	body := append([]byte(nil), m.body...)
	_, _ = s.conn.Discard(n)
	l.handler.Request(id, method, target, body)
	return gnet.None
}

// Reply answers a request, and ends its connection if last is set. A reply to a
// connection that is gone is dropped.
func (l *Loop) Reply(id uint64, status, retryAfter int, body []byte, last bool) {
	s := l.pending[id]
	if s == nil {
		return
	}
	delete(l.pending, id)
	s.request = 0
	if !s.close && !last && l.crowded() {
		l.counts.Crowded++
		last = true
	}
	s.close = s.close || last
	l.out = appendResponse(l.out[:0], status, retryAfter, body, s.close)
	_, _ = s.conn.Write(l.out)
	if s.close {
		// Post so that gnet is out of this connection's callback by then.
		l.Post(func() { _ = s.conn.Close() })
		return
	}
	if s.conn.InboundBuffered() > 0 {
		l.Post(func() {
			if s.place != nil && l.readRequest(s) == gnet.Close {
				_ = s.conn.Close()
			}
		})
	}
}

// Call sends one request and runs done with the outcome, exactly once, on the
// loop.
func (l *Loop) Call(addr, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error)) {
	c := &call{addr: addr, method: method, target: target, body: body, deadline: time.Now().Add(timeout), done: done}
	c.timer = l.After(timeout, func() { l.expire(c) })
	if list := l.idle[addr]; len(list) > 0 {
		o := list[len(list)-1]
		l.dropIdle(o)
		o.call, c.conn = c, o
		l.send(o, c)
		return
	}
	queue := l.waiting
	if addr == l.store {
		queue = l.waitingStore
	}
	c.place = queue.PushBack(c)
	l.dialNext()
}

// dialNext dials for the calls that wait, the state service's first. Without
// that, silent machines, whose dials hang, would hold up what every answer to
// users depends on. It looks at no call that can't be dialled for: thousands may wait.
func (l *Loop) dialNext() {
	for l.waitingStore.Len() > 0 && (l.mine() < l.share(outgoingShare+storeShare) || l.mayDial()) {
		l.dialFirst(l.waitingStore)
	}
	for l.waiting.Len() > 0 && l.mayDial() {
		l.dialFirst(l.waiting)
	}
}

// mayDial reports whether one more dial may begin now.
func (l *Loop) mayDial() bool {
	return l.dials < max(minDialsAtOnce, l.share(dialShare)) && l.haveRoom()
}

func (l *Loop) dialFirst(queue *list.List) {
	c := queue.Front().Value.(*call)
	l.leaveQueue(c)
	l.dials++
	c.dialled = true
	go l.dial(c)
}

// leaveQueue takes a call out of those that wait for a socket.
func (l *Loop) leaveQueue(c *call) {
	if c.place == nil {
		return
	}
	if c.addr == l.store {
		l.waitingStore.Remove(c.place)
	} else {
		l.waiting.Remove(c.place)
	}
	c.place = nil
}

// haveRoom reports whether one more connection of ours may be opened, and makes
// room by closing the one that has been unused for longest. With more machines
// than sockets, those that had an order a while ago would otherwise keep all
// others from being reached, and those would be taken for dead.
func (l *Loop) haveRoom() bool {
	full := func() bool { return l.mine() >= l.share(outgoingShare) || l.open() >= l.share(allShare) }
	return !full() || l.shedUnused() && !full()
}

// dropIdle takes a connection out of those that wait for a call.
func (l *Loop) dropIdle(o *outgoing) {
	if o.unused != nil {
		l.unused.Remove(o.unused)
		o.unused = nil
	}
	list := l.idle[o.addr]
	for i, k := range list {
		if k == o {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(l.idle, o.addr)
	} else {
		l.idle[o.addr] = list
	}
}

func (l *Loop) dial(c *call) {
	wait := min(dialTimeout, time.Until(c.deadline))
	if wait <= 0 {
		l.Post(func() { l.dials--; l.finish(c, 0, nil, ErrNotSent); l.dialNext() })
		return
	}
	// Keep-alive would take four system calls; calls have limits of their own.
	dialer := net.Dialer{Timeout: wait, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", c.addr)
	if err != nil {
		l.Post(func() { l.dials--; l.finish(c, 0, nil, ErrNotSent); l.dialNext() })
		return
	}
	l.Post(func() {
		l.dials--
		o := &outgoing{addr: c.addr, call: c, used: time.Now()}
		c.conn = o
		if _, err := l.el.Enroll(gnet.NewContext(context.Background(), o), conn); err != nil {
			conn.Close()
			l.finish(c, 0, nil, ErrNotSent)
		}
	})
}

func (l *Loop) send(o *outgoing, c *call) {
	l.out = appendRequest(l.out[:0], c.method, c.addr, c.target, c.body)
	c.body = nil
	if _, err := o.conn.Write(l.out); err != nil {
		_ = o.conn.Close()
	}
}

func (l *Loop) readResponse(o *outgoing) gnet.Action {
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
		l.release(o)
	}
	l.finish(c, m.status, body, nil)
	return action
}

// release makes a connection available for the next call.
func (l *Loop) release(o *outgoing) {
	o.used = time.Now()
	l.idle[o.addr] = append(l.idle[o.addr], o)
	o.unused = l.unused.PushBack(o)
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
		if !o.dead {
			_ = o.conn.Close()
		}
		return
	}
	if !c.dialled {
		l.leaveQueue(c)
		l.counts.Busy++
		l.finish(c, 0, nil, ErrBusy)
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

// sweep ends half-sent requests and unused outgoing connections.
func (l *Loop) sweep() {
	now := time.Now()
	for e := l.accepted.Front(); e != nil; e = e.Next() {
		s := e.Value.(*served)
		if !s.partial.IsZero() && now.Sub(s.partial) > requestTimeout {
			l.out = appendResponse(l.out[:0], 408, 0, []byte(`{"error":"request took too long"}`), true)
			_, _ = s.conn.Write(l.out)
			_ = s.conn.Close()
		}
	}
	for e := l.unused.Front(); e != nil && now.Sub(e.Value.(*outgoing).used) > idleCallLife; e = l.unused.Front() {
		l.shedUnused()
	}
	l.After(sweepInterval, l.sweep)
}
