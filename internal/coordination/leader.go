package coordination

import (
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/coordination/ratelog"
	"brasskeel/internal/coordination/sessions"
)

// leader is what a leader keeps in memory. All of it is rebuilt from the state
// service and from heartbeats by the next one. Without shards it serves all workers itself.
type leader struct {
	workerSessions
	epoch      sessions.Epoch // of all machines
	term       uint64
	keyVersion uint64 // of the leader key; every write of ours demands it
	fenced     bool   // its lease and the grace period after it are over: it answers no worker
	recovery

	jobsByAge []*job // by submission
	// nextBroadcastIndex is the index in jobsByAge of the job whose progress is broadcast next.
	nextBroadcastIndex int
	teamUsage          map[string]*usage
	corrections        queue.Corrections    // of estimates
	stoppingUsage      map[string]usage     // of the teams' work, what was told to stop
	terminatedAt       map[string]time.Time // machines proven gone, while lists may still show them
	writer             recordWriter
	autoscaler         autoscalerState
	rebalancer         *rebalancer       // nil while balance is off
	shards             *shardCoordinator // nil when this leader serves all machines itself

	pendingLog         ratelog.Throttle // of why tasks are pending
	requestedZone      string           // zone last recorded as the better one for leaders
	placementRequested bool
	round              placementRound
	imageIDs           map[string]placement.ImageID
}

// usage is what a team's attempts take, those not proven terminated included.
type usage struct{ cpus, gpus float64 }

// becomeLeader begins to lead under a mandate: it recovers what is recorded first.
func (c *Controller) becomeLeader(m leadership.LeaderTerm) {
	l := &leader{workerSessions: newWorkerSessions(c, m.Lease), term: m.Term, keyVersion: m.KeyVersion, recovery: newRecovery(c.now),
		teamUsage: map[string]*usage{}, stoppingUsage: map[string]usage{}, corrections: queue.Corrections{},
		terminatedAt: map[string]time.Time{}, imageIDs: map[string]placement.ImageID{}, round: newPlacementRound()}
	for name := range c.teams {
		l.teamUsage[name] = &usage{}
	}
	l.listener = l
	l.rebalancer = newRebalancer(l)
	// The leader before may have had the shortest lease, which leaves the longest grace.
	l.epoch = sessions.Epoch{Term: m.Term, Since: c.now, PredecessorUntil: c.now.Add(c.gracePeriodForLease(c.operator.LeaderLease()))}
	l.writer.init(l)
	l.autoscaler.init(l)
	if c.sharding == nil && c.election.Sharded() {
		// Other controllers may own shards: this one takes them back first.
		c.startSharding(false)
	}
	if c.sharding != nil {
		l.shards = newShardCoordinator(l, c.sharding, c.operator.Sharding == nil)
	}
	c.leader = l
	c.log.Info("became leader", "term", m.Term)
	c.broadcastStatus()
	leadership.KeepLeaseAlive(electionHost{c}, electionHost{c}, &l.lease, l)
	l.loadRecords()
	l.every(detectorInterval, l.detectFailures)
	l.every(time.Second, l.maintain)
}

// pausePerExaminedMachine is the pause after a round of placement for each machine that it
// looked at.
const pausePerExaminedMachine = 150 * time.Nanosecond

// requestPlacement wants the placement to run soon. A short delay lets what happens
// together be placed together.
func (l *leader) requestPlacement() {
	if l.placementRequested || l.phase != phaseActive {
		return
	}
	l.placementRequested = true
	// The dearer the last round was, the longer until the next, so that rounds take
	// no more than about half of a small share of a processor.
	delay := 8*time.Millisecond + time.Duration(len(l.jobsByAge))*20*time.Microsecond + time.Duration(l.round.examined)*pausePerExaminedMachine
	if l.controller.overload.ShouldDefer() {
		delay += l.controller.overload.Lag() / 2
	}
	l.controller.after(delay, func() {
		if l.alive() {
			l.placementRequested = false
			l.runPlacementRound()
		}
	})
}

// finishStep ends a step: what it left to be written and ordered is sent.
func (l *leader) finishStep() {
	l.writer.flush()
	l.flushOrders()
}

// scheduleAttemptOrders lets a worker be told what is wanted of an attempt, by its owner.
func (l *leader) scheduleAttemptOrders(a *attempt) {
	if l.shards != nil {
		l.shards.attemptChanged(a)
		return
	}
	l.scheduleOrders(a.machine)
}
