package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// holds decides, for one look at the silent machines, which of those that hold replicas
// are kept for now. A replica on a machine that is only cut off serves on until its
// worker's lease ends, and one on a dead machine can't start elsewhere without room:
// so nothing is gained by returning a machine before there is room for what it holds,
// and where a third of all ordinary machines is cut off at once, their replicas would
// be away for as long as new machines take to boot. Those are rented meanwhile.
type holds struct {
	l     *leader
	taken map[*machine]usage // room that others' replicas are to have
	jobs  map[*job]int       // replicas that wait for room, by job
	full  map[kind]float64   // CPUs for which none was found, by kind of job
}

func (l *leader) newHolds() *holds {
	return &holds{l: l, taken: map[*machine]usage{}, jobs: map[*job]int{}, full: map[kind]float64{}}
}

// keep reports whether a silent machine is to be kept, and takes room for its replicas
// if it isn't.
func (h *holds) keep(m *machine, quiet time.Duration) bool {
	if m.replicas == 0 || quiet > h.l.controller.cfg.WorkerLease {
		return false
	}
	plan := map[*machine]usage{}
	without := map[*job]int{}
	found := 0
	for _, a := range m.sorted() {
		if a.job.Kind != protocol.Service || a.stop {
			continue
		}
		if o := h.roomFor(a.job, plan); o != nil {
			u := plan[o]
			u.cpus += a.job.CPUs
			plan[o] = u
			found++
			continue
		}
		without[a.job]++
	}
	missing := 0
	for _, k := range without {
		missing += k
	}
	if missing > found {
		for j, k := range without {
			h.jobs[j] += k
		}
		return true
	}
	for o, u := range plan {
		t := h.taken[o]
		t.cpus += u.cpus
		h.taken[o] = t
	}
	return false
}

// roomFor is a machine with room for a replica, lower work that gives way included.
func (h *holds) roomFor(j *job, plan map[*machine]usage) *machine {
	k := kindOf(j)
	if least, ok := h.full[k]; ok && j.CPUs >= least {
		return nil
	}
	for _, o := range h.l.fleetList {
		if !h.l.open(o) || !o.Allows(j.Job) {
			continue
		}
		room := o.Spec.CPUs - o.Taken.CPUs - h.taken[o].cpus - plan[o].cpus
		for p := protocol.Priority(0); p < j.Priority; p++ {
			room += o.kept[p]
		}
		if room >= j.CPUs-protocol.Epsilon {
			return o
		}
	}
	if len(plan) == 0 { // room is only taken from here on
		h.full[k] = j.CPUs
	}
	return nil
}
