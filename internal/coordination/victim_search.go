package coordination

import (
	"strings"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/preemption"
	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/protocol"
)

// victimRules bound the work that a search may stop, besides that it has to give way.
type victimRules uint8

const (
	anyVictims           victimRules = iota
	checkpointingVictims             // only work that saves a checkpoint in time
	immediateVictims                 // only work that ends at once, on machines that hold the image
)

// victimSearchKey is what jobs have in common that may preempt the same work on the same
// machines.
type victimSearchKey struct {
	zone, types string
	spot        bool
	priority    protocol.Priority
	tier        queue.Tier
	team        string // whose quota is asked for; empty: none
	rules       victimRules
}

func victimSearchKeyOf(j *job) victimSearchKey {
	k := victimSearchKey{zone: j.Zone, types: strings.Join(j.MachineTypes, " "), spot: j.AllowSpot, priority: j.Priority, tier: j.tier()}
	if j.withinQuota() {
		k.team = j.Team
	}
	return k
}

// victimSearch is a search for work to stop.
type victimSearch struct {
	rules  victimRules
	search preemption.Search[*machine]
}

// preemptFor stops work that has to give way to a job, as far as that gives tasks of it a
// machine, and returns how many tasks still have none. The victims' room is free once their
// exit is reported; the job's tasks are placed then.
func (l *leader) preemptFor(j *job, left int) int {
	k := victimSearchKeyOf(j)
	if !l.preemptionDelayOver(j) {
		k.rules = checkpointingVictims
	}
	s := l.round.victimSearches[k]
	if s == nil {
		s = &victimSearch{rules: k.rules}
		l.round.victimSearches[k] = s
	}
	l.beginVictimSearch(s, j)
	for left > 0 && l.preemptNext(s, j) {
		left--
	}
	return left
}

// beginVictimSearch makes a search one for a job's tasks.
func (l *leader) beginVictimSearch(s *victimSearch, j *job) {
	if !s.search.Started() {
		l.round.examined += len(l.round.accepting)
		for i, m := range l.round.accepting {
			if m.Allows(j.Job) && (s.rules != immediateVictims || m.Images.CachedGB(j.imageID) >= j.ImageGB) {
				s.search.Add(m, i, len(l.round.accepting))
			}
		}
	}
	s.search.BeginJob(l.victimSelectorFor(j, s.rules), placement.Needs(j.Job))
}

// preemptNext stops work for one more task of the job whose turn it is, and reports whether
// there was any.
func (l *leader) preemptNext(s *victimSearch, j *job) bool {
	return s.search.PreemptNext(l.victimSelectorFor(j, s.rules))
}

// victimSelector looks at machines for one job, as preemption.Machines asks.
type victimSelector struct {
	l          *leader
	job        *job
	rules      victimRules
	candidates []preemption.Candidate[*attempt] // reused by every look
	victims    []preemption.Candidate[*attempt] // of the last look
}

// victimSelectorFor prepares the leader's choice of victims for a job.
func (l *leader) victimSelectorFor(j *job, rules victimRules) *victimSelector {
	v := &l.round.victims
	v.l, v.job, v.rules = l, j, rules
	return v
}

// Excluded implements preemption.Machines.
func (v *victimSelector) Excluded(m *machine) bool {
	return !v.job.zoneAllowed(m.Zone) || m.failuresByJob[v.job.ID] > 0
}

// Cost implements preemption.Machines.
func (v *victimSelector) Cost(m *machine) (float64, bool) {
	l, needs := v.l, placement.Needs(v.job.Job)
	l.round.examined++
	v.victims = nil
	free := placement.Capacity(m.Spec).Minus(m.Allocated).Plus(m.Terminating).Minus(m.Reserved).Minus(m.Incoming)
	if preemption.Fits(free, needs) {
		return 0, true
	}
	if !v.canFreeEnough(m, free.CPUs) {
		return 0, false
	}
	l.round.examined += attemptScanCost
	v.candidates = v.candidates[:0]
	freed := 0.0
	for _, a := range m.attemptList {
		if l.preemptible(a, v.job) && v.matchesRules(a) {
			v.candidates = append(v.candidates, preemption.Candidate[*attempt]{Attempt: a, Priority: a.job.Priority, JobSubmitted: a.job.submitted,
				LostWork: l.lostWork(a), Needs: placement.Needs(a.job.Job), JobID: a.job.ID, TaskIndex: a.taskIndex})
			freed += a.job.CPUs
		}
	}
	if free.CPUs+freed < needs.CPUs-protocol.Epsilon {
		return 0, false
	}
	victims, cost, ok := preemption.ChooseVictims(free, needs, v.candidates)
	v.victims = victims
	return cost, ok
}

// attemptScanCost is how many machines looked at it counts as to look at all work on one.
const attemptScanCost = 10

// canFreeEnough reports whether all work of lower priority on a machine would be enough. For a
// job within its team's quota it isn't asked: what other teams borrowed gives way, too.
func (v *victimSelector) canFreeEnough(m *machine, cpus float64) bool {
	if v.job.withinQuota() {
		return true
	}
	for p := protocol.Priority(0); p < v.job.Priority; p++ {
		cpus += m.cpusByPriority[p]
	}
	return cpus >= v.job.CPUs-protocol.Epsilon
}

// matchesRules applies the rules of a search to an attempt.
func (v *victimSelector) matchesRules(a *attempt) bool {
	switch v.rules {
	case checkpointingVictims:
		return a.state == protocol.Running && v.l.checkpointsInTime(a.job)
	case immediateVictims:
		return v.l.checkpointGrace(a) <= 0
	}
	return true
}

// Preempt implements preemption.Machines: it stops the victims of the last look and promises
// their room to the job.
func (v *victimSelector) Preempt(m *machine) {
	l, j := v.l, v.job
	for i := range v.victims {
		w := &v.victims[i]
		a := w.Attempt
		l.controller.log.Debug("attempt preempted", "job", a.job.ID, "task", a.taskIndex, "machine", m.Name, "beneficiary", j.ID, "lost_work", w.LostWork)
		l.stopAttempt(a, l.checkpointGrace(a))
	}
	m.Reserve(j.Job)
}
