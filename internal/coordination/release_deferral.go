package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// releaseDeferral decides, for one look at the silent machines, which of those that hold replicas
// are kept for now. A replica on a machine that is only cut off serves on until its
// worker's lease ends, and one on a dead machine can't start elsewhere without room:
// so nothing is gained by returning a machine before there is room for what it holds,
// and where a third of all ordinary machines is cut off at once, their replicas would
// be away for as long as new machines take to boot. Those are rented meanwhile.
type releaseDeferral struct {
	leader   *leader
	claimed  map[*machine]usage          // room that others' replicas are to have
	unplaced map[*job]int                // replicas that wait for room, by job
	noRoom   map[victimSearchKey]float64 // CPUs for which none was found, by kind of job
}

func (l *leader) newReleaseDeferral() *releaseDeferral {
	return &releaseDeferral{leader: l, claimed: map[*machine]usage{}, unplaced: map[*job]int{}, noRoom: map[victimSearchKey]float64{}}
}

// defers reports whether a silent machine is to be kept, and takes room for its replicas
// if it isn't.
func (d *releaseDeferral) defers(m *machine, quiet time.Duration) bool {
	if m.replicaCount == 0 || quiet > d.leader.controller.cfg.WorkerLease {
		return false
	}
	plan := map[*machine]usage{}
	without := map[*job]int{}
	found := 0
	for _, a := range m.sortedAttempts() {
		if a.job.Kind != protocol.Service || a.stopRequested {
			continue
		}
		if o := d.machineWithRoom(a.job, plan); o != nil {
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
			d.unplaced[j] += k
		}
		return true
	}
	for o, u := range plan {
		t := d.claimed[o]
		t.cpus += u.cpus
		d.claimed[o] = t
	}
	return false
}

// machineWithRoom is a machine with room for a replica, lower work that gives way included.
func (d *releaseDeferral) machineWithRoom(j *job, plan map[*machine]usage) *machine {
	k := victimSearchKeyOf(j)
	if least, ok := d.noRoom[k]; ok && j.CPUs >= least {
		return nil
	}
	for _, o := range d.leader.fleetList {
		if !d.leader.acceptsTasks(o) || !o.Allows(j.Job) {
			continue
		}
		room := o.Spec.CPUs - o.Allocated.CPUs - d.claimed[o].cpus - plan[o].cpus
		for p := protocol.Priority(0); p < j.Priority; p++ {
			room += o.cpusByPriority[p]
		}
		if room >= j.CPUs-protocol.Epsilon {
			return o
		}
	}
	if len(plan) == 0 { // room is only taken from here on
		d.noRoom[k] = j.CPUs
	}
	return nil
}
