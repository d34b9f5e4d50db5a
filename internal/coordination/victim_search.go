package coordination

import (
	"strings"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/preemption"
	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/protocol"
)

// victimRules restrict which of the preemptible attempts a search may choose.
type victimRules uint8

const (
	anyVictims           victimRules = iota
	checkpointingVictims             // only attempts that save a checkpoint in time (checkpointsInTime)
	immediateVictims                 // only attempts that end at once, on machines that cache the image
)

// victimSearchKey identifies the jobs that may preempt the same attempts on the same machines and
// therefore share a search.
type victimSearchKey struct {
	zone, types string
	spot        bool
	priority    protocol.Priority
	tier        queue.Tier
	team        string // the job's team if the job is within its quota, otherwise empty
	rules       victimRules
}

func victimSearchKeyOf(j *job) victimSearchKey {
	k := victimSearchKey{zone: j.Zone, types: strings.Join(j.MachineTypes, " "), spot: j.AllowSpot, priority: j.Priority, tier: j.tier()}
	if j.withinQuota() {
		k.team = j.Team
	}
	return k
}

// victimSearch is a search for attempts to preempt.
type victimSearch struct {
	rules  victimRules
	search preemption.Search[*machine]
}

// preemptFor preempts other work for up to left tasks of a job and returns for how many tasks that
// wasn't possible. The victims' resources are available once their exits are reported; the job's
// tasks are placed then.
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

// beginVictimSearch prepares a search for the tasks of a job. The first job of a search adds the
// machines to it.
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

// preemptNext preempts work for one more task of the job that the search was begun for, and reports
// whether that was possible.
func (l *leader) preemptNext(s *victimSearch, j *job) bool {
	return s.search.PreemptNext(l.victimSelectorFor(j, s.rules))
}

// victimSelector implements preemption.Machines for one job.
type victimSelector struct {
	leader     *leader
	job        *job
	rules      victimRules
	candidates []preemption.Candidate[*attempt] // buffer, reused by every call of Cost
	victims    []preemption.Candidate[*attempt] // chosen by the last call of Cost
}

// victimSelectorFor returns the round's selector, set to a job and rules.
func (l *leader) victimSelectorFor(j *job, rules victimRules) *victimSelector {
	v := &l.round.victims
	v.leader, v.job, v.rules = l, j, rules
	return v
}

// Excluded implements preemption.Machines.
func (v *victimSelector) Excluded(m *machine) bool {
	return !v.job.zoneAllowed(m.Zone) || m.failuresByJob[v.job.ID] > 0
}

// Cost implements preemption.Machines.
func (v *victimSelector) Cost(m *machine) (float64, bool) {
	l, needs := v.leader, placement.Needs(v.job.Job)
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

// attemptScanCost is how many examined machines a scan of all attempts on a machine counts as.
const attemptScanCost = 10

// canFreeEnough reports whether a machine would have enough CPUs for the job if all work of lower
// priority on it were preempted. For a job within its team's quota it always returns true: such a job
// may also preempt work that other teams run beyond their quota.
func (v *victimSelector) canFreeEnough(m *machine, cpus float64) bool {
	if v.job.withinQuota() {
		return true
	}
	for p := protocol.Priority(0); p < v.job.Priority; p++ {
		cpus += m.cpusByPriority[p]
	}
	return cpus >= v.job.CPUs-protocol.Epsilon
}

// matchesRules reports whether the rules of the search allow an attempt as a victim.
func (v *victimSelector) matchesRules(a *attempt) bool {
	switch v.rules {
	case checkpointingVictims:
		return a.state == protocol.Running && v.leader.checkpointsInTime(a.job)
	case immediateVictims:
		return v.leader.checkpointGrace(a) <= 0
	}
	return true
}

// Preempt implements preemption.Machines. It stops the victims that the last call of Cost chose
// and reserves their resources for the job.
func (v *victimSelector) Preempt(m *machine) {
	l, j := v.leader, v.job
	for i := range v.victims {
		victim := &v.victims[i]
		a := victim.Attempt
		l.controller.log.Debug("attempt preempted", "job", a.job.ID, "task", a.taskIndex, "machine", m.Name, "beneficiary", j.ID, "lost_work", victim.LostWork)
		l.stopAttempt(a, l.checkpointGrace(a))
	}
	m.Reserve(j.Job)
}
