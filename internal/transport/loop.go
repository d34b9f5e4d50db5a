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

// Time and number limits of connections.
const (
	dialTimeout         = 2 * time.Second
	requestReadTimeout  = 10 * time.Second // from the first byte of a request to its last
	outboundIdleTimeout = 45 * time.Second // an unused outgoing connection is closed after it
	minConcurrentDials  = 48
	sweepInterval       = time.Second
)

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
	addr       string
	stateAddr  string // its calls wait for no other's
	handler    Handler
	log        *slog.Logger
	engine     gnet.Engine
	startMutex sync.Mutex
	eventLoop  gnet.EventLoop

	maxSockets      int
	nextID          uint64
	accepted        *list.List // of *served, the one that was heard longest ago first
	pending         map[uint64]*acceptedConn
	writeBuffer     []byte
	idleByAddr      map[string][]*outboundConn
	idle            *list.List // the same, the one unused for longest first
	outbound        int
	outboundClosing int // of them, those that were told to close
	dialing         int

	// Calls that wait for a socket, in order: those of the state service, and all others.
	stateQueue, queue *list.List
	counts            SocketCounts
	pressureUntil     time.Time
}

// NewLoop prepares a loop that will listen on addr. store is the state service:
// it is dialled at the start, since the loop can take work only once it has had a
// connection, and calls of it don't queue behind others. At most maxSockets sockets
// are open at a time.
func NewLoop(addr, store string, maxConns int, handler Handler, log *slog.Logger) *Loop {
	return &Loop{
		addr: addr, stateAddr: store, handler: handler, log: log, maxSockets: maxConns,
		accepted: list.New(), pending: map[uint64]*acceptedConn{}, idleByAddr: map[string][]*outboundConn{},
		idle: list.New(), stateQueue: list.New(), queue: list.New(),
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

// OnBoot implements gnet.EventHandler.
func (l *Loop) OnBoot(eng gnet.Engine) gnet.Action {
	l.engine = eng
	go l.bootstrapEventLoop()
	return gnet.None
}

// bootstrapEventLoop makes a first connection so that the loop becomes known.
func (l *Loop) bootstrapEventLoop() {
	for {
		c, err := net.DialTimeout("tcp", l.stateAddr, dialTimeout)
		if err == nil {
			o := &outboundConn{addr: l.stateAddr, lastUsed: time.Now()}
			if _, err = l.engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), o)); err == nil {
				return
			}
			_ = c.Close() // nothing was sent on it
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

// Post runs f on the loop; it may be called from any goroutine once Ready ran.
func (l *Loop) Post(f func()) {
	_ = l.eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { f(); return nil }))
}

// After runs f on the loop when d has passed.
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
