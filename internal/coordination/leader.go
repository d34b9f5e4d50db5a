package coordination

import (
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/coordination/ratelog"
	"brasskeel/internal/coordination/sessions"
)

// leader is the in-memory state of the leader. The next leader rebuilds all of it from the
// state service and from heartbeats. Without shards the leader serves all workers itself.
type leader struct {
	workerSessions
	epoch         sessions.Epoch // ownership epoch of all machines; unused with shards, whose owners have their own
	term          uint64
	keyVersion    uint64 // version of the leader key, a condition of every write by this leader
	fencingLogged bool   // it was logged that no worker is answered; reset when the lease is renewed
	recovery

	jobsByAge []*job // in order of submission
	// nextBroadcastIndex is the index in jobsByAge of the job whose progress is broadcast next.
	nextBroadcastIndex int
	teamUsage          map[string]*usage
	corrections        queue.Corrections    // of runtime estimates
	stoppingUsage      map[string]usage     // by team: resources of attempts whose stop was requested
	terminatedAt       map[string]time.Time // when machines terminated that the cloud's inventory may still list, by name
	writer             recordWriter
	autoscaler         autoscalerState
	rebalancer         *rebalancer       // nil while balance is off
	shards             *shardCoordinator // nil when this leader serves all machines itself

	pendingLog         ratelog.Throttle // for the reasons why tasks are pending
	requestedZone      string           // the latest zone that this leader requested to be recorded as preferred
	placementRequested bool
	round              placementRound
	imageIDs           map[string]placement.ImageID
}

// usage is the amount of resources that a team's attempts take, including attempts that are
// not proven terminated.
type usage struct{ cpus, gpus float64 }

// becomeLeader makes this controller the leader for a term and starts the recovery.
func (c *Controller) becomeLeader(t leadership.LeaderTerm) {
	l := &leader{workerSessions: newWorkerSessions(c, t.Lease), term: t.Term, keyVersion: t.KeyVersion, recovery: newRecovery(c.now),
		teamUsage: map[string]*usage{}, stoppingUsage: map[string]usage{}, corrections: queue.Corrections{},
		terminatedAt: map[string]time.Time{}, imageIDs: map[string]placement.ImageID{}, round: newPlacementRound()}
	for name := range c.teams {
		l.teamUsage[name] = &usage{}
	}
	l.listener = l
	l.rebalancer = newRebalancer(l)
	// The previous leader may still be in its grace period. The grace period is what is left of
	// CancelDeadline after the lease and other times, so it is longest for the shortest lease that
	// the previous leader may have had, LeaderLease.
	l.epoch = sessions.Epoch{Term: t.Term, Since: c.now, PredecessorUntil: c.now.Add(c.gracePeriodForLease(c.operator.LeaderLease()))}
	l.writer.init(l)
	l.autoscaler.init(l)
	if c.sharding == nil && c.election.Sharded() {
		// Sharding was disabled, but other controllers may still own shards. This controller must
		// be a member that isn't draining, so that the shards can be moved to it first.
		c.startSharding(false)
	}
	if c.sharding != nil {
		// Without the sharding setting, all shards are moved to this controller.
		l.shards = newShardCoordinator(l, c.sharding, c.operator.Sharding == nil)
	}
	c.leader = l
	c.log.Info("became leader", "term", t.Term)
	c.broadcastStatus()
	leadership.KeepLeaseAlive(electionHost{c}, electionHost{c}, &l.lease, l)
	l.loadRecords()
	l.every(detectorInterval, l.detectFailures)
	l.every(time.Second, l.maintain)
}

// pausePerExaminedMachine is the pause after a placement round for each machine that the round
// examined.
const pausePerExaminedMachine = 150 * time.Nanosecond

// requestPlacement schedules a placement round after a short delay, so that one round handles all
// changes that occur at about the same time.
func (l *leader) requestPlacement() {
	if l.placementRequested || l.phase != phaseActive {
		return
	}
	l.placementRequested = true
	// The delay grows with the cost of the latest round, so that placement takes at most about
	// half of a small CPU share.
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

// finishStep sends the record writes and worker orders that are due at the end of a step.
func (l *leader) finishStep() {
	l.writer.flush()
	l.flushOrders()
}

// scheduleAttemptOrders schedules the orders for an attempt: the owner of its machine, which may
// be this leader, sends them to the worker.
func (l *leader) scheduleAttemptOrders(a *attempt) {
	if l.shards != nil {
		l.shards.attemptChanged(a)
		return
	}
	l.scheduleOrders(a.machine)
}
