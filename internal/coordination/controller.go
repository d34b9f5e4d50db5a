// Package coordination is the core of a controller: a state machine that
// takes what happened and returns what to send, write and answer. It does no
// I/O, reads no clock and starts no goroutine, so a simulated cluster can
// drive it step by step.
package coordination

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/ratelog"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// deadlineMargin is added to every deadline that other machines' clocks take
// part in.
const deadlineMargin = 500 * time.Millisecond

// Controller is one controller.
type Controller struct {
	cfg    *config.Settings
	op     config.Operator
	log    *slog.Logger
	rng    *rand.Rand
	bootID uint64

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
	election  *leadership.Election
	admission admission
	peers     map[string]*peerStatus
	leader    *leader   // nil while following
	sharding  *sharding // nil while the leader serves all machines

	localMessages    []shardMessage // between this controller's own roles
	rejectedMessages int            // of peers, that were ignored
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
	c.election = c.newElection()
	return c
}

// Start makes the first step.
func (c *Controller) Start(now time.Time) Effects {
	c.now = now
	c.storeAnsweredAt = now
	for _, t := range c.cfg.Teams {
		c.log.Info("team configured", "team", t.Name, "quota", t.CPUs, "limited", t.CPUsMax < config.NoLimit, "limit", t.CPUsMax)
	}
	c.election.Follow()
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
		c.overload.Observe(now, now.Sub(next))
	}
	c.runDueTimers()
	return c.take()
}
