// Package simulator is a deterministic stand-in for everything a controller
// deals with: the state service, the cloud, workers, users and the network
// between them, on a simulated clock. It checks the protocol's rules at every
// step, so that each test of it tests them too.
//
// Live serves the same cluster over HTTP on the loopback interface, in real time, to
// controllers that are processes.
package simulator

import (
	"container/heap"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination"
	"brasskeel/internal/protocol"
)

// Options shape a cluster.
type Options struct {
	Seed     uint64
	Nodes    int
	Zones    []string // of the nodes in turn; machines can be had in each
	Machines int      // ordinary ones that run from the start, in zones in turn
	Capacity int      // machines that can be rented per type, zone and kind
	Fleet    bool     // limits, budgets and intervals of a fleet of a thousand machines
	Shards   int      // per controller; 0: the leader serves all machines
	Balance  *config.Balance
	Headroom float64 // share of free room kept; 0 for the default
	Limit    float64 // CPUs that each team may take; 0 for those of the settings above
	// Cost is the processor time of each event on a node: what comes faster waits, and
	// timers fire late, as on a small share of a processor.
	Cost time.Duration
	Log  io.Writer
	// Digest, if any, sums up all that controllers do.
	Digest hash.Hash
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Cluster is a simulated deployment.
type Cluster struct {
	now    time.Time
	begin  time.Time
	events eventHeap
	seq    uint64
	rng    *rand.Rand
	log    *slog.Logger

	servers     map[uint64]string // who served workers under a term
	gaps        *hdrhistogram.Histogram
	settings    config.Settings
	operator    config.Operator
	streams     map[link]*stream // between controllers
	nodes       []*node
	state       *stateService
	cloud       *cloud
	workers     map[string]*worker
	jobs        map[string]*userJob
	links       map[link]*cut
	linkChanges int                // so far
	used        map[string]float64 // CPUs, by team
	cost        time.Duration      // of each event on a node
	address     func(*host) string // of a new machine's worker
	broken      []string
	// Jobs come from users outside of the stand-in, too.
	outsiders bool
	copies    bool // direct orders that were carried out arrive once more, later
	// Reports arrive once more, after up to this long.
	reportCopies time.Duration
	// Copies of that share of the reports are kept and reach every controller as
	// the next leader begins.
	keepShare  float64
	kept       map[string][][]byte // by machine
	endShare   float64             // of the jobs that end is cancelled at that moment
	closeLooks bool                // users ask all nodes right after each change
	slowLinks  time.Duration       // up to this much more every message takes
	odd        int                 // odd requests sent, to name the next ones
	hooks      []*hook
	calm       time.Time // since when there is no trouble; zero while there is
	moves      *movesCheck
	placements placements
	wasted     float64                  // seconds of CPUs that were worked and not kept
	fetched    float64                  // GB of images, by all workers
	ceilings   map[string]*ceilingCheck // of teams that are known to surge
	digest     digest
}

// node is one controller's host.
type node struct {
	c      *Cluster
	name   string
	zone   string
	core   *coordination.Controller // nil while it is down, or runs as a process of its own
	remote process                  // nil when the core runs in this process
	boots  uint64
	wake   *event
	wakeAt time.Time
	reqID  uint64
	open   map[uint64]func(status int, body []byte)
	silent bool      // without power: nothing on it even refuses a connection
	frozen bool      // its process does nothing for now
	queued []func()  // what came meanwhile
	busy   time.Time // until when it has events to work at
	ticks  bool      // a tick of the core is among them
}

// process is a controller that runs as a process of its own.
type process interface {
	running() bool
	// request sends the process a request. respond runs when the answer is there, with
	// status 0 when none came in time.
	request(method, target string, body []byte, timeout time.Duration, respond func(status int, body []byte))
}

// up reports whether the node's process runs.
func (n *node) up() bool {
	if n.remote != nil {
		return n.remote.running()
	}
	return n.core != nil
}

// Names of hosts on links, besides those of nodes and machines.
const (
	stateHost = "state"
	cloudHost = "cloud"
	users     = "users"
)

// link is a direction between two hosts; cut is what happens on it.
type link struct{ from, to string }

type cut struct {
	hold  bool // deliver when the cut ends
	reset bool // connections fail at once
	held  []func()
}

// Types is what the stand-in cloud rents.
func types(zones []string) []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 10, FetchGBPerSecond: 1, PricePerHour: 0.25, SpotPricePerHour: 0.1, BootTime: 10 * time.Second, Zones: zones},
		{Name: "large", CPUs: 16, MemoryGB: 128, CacheGB: 20, FetchGBPerSecond: 1, PricePerHour: 1.1, SpotPricePerHour: 0.5, BootTime: 20 * time.Second, Zones: zones},
	}
}

// New starts a cluster on a simulated clock, with every controller's core in this process.
func New(o Options) *Cluster {
	c := newCluster(o, time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC), func(h *host) string { return h.name })
	for _, n := range c.nodes {
		n.start()
	}
	return c
}

// newCluster makes a cluster whose controllers don't run yet. address gives each new
// machine its worker's address.
func newCluster(o Options, begin time.Time, address func(*host) string) *Cluster {
	c := &Cluster{address: address,
		now: begin, begin: begin, rng: rand.New(rand.NewPCG(o.Seed, 7)), workers: map[string]*worker{},
		cost: o.Cost, jobs: map[string]*userJob{}, links: map[link]*cut{}, used: map[string]float64{}, kept: map[string][][]byte{},
		servers: map[uint64]string{}, gaps: newGaps(), streams: map[link]*stream{}, operator: config.DefaultOperator()}
	c.digest = digest{o.Digest}
	c.setShards(o.Shards)
	c.operator.Balance = o.Balance
	if o.Headroom > 0 {
		c.operator.HeadroomShare = o.Headroom
	}
	c.ceilings = map[string]*ceilingCheck{}
	c.moves = newMovesCheck()
	if o.Log == nil {
		o.Log = io.Discard
	}
	c.log = slog.New(slog.NewTextHandler(o.Log, &slog.HandlerOptions{Level: slog.LevelDebug,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.String("t", c.now.Sub(begin).String())
			}
			return a
		}}))
	if len(o.Zones) == 0 {
		o.Zones = []string{"a"}
	}
	c.settings = config.Settings{
		Teams: []config.Team{
			{Name: "red", CPUs: 16, CPUsMax: 64},
			{Name: "blue", CPUs: 16, CPUsMax: 32},
			{Name: "guest", CPUsMax: config.NoLimit, GPUsMax: config.NoLimit},
		},
		Objectives:     []config.Objective{{Kind: "guarantee", Within: 5 * time.Second, Share: 0.9}},
		ReportInterval: 2 * time.Second, WorkerLease: 15 * time.Second, CancelWithin: 40 * time.Second,
		StateRPS: 200, StateWriteRPS: 80, ValueBytes: 8 << 10, TxnOps: 12,
		CloudRPS: 4, ListLag: 5 * time.Second,
		CPUShare: 0.1, MemoryBytes: 98 << 20, Sockets: 900,
	}
	if o.Fleet {
		s := &c.settings
		for i := range s.Teams[:2] {
			s.Teams[i].CPUs, s.Teams[i].CPUsMax = 2000, 6000
		}
		s.ReportInterval, s.WorkerLease, s.CancelWithin = 4*time.Second, 28*time.Second, 48*time.Second
		s.StateRPS, s.StateWriteRPS, s.TxnOps, s.ListLag = 400, 150, 16, 12*time.Second
		s.CPUShare, s.MemoryBytes, s.Sockets = 0.3, 322<<20, 2900
	}
	for i := range c.settings.Teams[:2] {
		if o.Limit > 0 {
			c.settings.Teams[i].CPUsMax = o.Limit
		}
	}
	c.state = newStateService(c)
	c.cloud = newCloud(c, types(o.Zones), o.Capacity)
	for i := range o.Machines {
		c.cloud.start("small", o.Zones[i%len(o.Zones)], false, 0)
	}
	for i := range o.Nodes {
		c.nodes = append(c.nodes, &node{c: c, name: fmt.Sprintf("node-%d", i), zone: o.Zones[i%len(o.Zones)]})
	}
	return c
}

// Advance lets time pass.
func (c *Cluster) Advance(d time.Duration) { c.advanceTo(c.now.Add(d)) }

// advanceTo lets everything happen that is planned up to a time.
func (c *Cluster) advanceTo(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(*event)
		c.now = e.at
		if e.run != nil {
			e.run()
		}
	}
	c.now = end
}

func (c *Cluster) after(d time.Duration, run func()) *event {
	c.seq++
	e := &event{at: c.now.Add(max(d, 0)), seq: c.seq, run: run}
	heap.Push(&c.events, e)
	return e
}

// delay is how long a message takes.
func (c *Cluster) delay() time.Duration {
	d := time.Millisecond + time.Duration(c.rng.Int64N(int64(2*time.Millisecond)))
	if c.slowLinks > 0 {
		d += time.Duration(c.rng.Int64N(int64(c.slowLinks)))
	}
	return d
}

// send delivers a message from one host to another unless the link is cut.
func (c *Cluster) send(from, to string, deliver func()) {
	if k := c.links[link{from, to}]; k != nil {
		if k.hold {
			k.held = append(k.held, deliver)
		}
		return
	}
	c.after(c.delay(), deliver)
}

// Cut interrupts the network between two hosts, both ways. Held messages come
// late, others never.
func (c *Cluster) Cut(a, b string, hold bool) {
	c.CutOneWay(a, b, hold)
	c.CutOneWay(b, a, hold)
}

// CutOneWay interrupts what one host sends to another.
func (c *Cluster) CutOneWay(from, to string, hold bool) {
	if l := (link{from, to}); c.links[l] == nil {
		c.links[l] = &cut{hold: hold}
		c.linkChanges++
	}
}

// ResetOneWay lets what one host sends to another end its connections.
func (c *Cluster) ResetOneWay(from, to string) {
	c.CutOneWay(from, to, false)
	c.links[link{from, to}].reset = true
	c.linkChanges++
}

// resets reports whether connections fail on the way between two hosts.
func (c *Cluster) resets(from, to string) bool {
	k := c.links[link{from, to}]
	return k != nil && k.reset
}

// Isolate cuts a node from the state service and the other nodes, not from
// workers and users.
func (c *Cluster) Isolate(n *node) {
	c.Cut(n.name, stateHost, false)
	for _, p := range c.nodes {
		if p != n {
			c.Cut(n.name, p.name, false)
		}
	}
}

// IsolateRefused is Isolate for a node that the state service answers, with a refusal.
func (c *Cluster) IsolateRefused(n *node) {
	c.state.refused[n.name] = true
	for _, p := range c.nodes {
		if p != n {
			c.Cut(n.name, p.name, false)
		}
	}
}

// Heal ends every cut; what was held arrives in order.
func (c *Cluster) Heal() {
	c.heal(func(link) bool { return true })
}

// HealBetween ends the cuts between two hosts.
func (c *Cluster) HealBetween(a, b string) {
	c.heal(func(l link) bool { return l == link{a, b} || l == link{b, a} })
}

func (c *Cluster) heal(which func(link) bool) {
	var list []link
	for l := range c.links {
		if which(l) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b link) int {
		if a.from != b.from {
			if a.from < b.from {
				return -1
			}
			return 1
		}
		if a.to < b.to {
			return -1
		}
		return 1
	})
	for _, l := range list {
		k := c.links[l]
		delete(c.links, l)
		c.linkChanges++
		var wait time.Duration
		for _, f := range k.held {
			wait = max(wait, c.delay()) // in the order in which they were sent
			c.after(wait, f)
		}
	}
}

// request carries a request to a server and its response back. The server may
// answer later, once, or never; done runs when the response arrives, with status
// 0 when the connection fails.
func (c *Cluster) request(from, to string, serve func(respond func(status int, body []byte)), done func(status int, body []byte)) {
	if c.resets(from, to) {
		c.after(c.delay(), func() { done(0, nil) })
		return
	}
	c.send(from, to, func() {
		answered := false
		serve(func(status int, body []byte) {
			if !answered {
				answered = true
				if c.resets(to, from) {
					c.after(c.delay(), func() { done(0, nil) })
					return
				}
				c.send(to, from, func() { done(status, body) })
			}
		})
	})
}

func (n *node) start() {
	c := n.c
	n.boots++
	s := c.settings
	s.Name, s.Zone = n.name, n.zone
	for _, p := range c.nodes {
		if p != n {
			s.Peers = append(s.Peers, config.Peer{Name: p.name, Zone: p.zone})
		}
	}
	n.open = map[uint64]func(int, []byte){}
	n.silent = false
	boot := uint64(slices.Index(c.nodes, n)+1)<<32 | n.boots
	n.core = coordination.New(&s, c.operator, c.log.With("node", n.name), boot, c.now)
	n.apply(n.core.Start(c.now))
}

// crash ends the node's process without a word.
func (n *node) crash() {
	n.core = nil
	n.open = nil
	n.frozen, n.queued, n.ticks, n.busy = false, nil, false, time.Time{}
	if n.wake != nil {
		n.wake.run = nil
		n.wake = nil
	}
}

// request brings a request to the node; a node that is down answers nothing,
// as does one whose connection is cut. The sender waits for as long as timeout.
func (n *node) request(method, target string, body []byte, timeout time.Duration, respond func(status int, body []byte)) {
	if n.remote != nil {
		n.remote.request(method, target, body, timeout, respond)
		return
	}
	if n.core == nil {
		return
	}
	n.run(func() {
		n.reqID++
		n.c.digest.request(n, method, target, body)
		n.open[n.reqID] = respond
		n.apply(n.core.Request(n.c.now, n.reqID, method, target, body))
	})
}

// run does f now, or when the process comes to it, if it is still the same.
func (n *node) run(f func()) {
	c, core := n.c, n.core
	if c.cost == 0 {
		n.work(f)
		return
	}
	if n.busy.Before(c.now) {
		n.busy = c.now
	}
	c.after(n.busy.Sub(c.now), func() {
		if n.core == core {
			n.work(f)
		}
	})
	n.busy = n.busy.Add(c.cost)
}

// work does f now, or when the process goes on.
func (n *node) work(f func()) {
	if n.frozen {
		core := n.core
		n.queued = append(n.queued, func() {
			if n.core == core {
				f()
			}
		})
		return
	}
	f()
}

// freeze stops the process, thaw lets it go on with all that has come meanwhile.
func (n *node) freeze() { n.frozen = true }

func (n *node) thaw() {
	n.frozen = false
	queued := n.queued
	n.queued = nil
	for _, f := range queued {
		if n.core != nil {
			f()
		}
	}
}

// apply does what a step of the core asks for.
func (n *node) apply(e coordination.Effects) {
	c, core := n.c, n.core
	c.digest.effects(n, e)
	for _, r := range e.Replies {
		if respond := n.open[r.ID]; respond != nil {
			delete(n.open, r.ID)
			respond(r.Status, r.Body)
		}
	}
	for _, k := range e.Calls {
		finished := false
		finish := func(o coordination.Outcome) {
			if !finished && n.core == core {
				finished = true
				n.run(func() { n.apply(core.Result(c.now, k.ID, o)) })
			}
		}
		c.after(k.Timeout, func() { finish(coordination.Outcome{}) })
		done := func(status int, body []byte) {
			finish(coordination.Outcome{Status: status, Body: body, Answered: status != 0})
		}
		switch k.To {
		case coordination.State:
			c.request(n.name, stateHost, func(respond func(int, []byte)) { c.state.serve(n.name, k.Method, k.Target, k.Body, respond) }, done)
		case coordination.Cloud:
			c.request(n.name, cloudHost, func(respond func(int, []byte)) { c.cloud.serve(n.name, k.Method, k.Target, k.Body, respond) }, done)
		case coordination.Worker:
			w := c.workers[k.Addr]
			if w == nil {
				continue
			}
			sent := c.now
			from := n.life()
			serve := func(respond func(int, []byte)) { w.serve(from, k.Method, k.Target, k.Body, sent, respond) }
			c.request(n.name, w.name, serve, done)
			if c.copies && k.Method == "POST" {
				// The same packets once more, half a minute late.
				c.after(30*time.Second, func() { c.send(n.name, w.name, func() { serve(func(int, []byte) {}) }) })
			}
		}
	}
	for _, p := range e.Broadcasts {
		for _, o := range c.nodes {
			if o != n {
				n.tell(o, p.Body)
			}
		}
	}
	for _, s := range e.Unicasts {
		for _, o := range c.nodes {
			if o.name == s.To {
				n.tell(o, s.Body)
			}
		}
	}
	n.arm()
}

// arm plans the core's next tick.
func (n *node) arm() {
	if n.core == nil {
		return
	}
	next := n.core.Next()
	if n.ticks || next.IsZero() || n.wake != nil && n.wake.run != nil && !n.wakeAt.After(next) {
		return
	}
	if n.wake != nil {
		n.wake.run = nil
	}
	core := n.core
	n.wakeAt = next
	n.wake = n.c.after(next.Sub(n.c.now), func() {
		n.wake = nil
		if n.core == core {
			n.ticks = true
			n.run(func() {
				n.ticks = false
				n.apply(core.Tick(n.c.now))
			})
		}
	})
}

// Leader is the index of the node that leads, -1 when none does.
func (c *Cluster) Leader() int {
	name := c.state.leader()
	for i, n := range c.nodes {
		if n.name == name && n.up() {
			return i
		}
	}
	return -1
}

// breaks notes a broken rule.
func (c *Cluster) breaks(rule, format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%s at %s: %s", rule, c.now.Sub(c.begin).Round(time.Millisecond), fmt.Sprintf(format, args...)))
	c.log.Error("rule broken", "rule", rule, "what", fmt.Sprintf(format, args...))
}

// Broken lists the rules broken so far.
func (c *Cluster) Broken() []string { return c.broken }
