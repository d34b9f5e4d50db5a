// Package coordination implements the core of a controller: a state machine that takes events
// and returns the replies, calls and messages to send.
//
// A [Controller] is driven in steps. Each of its methods Start, Request, Result, Tick,
// PeerMessage and Drain takes the current time and one event, and returns the [Effects] of
// that event. The core owns all state of a controller: its knowledge of the leader, jobs,
// machines and workers, and its timers. Components with state of their own are packages below
// this one, and declare what they need from the core as interfaces.
//
// The core must never do I/O, read a clock, start a goroutine, or use random numbers from any
// source but its seeded generator. A simulated cluster can therefore drive it step by step
// and reproduce a run.
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

// deadlineMargin is the safety margin in every deadline that involves the clock of another
// machine. It covers timers that fire late there.
const deadlineMargin = 500 * time.Millisecond

// Controller is the state of one controller. It is not safe for concurrent use: its steps must
// run one at a time.
type Controller struct {
	cfg      *config.Settings
	operator config.Operator
	log      *slog.Logger
	rng      *rand.Rand
	bootID   uint64

	now           time.Time // the current step's time
	effects       Effects   // collected in the current step so far
	pendingCalls  map[uint64]func(Outcome)
	lastCallID    uint64
	timers        timerHeap
	lastTimerSeq  uint64
	overload      overload.Monitor
	requestCounts requestCounts
	processorLoad processorLoad

	teams map[string]*config.Team
	types map[string]*protocol.MachineType // machine types; empty until they are loaded

	store *statestore.Client

	availabilityLog  ratelog.Throttle // for the reasons why this controller is unavailable
	unavailability   string           // current reason; empty while available
	unavailableSince time.Time

	draining  bool // the controller is handing over its shards and leadership
	limits    limits.Counters
	sampler   ratelog.Sampler    // for log lines that occur in bursts
	deferred  deferredHeartbeats // heartbeats that wait for a leader
	election  *leadership.Election
	admission admission
	peers     peers.Table
	leader    *leader   // nil while this controller is not the leader
	sharding  *sharding // nil while the leader serves all machines

	localMessages    []shard.Message // shard messages between the leader and the shard owner on this controller
	rejectedMessages int             // number of shard messages received that were invalid or of unknown senders
}

// New creates a controller that starts at now. bootID must differ from that of every earlier
// process; it also seeds the random number generator.
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

// Start runs the first step: the controller begins to follow the election, joins the members that
// may own shards if sharding is enabled, requests the machine types, and sets its periodic timers.
func (c *Controller) Start(now time.Time) Effects {
	c.now = now
	c.store.Start()
	for _, t := range c.cfg.Teams {
		c.log.Info("team configured", "team", t.Name, "quota", t.GuaranteedCPUs, "limited", t.MaxCPUs < config.NoLimit, "limit", t.MaxCPUs)
	}
	c.election.Follow()
	if sh := c.operator.Sharding; sh != nil {
		c.startSharding(sh.Drain)
	}
	c.loadMachineTypes()
	c.every(time.Second, c.broadcastStatus)
	c.every(time.Second, c.store.ProbeIfIdle)
	c.every(time.Second, c.logAvailability)
	return c.takeEffects()
}

// Request handles a request from a user or a worker. The reply carries the same id, and may be
// returned by this step or a later one.
func (c *Controller) Request(now time.Time, id uint64, method, target string, body []byte) Effects {
	c.now = now
	c.routeRequest(id, method, target, body)
	return c.takeEffects()
}

// Result handles the outcome of the call with the given id. It is ignored if the call is
// unknown or its outcome was handled before.
func (c *Controller) Result(now time.Time, id uint64, o Outcome) Effects {
	c.now = now
	if done := c.pendingCalls[id]; done != nil {
		delete(c.pendingCalls, id)
		done(o)
	}
	return c.takeEffects()
}

// Tick runs the timers that are due. The time by which it is called late is recorded as the
// scheduling lag.
func (c *Controller) Tick(now time.Time) Effects {
	c.now = now
	if next := c.NextTick(); !next.IsZero() {
		c.overload.Observe(now, now.Sub(next))
	}
	c.runDueTimers()
	return c.takeEffects()
}
