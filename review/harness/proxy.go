package harness

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to an address, until it refuses them.
type Proxy struct {
	mu       sync.Mutex
	addr, to string
	listener net.Listener // nil while connections are refused
	open     map[net.Conn]bool
}

// NewProxy returns a proxy to an address on a free port of the loopback interface.
func NewProxy(to string) (*Proxy, error) {
	p := &Proxy{addr: anyPort, to: to, open: map[net.Conn]bool{}}
	return p, p.Allow()
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.addr }

// Allow makes the proxy accept connections, always on the same address.
func (p *Proxy) Allow() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.listener, p.addr = listener, listener.Addr().String()
	go p.accept(listener)
	return nil
}

// Refuse makes the proxy refuse connections, and resets those that are open.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return
	}
	p.listener.Close()
	p.listener = nil
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset instead of a regular end; without it the connection still ends
		}
		conn.Close()
	}
	clear(p.open)
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		if p.listener == nil {
			client.Close()
			server.Close()
		} else {
			p.open[client], p.open[server] = true, true
			go p.copy(client, server)
			go p.copy(server, client)
		}
		p.mu.Unlock()
	}
}

// copy forwards bytes until one side ends, and ends the other.
func (p *Proxy) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from) // the end of a connection is no error of the test
	to.Close()
	from.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, to)
	delete(p.open, from)
}
