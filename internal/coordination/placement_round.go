package coordination

import (
	"math"
	"slices"
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/protocol"
)

// baseExamineLimit is how many machines a round may look at, over all jobs. Between rounds
// the leader renews its lease and answers workers and users.
const baseExamineLimit = 250_000

// maxExamineLimitFactor bounds how far the limit grows from round to round.
const maxExamineLimitFactor = 16

// interruptedRoundPause is how soon a round that ended early is followed by another.
const interruptedRoundPause = 50 * time.Millisecond

// placementRound is the state of one round of placement; its buffers are kept for the next.
//
// From the beginning to the end of a round room is only used up: machines are neither added to
// accepting and withRoom nor given room back. So what found no room (unplaceable, exhausted
// machines of victimSearches) isn't looked for again. Each machine in withRoom is in accepting,
// each zone in zones is that of one in accepting.
type placementRound struct {
	queue     []queue.Entry[*job] // pending jobs in the order of service
	deadlines []time.Duration     // of the job that is weighed

	accepting []*machine // take tasks
	withRoom  []*machine // of them, those with room for the smallest pending task
	zones     []string   // of those in accepting

	candidates    []placement.Candidate  // for the job whose turn it is
	ceilingPolicy *balance.CeilingPolicy // for that job; nil without
	unplaceable   []placement.Shape      // found no machine with room

	victimSearches map[victimSearchKey]*victimSearch
	victims        victimSelector

	examined     int // machines looked at, over all jobs
	examineLimit int // how many may be
}

func newPlacementRound() placementRound {
	return placementRound{victimSearches: map[victimSearchKey]*victimSearch{}, examineLimit: baseExamineLimit}
}

// begin takes in the fleet as it is, for jobs in the order of service.
func (r *placementRound) begin(l *leader, jobs []queue.Entry[*job]) {
	r.unplaceable, r.examined = r.unplaceable[:0], len(l.fleetList)+len(jobs)
	clear(r.victimSearches)
	smallest, smallestMemGB := math.Inf(1), math.Inf(1)
	for i := range jobs {
		j := jobs[i].Job
		smallest, smallestMemGB = min(smallest, j.CPUs), min(smallestMemGB, j.MemoryGB)
	}
	r.accepting, r.withRoom, r.zones = r.accepting[:0], r.withRoom[:0], r.zones[:0]
	for _, m := range l.fleetList {
		m.Reserved = placement.Resources{}
		if !l.acceptsTasks(m) {
			continue
		}
		r.accepting = append(r.accepting, m)
		if !slices.Contains(r.zones, m.Zone) {
			r.zones = append(r.zones, m.Zone)
		}
		if m.Allocated.CPUs+smallest <= m.Spec.CPUs+protocol.Epsilon && m.Allocated.MemGB+smallestMemGB <= m.Spec.MemoryGB+protocol.Epsilon {
			r.withRoom = append(r.withRoom, m)
		}
	}
}

// examineLimitReached reports whether the round has looked at as many machines as it may.
func (r *placementRound) examineLimitReached() bool { return r.examined > r.examineLimit }

// adjustExamineLimit sets the limit of the next round. A round that ended for its length is followed
// by one that may take longer, so that those at its end get their turn whatever is before them.
func (r *placementRound) adjustExamineLimit(interrupted bool) {
	if r.examineLimitReached() {
		r.examineLimit = min(2*r.examineLimit, maxExamineLimitFactor*baseExamineLimit)
	} else if !interrupted {
		r.examineLimit = baseExamineLimit
	}
}

// runPlacementRound gives machines to pending tasks: per job in the order of service, per task
// the highest score among the machines with room.
func (l *leader) runPlacementRound() {
	c := l.controller
	if l.phase != phaseActive || c.store.Unavailable() || !c.now.Before(l.lease.ValidUntil) {
		return // new placements need the state service
	}
	l.checkQuotas()
	l.rebalancer.beginRound()
	l.rebalancer.completeMigrations()
	jobs := l.queueOrder()
	l.autoscaler.unmetDemand, l.autoscaler.demandIncomplete = l.autoscaler.unmetDemand[:0], false
	l.round.begin(l, jobs)
	for i := range jobs {
		if l.serveJob(jobs[i].Job) == interruptRound {
			l.autoscaler.demandIncomplete = true
			break
		}
	}
	l.round.adjustExamineLimit(l.autoscaler.demandIncomplete)
	if l.autoscaler.demandIncomplete {
		c.after(interruptedRoundPause+c.overload.Lag()/2, l.requestPlacementIfLeading)
	} else if len(l.autoscaler.unmetDemand) > 0 {
		l.scheduleScaleOut()
	}
}

// roundOutcome is what becomes of a round after a job's turn.
type roundOutcome uint8

const (
	continueRound  roundOutcome = iota
	interruptRound              // the jobs that are left have their turn in the next round
)

// serveJob gives a job its turn in a round: tasks are placed, room is made for those that are
// left, and what still has none is demand on the fleet.
func (l *leader) serveJob(j *job) roundOutcome {
	now := l.controller.now
	// Not the tier that the queue was ordered by: the turns before may have stopped all that
	// had started.
	tier := j.queueInfo(now.Round(0)).AgedTier()
	if tier >= queue.BestEffort && l.controller.overload.Overloaded() {
		// Each start makes heartbeats and records to come. A leader alone with thousands
		// of tasks of a few seconds lost its lease to them again and again.
		return interruptRound
	}
	left := l.placeOrReserve(j, tier)
	if left > 0 && (l.writer.saturated() || l.round.examineLimitReached()) {
		// The rest waits for records or for the next round, not for room: nothing is stopped
		// for it, and what it needs of the fleet shows once room is all that it lacks.
		return interruptRound
	}
	if left > 0 && now.Before(j.backoffUntil) {
		return continueRound
	}
	left = l.limitQuarantineTrials(j, left)
	if left > 0 && l.anyZoneAllowed(j) && l.mayPreempt(j) {
		left = l.preemptFor(j, left)
	}
	if left > 0 && l.provisionable(j) {
		l.autoscaler.unmetDemand = append(l.autoscaler.unmetDemand, demand{j, left})
	}
	return continueRound
}

// placeOrReserve places what it can of a job and returns how many tasks are left. For one that
// is starving it keeps a machine.
func (l *leader) placeOrReserve(j *job, tier queue.Tier) int {
	if !l.anyZoneAllowed(j) {
		return j.pendingTasks()
	}
	left := l.placeJob(j, tier)
	if left > 0 && j.queueInfo(l.controller.now.Round(0)).Starving() {
		l.reserveMachine(j)
	}
	return left
}

// reserveMachine keeps the machine with most free room for one task of a job that is starving.
// Where small tasks take each bit of room that frees, a large one never finds enough
// of it in one place, although its turn comes first.
func (l *leader) reserveMachine(j *job) {
	var best *machine
	for _, m := range l.round.accepting {
		if m.Reserved == (placement.Resources{}) && m.Allows(j.Job) && j.zoneAllowed(m.Zone) && m.Spec.Fits(j.Job) && !l.avoidsMachine(j, m) &&
			(best == nil || m.Spec.CPUs-m.Allocated.CPUs > best.Spec.CPUs-best.Allocated.CPUs) {
			best = m
		}
	}
	if best != nil {
		best.Reserve(j.Job)
	}
}

// requestPlacementIfLeading is requestPlacement for a timer, which may go off once this leader
// has stepped down.
func (l *leader) requestPlacementIfLeading() {
	if l.alive() {
		l.requestPlacement()
	}
}
