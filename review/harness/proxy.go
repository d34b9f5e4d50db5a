package harness

import (
	"net"
	"sync"
)

// Proxy forwards connections to an address, until it refuses them.
type Proxy struct {
	mu       sync.Mutex
	addr, to string
	listener net.Listener // nil while connections are refused
	open     map[net.Conn]bool
	resume   chan struct{} // closed at the end of a hold; nil while nothing is held
}

// NewProxy returns a proxy to an address on a free port of the loopback interface.
func NewProxy(to string) (*Proxy, error) {
	p := &Proxy{addr: freeAddr(), to: to, open: map[net.Conn]bool{}}
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

// Hold makes the proxy hold back all bytes and new connections. They are delivered in order once
// Release is called, also those of connections that their senders have closed meanwhile.
func (p *Proxy) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

// Release ends a hold.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// wait returns once nothing is held back.
func (p *Proxy) wait() {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		<-resume
	}
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
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, to)
	delete(p.open, from)
}
