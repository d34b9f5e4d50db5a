package transport

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// Timeouts and limits of connections.
const (
	dialTimeout         = 2 * time.Second
	requestReadTimeout  = 10 * time.Second // from the first byte of a request to its last
	outboundIdleTimeout = 45 * time.Second // time without a call after which an outbound connection is closed
	minConcurrentDials  = 48               // concurrent dials allowed even if maxDialingPercent is less
	sweepInterval       = time.Second      // between runs of closeExpired
)

// Handler handles the requests that a Loop receives. Its methods run on the event loop.
type Handler interface {
	// Ready runs once, before any other method and callback.
	Ready()
	// Request must be answered by one call of Loop.Reply with the same id.
	Request(id uint64, method, target string, body []byte)
}

// Loop is the process's only event loop: it accepts connections, makes calls and runs posted
// functions, so that the state behind Handler needs no lock.
type Loop struct {
	gnet.BuiltinEventEngine
	addr       string
	stateAddr  string // calls to the state service have a queue of their own
	handler    Handler
	log        *slog.Logger
	engine     gnet.Engine
	startMutex sync.Mutex     // guards eventLoop against bootstrapEventLoop, which runs on another goroutine
	eventLoop  gnet.EventLoop // nil until the first connection

	maxSockets      int
	nextID          uint64
	accepted        *list.List               // of *acceptedConn, least recently active first
	pending         map[uint64]*acceptedConn // by ID of the request being handled
	writeBuffer     []byte
	idleByAddr      map[string][]*outboundConn
	idle            *list.List // the connections of idleByAddr, least recently used first
	outbound        int        // outbound connections, including those that are being closed
	outboundClosing int        // outbound connections that are being closed
	dialing         int        // dials in progress

	// Calls queued for a socket in order of arrival: to the state service, and to all others.
	stateQueue, queue *list.List
	counts            SocketCounts
	pressureUntil     time.Time // see underPressure
}

// NewLoop returns a loop that will listen on addr and keep at most maxSockets sockets open.
// stateAddr is the address of the state service. Run dials it first, since the loop can run
// posted functions only after it has had a connection; calls to it don't queue behind others.
func NewLoop(addr, stateAddr string, maxSockets int, handler Handler, log *slog.Logger) *Loop {
	return &Loop{
		addr: addr, stateAddr: stateAddr, handler: handler, log: log, maxSockets: maxSockets,
		accepted: list.New(), pending: map[uint64]*acceptedConn{}, idleByAddr: map[string][]*outboundConn{},
		idle: list.New(), stateQueue: list.New(), queue: list.New(),
	}
}

// Run serves until gnet's engine stops.
func (l *Loop) Run() error {
	return gnet.Run(l, "tcp://"+l.addr,
		gnet.WithNumEventLoop(1),
		gnet.WithReusePort(true), // makes gnet accept on the event loop instead of a second thread
		gnet.WithReadBufferCap(64<<10),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogLevel(logging.WarnLevel),
		gnet.WithLogger(gnetLogger{l.log}),
	)
}

// OnBoot implements gnet.EventHandler.
func (l *Loop) OnBoot(eng gnet.Engine) gnet.Action {
	l.engine = eng
	go l.bootstrapEventLoop()
	return gnet.None
}

// bootstrapEventLoop opens the first connection, since gnet hands out its event loop, which Post
// needs, only with a connection. It also stops if a connection from a client has come first.
func (l *Loop) bootstrapEventLoop() {
	for {
		c, err := net.DialTimeout("tcp", l.stateAddr, dialTimeout)
		if err == nil {
			o := &outboundConn{addr: l.stateAddr, lastUsed: time.Now()}
			if _, err = l.engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), o)); err == nil {
				return
			}
			_ = c.Close() // nothing was sent, so the error does not matter
		}
		time.Sleep(200 * time.Millisecond)
		l.startMutex.Lock()
		known := l.eventLoop != nil
		l.startMutex.Unlock()
		if known {
			return
		}
	}
}

// Post runs f on the event loop. It may be called from any goroutine once Ready has run.
func (l *Loop) Post(f func()) {
	_ = l.eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { f(); return nil }))
}

// After runs f on the event loop after d.
func (l *Loop) After(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { l.Post(f) })
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if l.eventLoop == nil {
		l.startMutex.Lock()
		l.eventLoop = c.EventLoop()
		l.startMutex.Unlock()
		l.After(sweepInterval, l.closeExpired)
		l.handler.Ready()
	}
	if o, ok := c.Context().(*outboundConn); ok {
		l.onDialed(o, c)
	} else {
		l.accept(c)
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, _ error) gnet.Action {
	switch s := c.Context().(type) {
	case *acceptedConn:
		l.removeAccepted(s)
		if s.requestID != 0 {
			delete(l.pending, s.requestID)
		}
	case *outboundConn:
		l.onOutboundClosed(s)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	switch s := c.Context().(type) {
	case *acceptedConn:
		return l.readRequest(s)
	case *outboundConn:
		return l.readResponse(s)
	}
	return gnet.Close
}
