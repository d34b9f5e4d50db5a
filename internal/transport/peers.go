package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/http2"
)

// Limits of the streams between controllers.
const (
	peerPath     = "/peer/v1/events"
	maxPeerLine  = 64 << 10
	peerRetry    = time.Second
	peerSilence  = 10 * time.Second
	peerQueue    = 16
	maxPeerConns = 16
)

// Peers keeps one HTTP/2 stream to each other controller, on which that
// controller tells its events, a line each. They are hints: a lost one is
// made up for by the next.
type Peers struct {
	receive func(line []byte)
	log     *slog.Logger

	mu      sync.Mutex
	streams map[chan []byte]struct{}
	last    []byte
}

// NewPeers serves events on listen and receives those of the peers, handing
// each to receive, from goroutines of its own.
func NewPeers(listen string, peers []string, receive func(line []byte), log *slog.Logger) (*Peers, error) {
	p := &Peers{receive: receive, log: log, streams: map[chan []byte]struct{}{}}
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
	for c := range p.streams {
		select {
		case c <- line:
		default:
		}
	}
}

func (p *Peers) serve(ln net.Listener) {
	server := &http2.Server{MaxConcurrentStreams: 4, IdleTimeout: time.Minute, ReadIdleTimeout: 15 * time.Second}
	handler := http.HandlerFunc(p.events)
	slots := make(chan struct{}, maxPeerConns)
	for {
		c, err := ln.Accept()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				defer c.Close()
				server.ServeConn(c, &http2.ServeConnOpts{Handler: handler})
			}()
		default:
			c.Close()
		}
	}
}

func (p *Peers) events(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerPath || r.Method != http.MethodGet {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	c := make(chan []byte, peerQueue)
	p.mu.Lock()
	if p.last != nil {
		c <- p.last
	}
	p.streams[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.streams, c)
		p.mu.Unlock()
	}()
	for {
		select {
		case <-r.Context().Done():
			return
		case line := <-c:
			if _, err := w.Write(append(line[:len(line):len(line)], '\n')); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}

func (p *Peers) follow(addr string) {
	transport := &http2.Transport{
		AllowHTTP: true,
		DialTLSContext: func(ctx context.Context, network, addr string, _ *tls.Config) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}
			return d.DialContext(ctx, network, addr)
		},
		ReadIdleTimeout: 5 * time.Second,
		PingTimeout:     5 * time.Second,
	}
	for {
		if err := p.stream(transport, addr); err != nil {
			p.log.Debug("peer stream ended", "peer", addr, "err", err)
		}
		transport.CloseIdleConnections()
		time.Sleep(peerRetry)
	}
}

func (p *Peers) stream(t *http2.Transport, addr string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// A peer tells something every second; one that doesn't is dialled anew.
	watchdog := time.AfterFunc(peerSilence, cancel)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+peerPath, nil)
	if err != nil {
		return err
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxPeerLine)
	for lines.Scan() {
		watchdog.Reset(peerSilence)
		p.receive(append([]byte(nil), lines.Bytes()...))
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}
