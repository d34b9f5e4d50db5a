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
	peerPath     = "/peer/v1/events"
	peerRetry    = time.Second
	peerSilence  = 10 * time.Second
	peerQueue    = 16
	maxPeerConns = 16
	acceptRetry  = 100 * time.Millisecond
)

// MaxPeerLine is the length of the longest line that a stream takes.
const MaxPeerLine = 64 << 10

// peerName is the field of a request for a stream that names who asks.
const peerName = "node"

// Peers keeps one HTTP/2 stream to each other controller, on which that
// controller tells its events, a line each. They are hints: a lost one is
// made up for by the next.
type Peers struct {
	name    string
	receive func(line []byte)
	log     *slog.Logger

	mu      sync.Mutex
	streams map[*stream]struct{}
	last    []byte
	dropped int
}

// stream is what a peer reads. Its name is as the peer gave it.
type stream struct {
	name  string
	lines chan []byte
}

// offer puts a line on a stream, and reports whether there was room.
func (s *stream) offer(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// NewPeers serves events on listen and receives those of the peers, handing
// each to receive, from goroutines of its own. name tells the peers whose stream it is.
func NewPeers(listen, name string, peers []string, receive func(line []byte), log *slog.Logger) (*Peers, error) {
	p := &Peers{name: name, receive: receive, log: log, streams: map[*stream]struct{}{}}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go p.serve(ln)
	for _, addr := range peers {
		go p.follow(addr)
	}
	return p, nil
}

// Publish tells every peer that listens. A peer that can't keep up misses
// events.
func (p *Peers) Publish(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = line
	for s := range p.streams {
		if !s.offer(line) {
			p.dropped++
		}
	}
}

// Send tells one peer, if it listens. A peer that can't keep up misses the line.
func (p *Peers) Send(name string, line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		if s.name == name && !s.offer(line) {
			p.dropped++
		}
	}
}

// Dropped tells how many lines peers missed since it was last asked.
func (p *Peers) Dropped() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := p.dropped
	p.dropped = 0
	return count
}

func (p *Peers) serve(ln net.Listener) {
	server := &http.Server{
		Handler:     http.HandlerFunc(p.events),
		Protocols:   plainHTTP2(),
		IdleTimeout: time.Minute,
		HTTP2:       &http.HTTP2Config{MaxConcurrentStreams: 4, SendPingTimeout: 15 * time.Second},
		ErrorLog:    slog.NewLogLogger(p.log.Handler(), slog.LevelDebug),
	}
	err := server.Serve(&boundedListener{Listener: ln, most: maxPeerConns})
	p.log.Error("peer listener failed", "error", err)
}

// plainHTTP2 is HTTP/2 without encryption and nothing else.
func plainHTTP2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

// boundedListener closes connections beyond a number at once.
type boundedListener struct {
	net.Listener
	most int32
	open atomic.Int32
}

// Accept implements net.Listener. Errors of accepting, such as a lack of sockets, pass.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err != nil:
			time.Sleep(acceptRetry)
		case l.open.Add(1) > l.most:
			l.open.Add(-1)
			c.Close()
		default:
			return &boundedConn{Conn: c, listener: l}, nil
		}
	}
}

type boundedConn struct {
	net.Conn
	listener *boundedListener
	closed   atomic.Bool
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

func (p *Peers) events(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerPath || r.Method != http.MethodGet {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s := &stream{name: r.URL.Query().Get(peerName), lines: make(chan []byte, peerQueue)}
	p.mu.Lock()
	if p.last != nil {
		s.lines <- p.last
	}
	p.streams[s] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.streams, s)
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

func (p *Peers) follow(addr string) {
	transport := &http.Transport{
		Protocols:         plainHTTP2(),
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: 5 * time.Second, PingTimeout: 5 * time.Second},
		ForceAttemptHTTP2: true,
	}
	for {
		if err := p.stream(transport, addr); err != nil {
			p.log.Debug("peer stream ended", "peer", addr, "error", err)
		}
		transport.CloseIdleConnections()
		time.Sleep(peerRetry)
	}
}

func (p *Peers) stream(t *http.Transport, addr string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// A peer tells something every second; one that doesn't is dialled anew.
	watchdog := time.AfterFunc(peerSilence, cancel)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+peerPath+"?"+url.Values{peerName: {p.name}}.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), MaxPeerLine+1) // and its end
	for lines.Scan() {
		watchdog.Reset(peerSilence)
		p.receive(append([]byte(nil), lines.Bytes()...))
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}
