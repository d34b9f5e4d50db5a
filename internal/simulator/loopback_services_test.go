package simulator

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

// newLoopbackServices starts the services of a loopback cluster; its two controllers don't run.
func newLoopbackServices(t *testing.T, o LoopbackOptions) *Loopback {
	t.Helper()
	o.Dir, o.Controllers = t.TempDir(), 2
	l, err := NewLoopback(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// get sends a GET request to a service. The error is set if the connection failed or no response
// came in time.
func get(addr, target string, within time.Duration) (int, []byte, error) {
	client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + addr + target)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

const (
	answerTimeout = 10 * time.Second       // for a response that must come
	noAnswerWait  = 200 * time.Millisecond // for a response that must not come
)

func wantStatus(t *testing.T, addr, target string, want int) []byte {
	t.Helper()
	status, body, err := get(addr, target, answerTimeout)
	if err != nil || status != want {
		t.Errorf("GET %s: %d, %v, want %d", target, status, err, want)
	}
	return body
}

// TestLoopbackLinks makes the services refuse one controller, and cuts and resets its links to them,
// while the other controller is served all the time.
func TestLoopbackLinks(t *testing.T) {
	l := newLoopbackServices(t, LoopbackOptions{})
	first, second := l.Controllers()[0], l.Controllers()[1]
	missing := protocol.KeyTarget("a/b")
	checkServed := func(controller *ControllerProcess) {
		t.Helper()
		wantStatus(t, controller.StateAddr(), missing, 404)
		wantStatus(t, controller.CloudAddr(), protocol.PathMachineTypes, 200)
	}
	checkServed(first)
	checkServed(second)

	l.Do(func(c *Cluster) {
		c.state.refusedControllers[first.Name()], c.cloud.refusedControllers[first.Name()] = true, true
	})
	wantStatus(t, first.StateAddr(), missing, 503)
	wantStatus(t, first.CloudAddr(), protocol.PathMachineTypes, 503)
	checkServed(second)
	l.Do(func(c *Cluster) {
		c.state.readmit()
		clear(c.cloud.refusedControllers)
	})
	checkServed(first)

	l.Do(func(c *Cluster) { c.Cut(first.Name(), stateHost, false) })
	if _, _, err := get(first.StateAddr(), missing, noAnswerWait); !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("request over a link that is cut: error %v, want a timeout", err)
	}
	checkServed(second)
	l.Do((*Cluster).Heal)
	checkServed(first)

	l.Do(func(c *Cluster) { c.ResetOneWay(first.Name(), cloudHost) })
	if _, _, err := get(first.CloudAddr(), protocol.PathMachineTypes, answerTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("request over a link that is reset: error %v, want EOF", err)
	}
	checkServed(second)
	l.Do((*Cluster).Heal)
	checkServed(first)
}

// TestLoopbackHeldLinks checks that a transaction that is held on its way is applied when the cut
// ends, although its sender has given up by then.
func TestLoopbackHeldLinks(t *testing.T) {
	l := newLoopbackServices(t, LoopbackOptions{})
	k := l.Controllers()[0]
	l.Do(func(c *Cluster) { c.Cut(k.Name(), stateHost, true) })
	txn := protocol.EncodeTxn(&protocol.Txn{Ops: []protocol.Op{{Put: "a/b", Value: []byte("1")}}})
	client := &http.Client{Timeout: noAnswerWait}
	if _, err := client.Post("http://"+k.StateAddr()+protocol.PathTransactions, "application/json", strings.NewReader(string(txn))); err == nil {
		t.Error("a transaction that is held gets a response")
	}
	l.Do(func(c *Cluster) {
		if len(c.state.keys) > 0 {
			t.Error("a transaction that is held is applied before the cut ends")
		}
		c.Heal()
	})
	awaitCondition(t, l, "the transaction to be applied", func(c *Cluster) bool { return len(c.state.keys) == 1 })
}

// awaitCondition waits until a condition on the cluster holds, and fails the test if it doesn't in
// time.
func awaitCondition(t *testing.T, l *Loopback, what string, holds func(*Cluster) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	if err := l.Await(ctx, what, holds); err != nil {
		t.Error(err)
	}
}

// TestLoopbackWatch checks that a watch stays open until there is an event.
func TestLoopbackWatch(t *testing.T) {
	l := newLoopbackServices(t, LoopbackOptions{})
	k := l.Controllers()[0]
	responses := make(chan []byte, 1)
	go func() {
		_, body, _ := get(k.StateAddr(), protocol.WatchTarget("a/", 0, time.Minute), answerTimeout)
		responses <- body
	}()
	awaitCondition(t, l, "the watch to be open", func(c *Cluster) bool { return len(c.state.watches) == 1 })
	l.Do(func(c *Cluster) {
		c.state.commit(&protocol.Txn{Ops: []protocol.Op{{Put: "a/b", Value: []byte("1")}}}, ignoreResponse)
	})
	if events, _, err := protocol.ParseEvents(<-responses); err != nil || len(events) != 1 || events[0].Key != "a/b" {
		t.Errorf("the watch returns %v, %v, want one event for a/b", events, err)
	}
}

// TestLoopbackMachines checks the addresses of machines: simulated machines respond at theirs, and
// external machines are listed with the configured address. Invalid external machines are rejected.
func TestLoopbackMachines(t *testing.T) {
	external := ExternalMachine{Name: "home-1", Type: "large", Zone: "a", Endpoint: "127.0.0.1:9000"}
	l := newLoopbackServices(t, LoopbackOptions{Options: Options{Machines: 1}, ExternalMachines: []ExternalMachine{external}})
	var simulated string
	awaitCondition(t, l, "the machine to boot", func(c *Cluster) bool {
		for name, w := range c.agents {
			simulated = name
			return !w.machine.bootedAt.IsZero()
		}
		return false
	})
	var addr string
	l.Do(func(c *Cluster) { addr = c.agents[simulated].machine.addr })
	heartbeat, err := protocol.ParseHeartbeat(wantStatus(t, addr, protocol.PathWorkerStatus, 200))
	if err != nil || heartbeat.Machine != simulated || heartbeat.Addr != addr {
		t.Errorf("the worker at %s returns the status %+v, %v, want machine %s", addr, heartbeat, err, simulated)
	}
	list, _, err := protocol.ParseMachines(wantStatus(t, l.Controllers()[0].CloudAddr(), protocol.MachinesTarget(""), 200))
	index := slices.IndexFunc(list, func(m protocol.ListedMachine) bool { return m.Name == external.Name })
	if err != nil || index < 0 {
		t.Fatalf("the cloud lists %+v, %v, without the external machine", list, err)
	}
	if m := list[index]; m.Addr != external.Endpoint || m.Type != external.Type || m.Zone != external.Zone || m.State != protocol.Up {
		t.Errorf("the cloud lists the external machine as %+v, not as it is configured", m)
	}
	for _, invalidate := range []func(*ExternalMachine){
		func(m *ExternalMachine) { m.Name = "" },
		func(m *ExternalMachine) { m.Name = "vm-000099" },
		func(m *ExternalMachine) { m.Type = "none" },
		func(m *ExternalMachine) { m.Zone = "z" },
		func(m *ExternalMachine) { m.Endpoint = "here" },
	} {
		m := external
		m.Name = "home-2"
		invalidate(&m)
		if l, err := NewLoopback(LoopbackOptions{Dir: t.TempDir(), Options: Options{Controllers: 1}, ExternalMachines: []ExternalMachine{m}}); err == nil {
			l.Close()
			t.Errorf("the invalid external machine %+v is accepted", m)
		}
	}
}

// TestLoopbackProcessExit checks that a controller process that exits by itself is reported as a
// violation, and that a missing program gives an error.
func TestLoopbackProcessExit(t *testing.T) {
	program := func(name string) string {
		path, err := exec.LookPath(name)
		if err != nil {
			t.Skip(err)
		}
		return path
	}
	l := newLoopbackServices(t, LoopbackOptions{Binary: program("false")})
	if err := l.Controllers()[0].Start(); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, l, "the exit of the process to be reported", func(c *Cluster) bool {
		return len(c.Violations()) == 1 && strings.HasPrefix(c.Violations()[0], "ended")
	})
	if l := newLoopbackServices(t, LoopbackOptions{Binary: "./none"}); l.StartControllers() == nil {
		t.Error("starting a missing program gives no error")
	}
}

// connPair holds both ends of a connection through a forwarder.
type connPair struct {
	t              *testing.T
	client, server net.Conn
}

// connectPair connects to the address at which the first controller reaches the second, and accepts
// the connection at the second controller's listener.
func connectPair(t *testing.T, l *Loopback, listener net.Listener) *connPair {
	t.Helper()
	client, err := net.Dial("tcp", l.Controllers()[0].settings.Peers[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return &connPair{t, client, server}
}

func (p *connPair) write(c net.Conn, text string) {
	p.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		p.t.Error(err)
	}
}

// expectBytes waits for bytes and compares them.
func (p *connPair) expectBytes(c net.Conn, want string) {
	p.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		p.t.Errorf("received %q, %v, want %q", got, err, want)
	}
}

// expectNothing checks that for a while no bytes arrive and the connection stays open.
func (p *connPair) expectNothing(c net.Conn) {
	p.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(noAnswerWait))
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Errorf("received %d bytes, %v, want none and an open connection", n, err)
	}
}

func (p *connPair) expectClosed(c net.Conn) {
	p.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Errorf("received %d bytes, %v, want a closed connection", n, err)
	}
}

// TestLoopbackForwarder holds, drops and resets the links between two controllers, one direction at a
// time. The test listens at the second controller's peer address, which the cluster has reserved
// for it.
func TestLoopbackForwarder(t *testing.T) {
	l := newLoopbackServices(t, LoopbackOptions{})
	a, b := l.Controllers()[0], l.Controllers()[1]
	listener, err := net.Listen("tcp", b.settings.PeerListenAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })

	p := connectPair(t, l, listener)
	p.write(p.client, "there")
	p.expectBytes(p.server, "there")
	p.write(p.server, "back")
	p.expectBytes(p.client, "back")

	// Held in one direction: bytes arrive in order when the cut ends. The other direction works.
	l.Do(func(c *Cluster) { c.CutOneWay(a.Name(), b.Name(), true) })
	p.write(p.client, "one")
	p.write(p.server, "other way")
	p.expectBytes(p.client, "other way")
	p.expectNothing(p.server)
	p.write(p.client, "two")
	l.Do((*Cluster).Heal)
	p.expectBytes(p.server, "onetwo")

	// Dropped in one direction: nothing arrives, and the connection is closed when the cut ends.
	// So is one that was opened during the cut.
	l.Do(func(c *Cluster) { c.CutOneWay(b.Name(), a.Name(), false) })
	p.write(p.server, "lost")
	p.write(p.client, "there")
	p.expectBytes(p.server, "there")
	p.expectNothing(p.client)
	duringCut := &forwardedConn{forwarder: &forwarder{loopback: l, from: a.Name(), to: b.Name()}, ended: make(chan struct{})}
	if duringCut.established() {
		t.Error("a connection is established during a cut")
	}
	l.Do((*Cluster).Heal)
	p.expectClosed(p.client)
	p.expectClosed(p.server)
	forwarderEnd, clientEnd := net.Pipe()
	duringCut.awaitEnd(forwarderEnd)
	p.expectClosed(clientEnd)

	testForwarderReset(t, l, listener)

	// When one end closes the connection, the other end is closed, too.
	p = connectPair(t, l, listener)
	p.client.Close()
	p.expectClosed(p.server)
}

// testForwarderReset checks that a reset link closes an open connection at once, and also a new one.
func testForwarderReset(t *testing.T, l *Loopback, listener net.Listener) {
	t.Helper()
	a, b := l.Controllers()[0], l.Controllers()[1]
	p := connectPair(t, l, listener)
	l.Do(func(c *Cluster) { c.ResetOneWay(a.Name(), b.Name()) })
	p.expectClosed(p.client)
	p.expectClosed(p.server)
	after, err := net.Dial("tcp", a.settings.Peers[0].Addr)
	switch {
	case err == nil:
		defer after.Close()
		p.expectClosed(after)
	case !errors.Is(err, syscall.ECONNRESET): // the reset may come before the dial returns
		t.Fatal(err)
	}
	l.Do((*Cluster).Heal)
}
