package coordination

import (
	"cmp"
	"container/heap"
	"slices"
)

// open reports whether a machine takes new tasks: it has reported to this
// leader and been reached by it, is not on its way out, and isn't silent. One whose reports don't come
// while it answers calls loses all that runs there once its lease is over.
func (l *lead) open(m *machine) bool {
	return m.up && !m.reached.IsZero() && m.recorded && m.spec != nil && !m.draining && !m.releasing && m.noticeAt.IsZero() && m.probeFails == 0 &&
		l.n.now.Sub(m.heard) <= l.suspectAfter() && l.unreported(m) <= l.suspectAfter()+lostReport
}

// candidate is a machine with room for a task and what ranks it.
type candidate struct {
	machine     *machine
	score, room float64
	order       int32 // among those that score the same
	emptying    bool
}

// candidates are the machines that may take tasks of a job, the best one first.
// They are scored once, not once per task: placing one changes the score of its
// own machine alone.
type candidates struct{ list []candidate }

// candidates finds the machines that a job's tasks may be placed on now.
func (l *lead) candidates(j *job) candidates {
	l.ranked = l.ranked[:0]
	s := shape{cpus: j.CPUs, gpus: j.GPUs, mem: j.MemGB, zone: j.Zone, spot: j.Spot, types: j.Types}
	// Where nothing found room before, nothing of the same kind and size will, and
	// while enough waits to be recorded, nothing is to be placed.
	if l.journal.full() || s.hopeless(l.full) {
		return candidates{}
	}
	l.work += len(l.roomy)
	room := false
	for i, m := range l.roomy {
		if !m.hasRoom(j.Job) || !m.allowed(j.Job) {
			continue
		}
		room = true
		if m.emptying && j.Checkpoint > 0 && l.tooDear(j, offer{spec: m.spec, zone: m.zone, spot: m.spot}) {
			continue // it would soon have to leave again
		}
		if !l.avoids(j, m) {
			l.ranked = append(l.ranked, l.rate(m, j, int32(i)))
		}
	}
	if !room {
		l.full = append(l.full, s)
	}
	c := candidates{l.ranked}
	heap.Init(&c)
	return c
}

// shape is what decides where a task finds room: what it takes and what it may use.
type shape struct {
	cpus, gpus, mem float64
	zone            string
	spot            bool
	types           []string
}

// hopeless reports whether one of the same kind, and no larger, has found nothing.
// During a round room is only used up.
func (s *shape) hopeless(failed []shape) bool {
	for i := range failed {
		f := &failed[i]
		if f.cpus <= s.cpus && f.gpus <= s.gpus && f.mem <= s.mem && f.zone == s.zone && f.spot == s.spot &&
			slices.Equal(f.types, s.types) {
			return true
		}
	}
	return false
}

// takes reports whether an open machine may take one more task of a job, zones
// aside.
func (l *lead) takes(m *machine, j *job) bool {
	return m.hasRoom(j.Job) && m.allowed(j.Job) && !l.avoids(j, m)
}

// avoids reports whether a job stays away from a machine that failed it.
func (l *lead) avoids(j *job, m *machine) bool {
	return m.failures[j.ID] > 0 && len(j.failedOn) < 3
}

// best is the machine with the highest score, nil without any; ties go to more free
// room. Machines that are being emptied come only after all others.
func (c *candidates) best(j *job) *machine {
	for len(c.list) > 0 {
		if m := c.list[0].machine; j.zoneAllows(m.zone) {
			return m
		}
		// What is placed meanwhile opens no zone to the job again.
		heap.Pop(c)
	}
	return nil
}

// again looks anew at the best machine after it was given a task.
func (c *candidates) again(l *lead, j *job) {
	k := &c.list[0]
	if l.takes(k.machine, j) {
		*k = l.rate(k.machine, j, k.order)
		heap.Fix(c, 0)
		return
	}
	heap.Pop(c)
}

// rate gives what ranks a machine for a job.
func (l *lead) rate(m *machine, j *job, order int32) candidate {
	return candidate{m, l.score(m, j), m.spec.CPUs - m.cpus, order, m.emptying}
}

func (k *candidate) compare(o *candidate) int {
	if k.emptying != o.emptying {
		if o.emptying {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(o.score, k.score), cmp.Compare(o.room, k.room), cmp.Compare(k.order, o.order))
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (c *candidates) Len() int           { return len(c.list) }
func (c *candidates) Less(i, k int) bool { return c.list[i].compare(&c.list[k]) < 0 }
func (c *candidates) Swap(i, k int)      { c.list[i], c.list[k] = c.list[k], c.list[i] }
func (c *candidates) Push(x any)         { c.list = append(c.list, x.(candidate)) }
func (c *candidates) Pop() any {
	last := len(c.list) - 1
	c.list = c.list[:last]
	return nil
}
