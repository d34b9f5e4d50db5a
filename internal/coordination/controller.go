// Package coordination is the core of a controller: a state machine that
// takes what happened and returns what to send, write and answer. It does no
// I/O, reads no clock and starts no goroutine, so a simulated cluster can
// drive it step by step.
package coordination

import (
	"container/heap"
	"log/slog"
	"math/rand/v2"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/ratelog"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// Service is whom a call goes to.
type Service uint8

// Services a node calls.
const (
	State Service = iota + 1
	Cloud
	Worker
)

// Reply answers a request that came in.
type Reply struct {
	ID         uint64
	Status     int
	RetryAfter int // seconds; 0 for none
	Close      bool
	Body       []byte
}

// Call is a request to be sent. Its outcome comes back through Node.Result.
type Call struct {
	ID      uint64
	To      Service
	Addr    string // of a worker
	Method  string
	Target  string
	Body    []byte
	Timeout time.Duration
}

// Broadcast is told to every peer.
type Broadcast struct{ Body []byte }

// Unicast is told to one peer, by name. It may be lost.
type Unicast struct {
	To   string
	Body []byte
}

// Effects is what one step asks for, in order.
type Effects struct {
	Replies    []Reply
	Calls      []Call
	Broadcasts []Broadcast
	Unicasts   []Unicast
	Spans      []Span
}

// Outcome is what came of a call. Answered is false when no response came:
// the request may or may not have been carried out, now or later, unless
// NotSent says that it never left. Busy says that it didn't for want of
// sockets here, which tells nothing of the other side.
type Outcome struct {
	Status   int
	Body     []byte
	Answered bool
	NotSent  bool
	Busy     bool
}

// clockDrift bounds by how much steady clocks of two machines differ over a time:
// twice what the protocol allows, so that rounding can't matter.
func clockDrift(d time.Duration) time.Duration { return d / 1000 }

// deadlineMargin is added to every deadline that other machines' clocks take
// part in.
const deadlineMargin = 500 * time.Millisecond

// requestCounts counts requests in and calls out, for the log.
type requestCounts struct{ Reports, Polls, Submissions, ToState, ToCloud, ToWorkers int }

// Controller is one controller.
type Controller struct {
	cfg    *config.Settings
	op     config.Operator
	log    *slog.Logger
	rng    *rand.Rand
	bootID uint64

	requestCounts requestCounts
	now           time.Time
	schedulingLag time.Duration // of the last timer, behind its time
	overloadedAt  time.Time     // when that was last too much
	// overloadedSince is since when it has been too much again and again.
	overloadedSince time.Time
	effects         Effects
	pendingCalls    map[uint64]func(Outcome)
	lastCallID      uint64
	timers          timerHeap
	lastTimerSeq    uint64

	teams map[string]*config.Team
	types map[string]*protocol.MachineType

	storeAnsweredAt   time.Time // when the state service last answered as it should
	storeFailingSince time.Time // when it first failed since; zero while it works
	storeCost         *records.Budget

	availabilityLog ratelog.Throttle // of why this controller can't act
	trouble         string           // as it is now; empty without any
	troubleSince    time.Time

	draining  bool // it is to give up what it has
	limits    limits.Counters
	sampler   ratelog.Sampler    // of log lines that come in bursts
	deferred  deferredHeartbeats // wait for a leader
	election  election
	admission admission
	peers     map[string]*peerStatus
	leader    *leader   // nil while following
	sharding  *sharding // nil while the leader serves all machines

	localMessages    []shardMessage // between this controller's own roles
	rejectedMessages int            // of peers, that were ignored
	processorLoad    processorLoad
	peakLag          time.Duration // since it was last told
}

// processorLoad is how much of its share this process uses.
type processorLoad struct {
	used  time.Duration // in all
	at    time.Time
	share float64 // lately
}

// ProcessorUsed tells how much processor time this process has used in all.
func (c *Controller) ProcessorUsed(now time.Time, used time.Duration) {
	p := &c.processorLoad
	if elapsed := now.Sub(p.at); !p.at.IsZero() && elapsed > 0 && c.cfg.CPUShare > 0 {
		p.share = float64(used-p.used) / (float64(elapsed) * c.cfg.CPUShare)
	}
	p.used, p.at = used, now
}

// takePeakLag is by how much timers were late at the most since it was last asked.
func (c *Controller) takePeakLag() time.Duration {
	lag := c.peakLag
	c.peakLag = 0
	return lag
}

// New makes a node that is about to start at now. boot must differ from every
// earlier process's.
func New(cfg *config.Settings, op config.Operator, log *slog.Logger, boot uint64, now time.Time) *Controller {
	c := &Controller{cfg: cfg, op: op, log: log, bootID: boot, now: now,
		rng:          rand.New(rand.NewPCG(boot, uint64(len(cfg.Name)))),
		pendingCalls: map[uint64]func(Outcome){}, teams: map[string]*config.Team{}, peers: map[string]*peerStatus{}}
	for i := range cfg.Teams {
		c.teams[cfg.Teams[i].Name] = &cfg.Teams[i]
	}
	c.storeCost = records.NewBudget(cfg.StateRPS*0.8, cfg.StateRPS*0.6, now)
	c.admission.init(c)
	return c
}

// Start makes the first step.
func (c *Controller) Start(now time.Time) Effects {
	c.now = now
	c.storeAnsweredAt = now
	for _, t := range c.cfg.Teams {
		c.log.Info("team configured", "team", t.Name, "quota", t.CPUs, "limited", t.CPUsMax < config.NoLimit, "limit", t.CPUsMax)
	}
	c.startElection()
	if sh := c.op.Sharding; sh != nil {
		c.startSharding(sh.Drain)
	}
	c.loadTypes()
	c.every(time.Second, c.broadcastStatus)
	c.every(time.Second, c.checkStore)
	c.every(time.Second, c.logAvailability)
	return c.take()
}

// Request takes a request that came in.
func (c *Controller) Request(now time.Time, id uint64, method, target string, body []byte) Effects {
	c.now = now
	c.routeRequest(id, method, target, body)
	return c.take()
}

// Result takes the outcome of a call.
func (c *Controller) Result(now time.Time, id uint64, o Outcome) Effects {
	c.now = now
	if done := c.pendingCalls[id]; done != nil {
		delete(c.pendingCalls, id)
		done(o)
	}
	return c.take()
}

// Tick runs the timers that are due.
func (c *Controller) Tick(now time.Time) Effects {
	c.now = now
	if next := c.Next(); !next.IsZero() {
		c.schedulingLag = max(0, now.Sub(next))
		c.peakLag = max(c.peakLag, c.schedulingLag)
		if c.overloaded() {
			if now.Sub(c.overloadedAt) > overloadGap {
				c.overloadedSince = now
			}
			c.overloadedAt = now
		}
	}
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		t := heap.Pop(&c.timers).(*timer)
		if t.run != nil {
			t.run()
		}
	}
	return c.take()
}

// Lags that tell that the process has more to do than its share of the processor
// allows. Past the first, work that can wait does; past the second, only critical work
// and that within guarantees is started; past the third, users who only ask are sent
// away at once, so that the leader's lease, reports and submissions
// are served: a leader that loses its lease for being late leaves the next one with
// even more to do.
const (
	lagDefersWork   = 150 * time.Millisecond
	lagOverloaded   = 400 * time.Millisecond
	lagShedsQueries = time.Second
)

// overloadLossCause is how long ago a leader may have been late for it to have lost its
// leadership by that.
const overloadLossCause = 3 * time.Second

// overloadGap is the pause between two late timers after which a process has kept up in between.
// One that hasn't for persistentAfter has more to serve than its share allows.
const (
	overloadGap     = 2 * time.Second
	persistentAfter = 5 * time.Second
)

// persistentlyOverloaded reports whether this process has been late for so long that more machines would
// only make it answer all of them less often.
func (c *Controller) persistentlyOverloaded() bool {
	return !c.overloadedAt.IsZero() && c.now.Sub(c.overloadedAt) <= overloadGap && c.now.Sub(c.overloadedSince) > persistentAfter
}

func (c *Controller) lagging() bool    { return c.schedulingLag > lagDefersWork }
func (c *Controller) overloaded() bool { return c.schedulingLag > lagOverloaded }

// Next is when Tick is due; zero when nothing is planned.
func (c *Controller) Next() time.Time {
	if len(c.timers) == 0 {
		return time.Time{}
	}
	return c.timers[0].at
}

func (c *Controller) take() Effects {
	for again := true; again; again = len(c.localMessages) > 0 {
		c.deliverLocal()
		if c.leader != nil {
			c.leader.finishStep()
		}
		if s := c.sharding; s != nil && s.owner != nil {
			s.owner.flushOrders()
		}
	}
	out := c.effects
	c.effects = Effects{}
	return out
}

func (c *Controller) reply(id uint64, status int, body []byte) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: status, Body: body})
}

// refuse tells a client to come back.
func (c *Controller) refuse(id uint64, status int, reason string) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: status, RetryAfter: 1, Body: protocol.EncodeError(reason)})
}

func (c *Controller) call(to Service, addr, method, target string, body []byte, timeout time.Duration, done func(Outcome)) {
	c.lastCallID++
	c.pendingCalls[c.lastCallID] = done
	switch to {
	case State:
		c.requestCounts.ToState++
	case Cloud:
		c.requestCounts.ToCloud++
	case Worker:
		c.requestCounts.ToWorkers++
	}
	c.effects.Calls = append(c.effects.Calls, Call{ID: c.lastCallID, To: to, Addr: addr, Method: method, Target: target,
		Body: body, Timeout: timeout})
}

type timer struct {
	at  time.Time
	seq uint64
	run func()
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(*timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// after runs f once d has passed. Setting the timer's run to nil cancels it.
func (c *Controller) after(d time.Duration, f func()) *timer {
	c.lastTimerSeq++
	t := &timer{at: c.now.Add(d), seq: c.lastTimerSeq, run: f}
	heap.Push(&c.timers, t)
	return t
}

// every runs f each d for the life of the process.
func (c *Controller) every(d time.Duration, f func()) {
	c.after(d, func() { f(); c.every(d, f) })
}

// jitter is a random duration below d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}
