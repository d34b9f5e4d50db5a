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
	peerRedialInterval = time.Second            // from the end of a peer's stream to the next request for it
	peerReadTimeout    = 10 * time.Second       // time without a line after which a stream counts as broken
	peerQueueLength    = 16                     // lines that wait for a slow peer
	maxPeerConns       = 16                     // open connections from peers
	acceptRetryDelay   = 100 * time.Millisecond // after a failed accept
)

// MaxPeerLine is the maximum length of a line on a stream, in bytes.
const MaxPeerLine = 64 << 10

// peerNameParam is the query parameter with the name of the controller that requests a stream.
const peerNameParam = "node"

// PeerStreams exchanges lines with the other controllers: it reads an HTTP/2 stream from each of
// them, and serves one to each that connects. Lines may be lost. A lost line of Publish needs no
// repetition, since the next published line replaces it. Users of Send must detect the loss of a
// line themselves.
type PeerStreams struct {
	name    string
	receive func(line []byte)
	log     *slog.Logger

	mu          sync.Mutex
	subscribers map[*subscriber]struct{}
	last        []byte // the latest published line, sent first on a new stream
	dropped     int    // lines dropped since the previous TakeDropped
}

// subscriber is a peer that reads a stream from this process, under the name that it gave.
type subscriber struct {
	name  string
	lines chan []byte
}

// offer queues a line unless the queue is full, and reports whether it did.
func (s *subscriber) offer(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// NewPeerStreams serves streams on listen and reads those of the peers at the given addresses.
// It calls receive with each line from goroutines of its own. name is this controller's name,
// under which it subscribes to the peers' streams.
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

// Publish sends a line to every connected peer, except those whose queue is full.
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

// Send sends a line to one peer, if it is connected and its queue is not full.
func (p *PeerStreams) Send(name string, line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		if s.name == name && !s.offer(line) {
			p.dropped++
		}
	}
}

// TakeDropped returns the number of lines dropped because of full queues since the previous call.
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

// cleartextHTTP2 enables only HTTP/2 without TLS.
func cleartextHTTP2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

// limitedListener immediately closes connections beyond a limit of open ones.
type limitedListener struct {
	net.Listener
	maxOpen int32
	open    atomic.Int32
}

// Accept implements net.Listener. It retries after errors, such as a lack of file descriptors.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err != nil:
			time.Sleep(acceptRetryDelay)
		case l.open.Add(1) > l.maxOpen:
			l.open.Add(-1)
			_ = c.Close() // nothing was read, so the error does not matter
		default:
			return &limitedConn{Conn: c, listener: l}, nil
		}
	}
}

// limitedConn is a connection that counts towards the listener's limit until it is closed.
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

// serveStream sends queued lines to a peer until it disconnects.
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

// subscribe reads the stream of one peer, and reconnects whenever it ends.
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
	// A peer sends a line every second. After peerReadTimeout without one the connection is
	// considered broken.
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
	defer func() { _ = resp.Body.Close() }() // only reads, so the error does not matter
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), MaxPeerLine+1) // with the line feed
	for lines.Scan() {
		watchdog.Reset(peerReadTimeout)
		p.receive(append([]byte(nil), lines.Bytes()...))
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}
