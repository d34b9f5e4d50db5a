package transport

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the streams between controllers.
const (
	peerPath           = "/peer/v1/events"
	peerRedialInterval = time.Second
	peerReadTimeout    = 10 * time.Second
	peerQueueLength    = 16
	maxPeerConns       = 16
	acceptRetryDelay   = 100 * time.Millisecond
)

// MaxPeerLine is the length of the longest line that a stream takes.
const MaxPeerLine = 64 << 10

// peerNameParam is the field of a request for a stream that names who asks.
const peerNameParam = "node"

// PeerStreams keeps one HTTP/2 stream to each other controller, on which that
// controller tells its events, a line each. They are hints: a lost one is
// made up for by the next.
type PeerStreams struct {
	name    string
	receive func(line []byte)
	log     *slog.Logger

	mu          sync.Mutex
	subscribers map[*subscriber]struct{}
	last        []byte
	dropped     int
}

// subscriber is what a peer reads. Its name is as the peer gave it.
type subscriber struct {
	name  string
	lines chan []byte
}

// offer puts a line on a stream, and reports whether there was room.
func (s *subscriber) offer(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// NewPeerStreams serves events on listen and receives those of the peers, handing
// each to receive, from goroutines of its own. name tells the peers whose stream it is.
func NewPeerStreams(listen, name string, peers []string, receive func(line []byte), log *slog.Logger) (*PeerStreams, error) {
	p := &PeerStreams{name: name, receive: receive, log: log, subscribers: map[*subscriber]struct{}{}}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go p.serve(ln)
	for _, addr := range peers {
		go p.subscribe(addr)
	}
	return p, nil
}

// Publish tells every peer that listens. A peer that can't keep up misses
// events.
func (p *PeerStreams) Publish(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = line
	for s := range p.subscribers {
		if !s.offer(line) {
			p.dropped++
		}
	}
}

// Send tells one peer, if it listens. A peer that can't keep up misses the line.
func (p *PeerStreams) Send(name string, line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		if s.name == name && !s.offer(line) {
			p.dropped++
		}
	}
}

// TakeDropped tells how many lines peers missed since it was last asked.
func (p *PeerStreams) TakeDropped() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := p.dropped
	p.dropped = 0
	return count
}

func (p *PeerStreams) serve(ln net.Listener) {
	server := &http.Server{
		Handler:     http.HandlerFunc(p.serveStream),
		Protocols:   cleartextHTTP2(),
		IdleTimeout: time.Minute,
		HTTP2:       &http.HTTP2Config{MaxConcurrentStreams: 4, SendPingTimeout: 15 * time.Second},
		ErrorLog:    slog.NewLogLogger(p.log.Handler(), slog.LevelDebug),
	}
	err := server.Serve(&limitedListener{Listener: ln, maxOpen: maxPeerConns})
	p.log.Error("peer listener failed", "error", err)
}

// cleartextHTTP2 is HTTP/2 without encryption and nothing else.
func cleartextHTTP2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

// limitedListener closes connections beyond a number at once.
type limitedListener struct {
	net.Listener
	maxOpen int32
	open    atomic.Int32
}

// Accept implements net.Listener. Errors of accepting, such as a lack of sockets, pass.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err != nil:
			time.Sleep(acceptRetryDelay)
		case l.open.Add(1) > l.maxOpen:
			l.open.Add(-1)
			_ = c.Close() // nothing was read from it
		default:
			return &limitedConn{Conn: c, listener: l}, nil
		}
	}
}

type limitedConn struct {
	net.Conn
	listener *limitedListener
	closed   atomic.Bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

func (p *PeerStreams) serveStream(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerPath || r.Method != http.MethodGet {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s := &subscriber{name: r.URL.Query().Get(peerNameParam), lines: make(chan []byte, peerQueueLength)}
	p.mu.Lock()
	if p.last != nil {
		s.lines <- p.last
	}
	p.subscribers[s] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.subscribers, s)
		p.mu.Unlock()
	}()
	for {
		select {
		case <-r.Context().Done():
			return
		case line := <-s.lines:
			if _, err := w.Write(append(line[:len(line):len(line)], '\n')); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}

func (p *PeerStreams) subscribe(addr string) {
	transport := &http.Transport{
		Protocols:         cleartextHTTP2(),
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: 5 * time.Second, PingTimeout: 5 * time.Second},
		ForceAttemptHTTP2: true,
	}
	for {
		if err := p.readStream(transport, addr); err != nil {
			p.log.Debug("peer stream ended", "peer", addr, "error", err)
		}
		transport.CloseIdleConnections()
		time.Sleep(peerRedialInterval)
	}
}

func (p *PeerStreams) readStream(t *http.Transport, addr string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// A peer tells something every second; one that doesn't is dialled anew.
	watchdog := time.AfterFunc(peerReadTimeout, cancel)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+peerPath+"?"+url.Values{peerNameParam: {p.name}}.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // all that counts was read
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), MaxPeerLine+1) // and its end
	for lines.Scan() {
		watchdog.Reset(peerReadTimeout)
		p.receive(append([]byte(nil), lines.Bytes()...))
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}
