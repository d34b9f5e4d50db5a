package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// releaseDeferral decides, for one scan, which unresponsive machines with replicas are not released
// yet. A replica on a machine that is only partitioned keeps serving until its worker's lease
// expires, and one on a dead machine can't start elsewhere without free capacity. So nothing is
// gained by releasing a machine before there is capacity for its replicas. If a third of all
// on-demand machines were partitioned at once, releasing them would make their replicas unavailable
// until new machines have booted. New machines are provisioned while the releases are deferred.
type releaseDeferral struct {
	leader   *leader
	claimed  map[*machine]usage          // CPUs claimed for the replicas of machines that are released, by target
	unplaced map[*job]int                // replicas without capacity elsewhere, by job
	noRoom   map[victimSearchKey]float64 // least CPUs of a replica for which no machine was found, by kind of job
}

func (l *leader) newReleaseDeferral() *releaseDeferral {
	return &releaseDeferral{leader: l, claimed: map[*machine]usage{}, unplaced: map[*job]int{}, noRoom: map[victimSearchKey]float64{}}
}

// defers reports whether the release of an unresponsive machine is deferred, because fewer than half
// of its replicas would find capacity elsewhere. If it isn't, capacity for those that would is
// claimed. The release of a machine without replicas, or one that has been out of contact for longer
// than a worker lease, is never deferred. outOfContact is how long there has been no contact with the
// machine.
func (d *releaseDeferral) defers(m *machine, outOfContact time.Duration) bool {
	if m.replicaCount == 0 || outOfContact > d.leader.controller.cfg.WorkerLease {
		return false
	}
	plan := map[*machine]usage{}
	unplaced := map[*job]int{}
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
		unplaced[a.job]++
	}
	missing := 0
	for _, k := range unplaced {
		missing += k
	}
	if missing > found {
		for j, k := range unplaced {
			d.unplaced[j] += k
		}
		return true
	}
	for o, u := range plan {
		claimed := d.claimed[o]
		claimed.cpus += u.cpus
		d.claimed[o] = claimed
	}
	return false
}

// machineWithRoom returns a machine with enough CPUs for a replica, or nil. CPUs used by lower-priority
// work count as free, since that work can be preempted. plan holds the CPUs on each
// target that are planned for other replicas of the same unresponsive machine.
func (d *releaseDeferral) machineWithRoom(j *job, plan map[*machine]usage) *machine {
	k := victimSearchKeyOf(j)
	if least, ok := d.noRoom[k]; ok && j.CPUs >= least {
		return nil
	}
	for _, o := range d.leader.fleetList {
		if !d.leader.acceptsTasks(o) || !o.Allows(j.Job) {
			continue
		}
		available := o.Spec.CPUs - o.Allocated.CPUs - d.claimed[o].cpus - plan[o].cpus
		for p := protocol.Priority(0); p < j.Priority; p++ {
			available += o.cpusByPriority[p]
		}
		if available >= j.CPUs-protocol.Epsilon {
			return o
		}
	}
	// A plan may still be dropped. Without one, the result holds for the rest of the scan, in which
	// capacity is only claimed, never returned.
	if len(plan) == 0 {
		d.noRoom[k] = j.CPUs
	}
	return nil
}
