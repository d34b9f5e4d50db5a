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

// newLoopbackServices starts a live stand-in whose controllers don't run.
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

// get asks a service; an error stands for a connection that failed, or for no answer in
// time.
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

// Times that tests of services give an answer: one that must come, and one that must not.
const (
	answerTimeout = 10 * time.Second
	noAnswerWait  = 200 * time.Millisecond
)

func wantStatus(t *testing.T, addr, target string, want int) []byte {
	t.Helper()
	status, body, err := get(addr, target, answerTimeout)
	if err != nil || status != want {
		t.Errorf("GET %s: %d, %v, want %d", target, status, err, want)
	}
	return body
}

// TestLoopbackLinks refuses, cuts, holds and resets the links of one node to the services,
// while another is served.
func TestLoopbackLinks(t *testing.T) {
	l := newLoopbackServices(t, LoopbackOptions{})
	one, other := l.Controllers()[0], l.Controllers()[1]
	missing := protocol.KeyTarget("a/b")
	served := func(k *ControllerProcess) {
		t.Helper()
		wantStatus(t, k.StateAddr(), missing, 404)
		wantStatus(t, k.CloudAddr(), protocol.PathMachineTypes, 200)
	}
	served(one)
	served(other)

	l.Do(func(c *Cluster) { c.state.refusedNodes[one.Name()], c.cloud.refusedNodes[one.Name()] = true, true })
	wantStatus(t, one.StateAddr(), missing, 503)
	wantStatus(t, one.CloudAddr(), protocol.PathMachineTypes, 503)
	served(other)
	l.Do(func(c *Cluster) {
		c.state.readmit()
		clear(c.cloud.refusedNodes)
	})
	served(one)

	l.Do(func(c *Cluster) { c.Cut(one.Name(), stateHost, false) })
	if _, _, err := get(one.StateAddr(), missing, noAnswerWait); !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a node that is cut off gets %v", err)
	}
	served(other)
	l.Do((*Cluster).Heal)
	served(one)

	l.Do(func(c *Cluster) { c.ResetOneWay(one.Name(), cloudHost) })
	if _, _, err := get(one.CloudAddr(), protocol.PathMachineTypes, answerTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("a connection that is reset ends with %v", err)
	}
	served(other)
	l.Do((*Cluster).Heal)
	served(one)
}

// TestLoopbackHeldLinks holds a transaction: it is applied when the cut is over, though its sender
// has given it up.
func TestLoopbackHeldLinks(t *testing.T) {
	l := newLoopbackServices(t, LoopbackOptions{})
	k := l.Controllers()[0]
	l.Do(func(c *Cluster) { c.Cut(k.Name(), stateHost, true) })
	txn := protocol.EncodeTxn(&protocol.Txn{Ops: []protocol.Op{{Put: "a/b", Value: []byte("1")}}})
	client := &http.Client{Timeout: noAnswerWait}
	if _, err := client.Post("http://"+k.StateAddr()+protocol.PathTransactions, "application/json", strings.NewReader(string(txn))); err == nil {
		t.Error("a transaction that is held is answered")
	}
	l.Do(func(c *Cluster) {
		if len(c.state.keys) > 0 {
			t.Error("a transaction that is held is applied")
		}
		c.Heal()
	})
	awaitCondition(t, l, "the transaction", func(c *Cluster) bool { return len(c.state.keys) == 1 })
}

func awaitCondition(t *testing.T, l *Loopback, what string, holds func(*Cluster) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	if err := l.Await(ctx, what, holds); err != nil {
		t.Error(err)
	}
}

// TestLoopbackWatch leaves a watch open until there is news.
func TestLoopbackWatch(t *testing.T) {
	l := newLoopbackServices(t, LoopbackOptions{})
	k := l.Controllers()[0]
	news := make(chan []byte, 1)
	go func() {
		_, body, _ := get(k.StateAddr(), protocol.WatchTarget("a/", 0, time.Minute), answerTimeout)
		news <- body
	}()
	awaitCondition(t, l, "the watch to be open", func(c *Cluster) bool { return len(c.state.watches) == 1 })
	l.Do(func(c *Cluster) {
		c.state.commit(&protocol.Txn{Ops: []protocol.Op{{Put: "a/b", Value: []byte("1")}}}, ignoreResponse)
	})
	if events, _, err := protocol.ParseEvents(<-news); err != nil || len(events) != 1 || events[0].Key != "a/b" {
		t.Errorf("the watch tells %v, %v", events, err)
	}
}

// TestLoopbackMachines looks at the addresses of machines: simulated ones answer there,
// external ones are listed with the address that was given.
func TestLoopbackMachines(t *testing.T) {
	external := ExternalMachine{Name: "home-1", Type: "large", Zone: "a", Endpoint: "127.0.0.1:9000"}
	l := newLoopbackServices(t, LoopbackOptions{Options: Options{Machines: 1}, ExternalMachines: []ExternalMachine{external}})
	var simulated string
	awaitCondition(t, l, "the machine", func(c *Cluster) bool {
		for name, w := range c.agents {
			simulated = name
			return !w.machine.bootedAt.IsZero()
		}
		return false
	})
	var addr string
	l.Do(func(c *Cluster) { addr = c.agents[simulated].machine.addr })
	report, err := protocol.ParseHeartbeat(wantStatus(t, addr, protocol.PathWorkerStatus, 200))
	if err != nil || report.Machine != simulated || report.Addr != addr {
		t.Errorf("the worker shows %+v, %v", report, err)
	}
	list, _, err := protocol.ParseMachines(wantStatus(t, l.Controllers()[0].CloudAddr(), protocol.MachinesTarget(""), 200))
	index := slices.IndexFunc(list, func(m protocol.ListedMachine) bool { return m.Name == external.Name })
	if err != nil || index < 0 {
		t.Fatalf("the cloud lists %+v, %v", list, err)
	}
	if m := list[index]; m.Addr != external.Endpoint || m.Type != external.Type || m.Zone != external.Zone || m.State != protocol.Up {
		t.Errorf("the cloud lists %+v", m)
	}
	for _, bad := range []func(*ExternalMachine){
		func(m *ExternalMachine) { m.Name = "" },
		func(m *ExternalMachine) { m.Name = "vm-000099" },
		func(m *ExternalMachine) { m.Type = "none" },
		func(m *ExternalMachine) { m.Zone = "z" },
		func(m *ExternalMachine) { m.Endpoint = "here" },
	} {
		m := external
		m.Name = "home-2"
		bad(&m)
		if l, err := NewLoopback(LoopbackOptions{Dir: t.TempDir(), Options: Options{Controllers: 1}, ExternalMachines: []ExternalMachine{m}}); err == nil {
			l.Close()
			t.Errorf("%+v is taken", m)
		}
	}
}

// TestLoopbackProcessEnds sees to it that a controller that ends by itself is noticed, and one that
// is killed is not.
func TestLoopbackProcessEnds(t *testing.T) {
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
	awaitCondition(t, l, "the end", func(c *Cluster) bool {
		return len(c.Violations()) == 1 && strings.HasPrefix(c.Violations()[0], "ended")
	})
	if l := newLoopbackServices(t, LoopbackOptions{Binary: "./none"}); l.StartControllers() == nil {
		t.Error("a program that is missing is started")
	}
}

// connPair is a connection by way of a forwarder, seen from both of its ends.
type connPair struct {
	t              *testing.T
	client, server net.Conn
}

// connectPair makes a connection from the first controller to the second.
func connectPair(t *testing.T, l *Loopback, back net.Listener) *connPair {
	t.Helper()
	near, err := net.Dial("tcp", l.Controllers()[0].settings.Peers[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	far, err := back.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return &connPair{t, near, far}
}

func (p *connPair) write(c net.Conn, text string) {
	p.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		p.t.Error(err)
	}
}

// expectBytes waits for bytes, and nothing sees to it that none come.
func (p *connPair) expectBytes(c net.Conn, want string) {
	p.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		p.t.Errorf("%q arrives, %v, want %q", got, err, want)
	}
}

func (p *connPair) expectNothing(c net.Conn) {
	p.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(noAnswerWait))
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Errorf("%d bytes arrive, %v", n, err)
	}
}

func (p *connPair) expectClosed(c net.Conn) {
	p.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Errorf("the connection is not over: %d bytes, %v", n, err)
	}
}

// TestLoopbackForwarder cuts the links between two controllers in every way, each direction
// by itself. The second one's port, which the stand-in keeps, is listened on meanwhile.
func TestLoopbackForwarder(t *testing.T) {
	l := newLoopbackServices(t, LoopbackOptions{})
	a, b := l.Controllers()[0], l.Controllers()[1]
	back, err := net.Listen("tcp", b.settings.PeerListenAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { back.Close() })

	p := connectPair(t, l, back)
	p.write(p.client, "there")
	p.expectBytes(p.server, "there")
	p.write(p.server, "back")
	p.expectBytes(p.client, "back")

	// Held one way: bytes come late and in order, the other way goes on.
	l.Do(func(c *Cluster) { c.CutOneWay(a.Name(), b.Name(), true) })
	p.write(p.client, "one")
	p.write(p.server, "other way")
	p.expectBytes(p.client, "other way")
	p.expectNothing(p.server)
	p.write(p.client, "two")
	l.Do((*Cluster).Heal)
	p.expectBytes(p.server, "onetwo")

	// Lost one way: nothing comes, and the connection is over once the cut is.
	l.Do(func(c *Cluster) { c.CutOneWay(b.Name(), a.Name(), false) })
	p.write(p.server, "lost")
	p.write(p.client, "there")
	p.expectBytes(p.server, "there")
	p.expectNothing(p.client)
	during := &forwardedConn{forwarder: &forwarder{loopback: l, from: a.Name(), to: b.Name()}, ended: make(chan struct{})}
	if during.established() {
		t.Error("a connection begins during a cut")
	}
	l.Do((*Cluster).Heal)
	p.expectClosed(p.client)
	p.expectClosed(p.server)
	given, up := net.Pipe()
	during.awaitEnd(given)
	p.expectClosed(up)

	testForwarderReset(t, l, back)

	// An end is passed on.
	p = connectPair(t, l, back)
	p.client.Close()
	p.expectClosed(p.server)
}

// testForwarderReset expects a connection whose link is reset to be over at once, and so a new
// one.
func testForwarderReset(t *testing.T, l *Loopback, back net.Listener) {
	t.Helper()
	a, b := l.Controllers()[0], l.Controllers()[1]
	p := connectPair(t, l, back)
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
