// Package coordination is the core of a controller: a state machine that
// takes what happened and returns what to send, write and answer.
//
// A [Controller] is driven in steps. Each of its methods Start, Request, Result, Tick,
// PeerMessage and Drain takes the present time and one event, and returns the [Effects] that
// the event has. The core owns all state of a controller: what it knows of the leader, of
// jobs, machines and workers, and its timers. Parts with state of their own are packages
// below this one; they state by interfaces what they need of the core.
//
// It must never do I/O, read a clock, start a goroutine or draw a random number but from its
// seeded source, so that a simulated cluster can drive it step by step and repeat what it
// did.
package coordination

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/ratelog"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// deadlineMargin is added to every deadline that other machines' clocks take
// part in: it covers timers there that fire late.
const deadlineMargin = 500 * time.Millisecond

// Controller is one controller. It isn't safe for concurrent use: its steps come one after
// the other.
type Controller struct {
	cfg      *config.Settings
	operator config.Operator
	log      *slog.Logger
	rng      *rand.Rand
	bootID   uint64

	now           time.Time // of the present step
	effects       Effects   // of the present step so far
	pendingCalls  map[uint64]func(Outcome)
	lastCallID    uint64
	timers        timerHeap
	lastTimerSeq  uint64
	overload      overload.Monitor
	requestCounts requestCounts
	processorLoad processorLoad

	teams map[string]*config.Team
	types map[string]*protocol.MachineType // empty until they are read

	store *statestore.Client

	availabilityLog  ratelog.Throttle // of why this controller can't act
	unavailability   string           // as it is now; empty without any
	unavailableSince time.Time

	draining  bool // it is to give up its shards and the leadership
	limits    limits.Counters
	sampler   ratelog.Sampler    // of log lines that come in bursts
	deferred  deferredHeartbeats // wait for a leader
	election  *leadership.Election
	admission admission
	peers     peers.Table
	leader    *leader   // nil while following
	sharding  *sharding // nil while the leader serves all machines

	localMessages    []shard.Message // between this controller's own roles
	rejectedMessages int             // of peers, about shards
}

// New makes a controller that is about to start at now. bootID must differ from that of every
// earlier process; it also seeds all that is random.
func New(cfg *config.Settings, operator config.Operator, log *slog.Logger, bootID uint64, now time.Time) *Controller {
	c := &Controller{cfg: cfg, operator: operator, log: log, bootID: bootID, now: now,
		rng:          rand.New(rand.NewPCG(bootID, uint64(len(cfg.Name)))),
		pendingCalls: map[uint64]func(Outcome){}, teams: map[string]*config.Team{}, peers: map[string]*peers.Status{}}
	for i := range cfg.Teams {
		c.teams[cfg.Teams[i].Name] = &cfg.Teams[i]
	}
	c.store = statestore.NewClient(storeHost{c}, log, records.KeyTerm)
	c.admission.init(c)
	c.election = c.newElection()
	return c
}

// Start makes the first step: the controller follows the election and asks for machine types.
func (c *Controller) Start(now time.Time) Effects {
	c.now = now
	c.store.Start()
	for _, t := range c.cfg.Teams {
		c.log.Info("team configured", "team", t.Name, "quota", t.CPUs, "limited", t.CPUsMax < config.NoLimit, "limit", t.CPUsMax)
	}
	c.election.Follow()
	if sh := c.operator.Sharding; sh != nil {
		c.startSharding(sh.Drain)
	}
	c.loadMachineTypes()
	c.every(time.Second, c.broadcastStatus)
	c.every(time.Second, c.store.ProbeIfSilent)
	c.every(time.Second, c.logAvailability)
	return c.takeEffects()
}

// Request takes a request that came in from a user or a worker. Its reply carries the same id,
// in this step or a later one.
func (c *Controller) Request(now time.Time, id uint64, method, target string, body []byte) Effects {
	c.now = now
	c.routeRequest(id, method, target, body)
	return c.takeEffects()
}

// Result takes the outcome of the call with an id. One of a call that isn't known, or was
// answered before, changes nothing.
func (c *Controller) Result(now time.Time, id uint64, o Outcome) Effects {
	c.now = now
	if done := c.pendingCalls[id]; done != nil {
		delete(c.pendingCalls, id)
		done(o)
	}
	return c.takeEffects()
}

// Tick runs the timers that are due. How late it comes is the scheduling lag.
func (c *Controller) Tick(now time.Time) Effects {
	c.now = now
	if next := c.NextTick(); !next.IsZero() {
		c.overload.Observe(now, now.Sub(next))
	}
	c.runDueTimers()
	return c.takeEffects()
}
