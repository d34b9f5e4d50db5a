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

// baseExamineLimit is how many machines a round may examine, over all jobs. It keeps rounds short: the
// leader renews its lease and answers workers and users only between rounds.
const baseExamineLimit = 250_000

// maxExamineLimitFactor bounds the examine limit, as a multiple of baseExamineLimit, when it
// doubles from round to round.
const maxExamineLimitFactor = 16

// interruptedRoundPause is the minimum pause between a round that was interrupted and the next one.
const interruptedRoundPause = 50 * time.Millisecond

// placementRound is the state of one placement round. Its buffers are reused by the next one.
//
// During a round, free capacity only decreases: no machine is added to accepting or withRoom, and no
// capacity is released. A search that found no capacity (unplaceable, and the exhausted machines of
// victimSearches) is therefore not repeated. Each machine in withRoom is also in accepting, and
// zones holds the zones of the machines in accepting.
type placementRound struct {
	queue     []queue.Entry[*job] // pending jobs in the order of service
	deadlines []time.Duration     // buffer for the job whose weight is computed

	accepting []*machine // machines that accept tasks
	withRoom  []*machine // those of them with room for the least CPUs and memory that any pending task needs
	zones     []string   // zones of the machines in accepting

	candidates    []placement.Candidate  // for the current job
	ceilingPolicy *balance.CeilingPolicy // for the current job; nil if none applies
	unplaceable   []placement.Shape      // shapes that found no machine with room

	victimSearches map[victimSearchKey]*victimSearch
	victims        victimSelector

	examined     int // machines examined so far; begin counts the whole fleet once, and each job as one machine
	examineLimit int // bound of examined, after which the round ends
}

func newPlacementRound() placementRound {
	return placementRound{victimSearches: map[victimSearchKey]*victimSearch{}, examineLimit: baseExamineLimit}
}

// begin starts a round for the given jobs: it collects the machines that accept tasks and those of
// them with room, and clears the reservations of the previous round.
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

// examineLimitReached reports whether the round has examined more machines than its limit.
func (r *placementRound) examineLimitReached() bool { return r.examined > r.examineLimit }

// adjustExamineLimit sets the limit of the next round. After a round that ended at its limit, the
// next one may examine more machines, so that jobs at the end of the queue are served however
// expensive the jobs before them are.
func (r *placementRound) adjustExamineLimit(interrupted bool) {
	if r.examineLimitReached() {
		r.examineLimit = min(2*r.examineLimit, maxExamineLimitFactor*baseExamineLimit)
	} else if !interrupted {
		r.examineLimit = baseExamineLimit
	}
}

// runPlacementRound assigns machines to pending tasks: job by job in the order of service, each
// task to the machine with the highest score among those with room.
func (l *leader) runPlacementRound() {
	c := l.controller
	if l.phase != phaseActive || c.store.Unavailable() || !c.now.Before(l.lease.ValidUntil) {
		return // placements need an active leader with a valid lease, and the state service to record them
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

// roundOutcome says whether a round continues after a job was served.
type roundOutcome uint8

const (
	continueRound  roundOutcome = iota
	interruptRound              // the remaining jobs are served in the next round
)

// serveJob serves a job in a round: it places tasks and preempts other work for the tasks that are
// left. The tasks for which that isn't possible are added to the unmet demand if machines for them
// could be provisioned.
func (l *leader) serveJob(j *job) roundOutcome {
	now := l.controller.now
	// The tier may differ from the one that the queue was sorted by: serving the jobs before
	// may have preempted all attempts of this one.
	tier := j.queueInfo(now.Round(0)).AgedTier()
	if tier >= queue.BestEffort && l.controller.overload.Overloaded() {
		// Each start causes later heartbeats and records. A single leader with thousands of
		// tasks of a few seconds each repeatedly lost its lease because of them.
		return interruptRound
	}
	left := l.placeOrReserve(j, tier)
	if left > 0 && (l.writer.saturated() || l.round.examineLimitReached()) {
		// The remaining tasks wait for records or for the next round. Whether they also lack
		// capacity isn't known, so nothing is preempted for them and they aren't added to the
		// unmet demand.
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

// placeOrReserve places as many tasks of a job as possible and returns how many are left. If some
// are left and the job is starving, it reserves a machine.
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

// reserveMachine reserves the machine with the most free CPUs for one task of a starving job. Without
// a reservation, small tasks use all capacity as soon as it becomes free, and a large task never
// finds enough of it on one machine, although its job is served first.
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

// requestPlacementIfLeading is requestPlacement for timers, which may fire after this leader has
// stepped down.
func (l *leader) requestPlacementIfLeading() {
	if l.alive() {
		l.requestPlacement()
	}
}
