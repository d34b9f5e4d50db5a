package coordination

import (
	"brasskeel/internal/protocol"
)

// open reports whether a machine takes new tasks: it has reported to this
// leader and been reached by it, is not on its way out, and isn't silent.
func (l *lead) open(m *machine) bool {
	return m.up && !m.reached.IsZero() && m.recorded && m.spec != nil && !m.draining && !m.releasing && m.noticeAt.IsZero() && m.probeFails == 0 &&
		l.n.now.Sub(m.heard) <= l.suspectAfter()
}

// candidate is a machine with room for a task and what ranks it.
type candidate struct {
	machine     *machine
	score, room float64
	emptying    bool
}

// candidates are the machines that may take tasks of a job. They are scored once,
// not once per task: placing one changes the score of its own machine alone.
type candidates struct{ list []candidate }

// candidates finds the machines that a job's tasks may be placed on now.
func (l *lead) candidates(j *job) candidates {
	l.ranked = l.ranked[:0]
	// In a full fleet, or while enough waits to be recorded, no machine needs to be
	// looked at.
	if j.CPUs <= l.roomiest+protocol.Epsilon && l.journal.unsaved < maxUnrecorded {
		for _, m := range l.opened {
			if l.takes(m, j) {
				l.ranked = append(l.ranked, l.rate(m, j))
			}
		}
	}
	return candidates{l.ranked}
}

// takes reports whether an open machine may take one more task of a job, zones
// aside.
func (l *lead) takes(m *machine, j *job) bool {
	return m.hasRoom(j.Job) && m.allowed(j.Job) && !(m.failures[j.ID] > 0 && len(j.failedOn) < 3)
}

// best is the index of the machine with the highest score, -1 without any; ties go
// to more free room. Machines that are being emptied come only after all others.
func (c *candidates) best(j *job) int {
	best := -1
	for i := range c.list {
		k := &c.list[i]
		if !j.zoneAllows(k.machine.zone) {
			continue
		}
		if best < 0 || k.before(&c.list[best]) {
			best = i
		}
	}
	return best
}

func (k *candidate) before(o *candidate) bool {
	if k.emptying != o.emptying {
		return o.emptying
	}
	return k.score > o.score+protocol.Epsilon || k.score > o.score-protocol.Epsilon && k.room > o.room
}

// again looks anew at a machine that was given a task.
func (c *candidates) again(l *lead, j *job, i int) {
	if m := c.list[i].machine; l.takes(m, j) {
		c.list[i] = l.rate(m, j)
		return
	}
	last := len(c.list) - 1
	c.list[i] = c.list[last]
	c.list = c.list[:last]
}

// rate gives what ranks a machine for a job.
func (l *lead) rate(m *machine, j *job) candidate {
	return candidate{m, l.score(m, j), m.spec.CPUs - m.cpus, m.emptying}
}
