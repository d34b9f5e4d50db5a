package simulator

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// maxWaitDespiteCapacity is how long a job may wait while a suitable machine has room and its team is
// below its limit, once faults are over.
const maxWaitDespiteCapacity = 90 * time.Second

// queryInterval is how often users query each unfinished job once faults are over.
const queryInterval = 10 * time.Second

// BeginQuiescence declares that all faults are over. From now on users query every unfinished job,
// and it is checked that these queries are answered, that no job waits despite free capacity, that
// no machine is recorded in two shards, and that reachable workers get replies.
func (c *Cluster) BeginQuiescence() {
	if !c.quiescentSince.IsZero() {
		return
	}
	c.quiescentSince = c.now
	for _, j := range c.jobs {
		j.unansweredSince, j.waitsDespiteCapacitySince = time.Time{}, time.Time{}
	}
	c.checkQuiescent()
}

// EndQuiescence ends the checks that BeginQuiescence started.
func (c *Cluster) EndQuiescence() { c.quiescentSince = time.Time{} }

// checkQuiescent queries jobs and checks the invariants that hold once faults are over. It runs every
// two seconds until EndQuiescence.
func (c *Cluster) checkQuiescent() {
	if c.quiescentSince.IsZero() {
		return
	}
	unfinished := c.jobsMatching(func(j *userJob) bool { return j.accepted && j.reportedState == 0 })
	allocated := c.currentAllocation()
	for _, id := range unfinished {
		j := c.jobs[id]
		if c.now.Sub(j.lastQueryAt) >= queryInterval {
			j.lastQueryAt = c.now
			c.Query(c.rng.IntN(len(c.controllers)), id, func(int, string) {})
		}
		switch {
		// Jobs with failed tasks don't count: their tasks may be held back on purpose.
		case j.cancelRequested || j.alwaysFails || j.failures > 0 || !c.waitsDespiteCapacity(j, allocated):
			j.waitsDespiteCapacitySince = time.Time{}
		case j.waitsDespiteCapacitySince.IsZero() || j.firstStartAt.After(j.waitsDespiteCapacitySince):
			j.waitsDespiteCapacitySince = c.now
		case c.now.Sub(j.waitsDespiteCapacitySince) > maxWaitDespiteCapacity:
			c.reportViolation("left_waiting", "%s waited for %s while a machine had room", id, c.now.Sub(j.waitsDespiteCapacitySince).Round(time.Second))
			j.waitsDespiteCapacitySince = c.now
		}
	}
	c.checkShardsAndHeartbeats()
	c.after(2*time.Second, c.checkQuiescent)
}

// allocation is a snapshot of the placed tasks, including those that are fetching their image, and
// of the free capacity.
type allocation struct {
	cpusByTeam  map[string]float64
	tasksByZone map[string]map[string]int // number of tasks, by job and zone
	free        []freeCapacity
}

// freeCapacity is the unused CPUs and memory of a machine that is available for placement.
type freeCapacity struct {
	agent     *agent
	cpus, mem float64
}

// currentAllocation returns the current allocation.
func (c *Cluster) currentAllocation() *allocation {
	p := &allocation{cpusByTeam: map[string]float64{}, tasksByZone: map[string]map[string]int{}}
	for _, m := range c.cloud.machines {
		a := m.agent
		if a == nil || a.dead {
			continue
		}
		r := freeCapacity{a, a.spec.CPUs, a.spec.MemoryGB}
		for _, t := range a.tasks {
			j := c.jobs[t.job]
			if j == nil || t.state == protocol.Exited {
				continue
			}
			p.cpusByTeam[j.spec.Team] += j.spec.CPUs
			if p.tasksByZone[t.job] == nil {
				p.tasksByZone[t.job] = map[string]int{}
			}
			p.tasksByZone[t.job][m.zone]++
			r.cpus -= j.spec.CPUs
			r.mem -= j.spec.MemoryGB
		}
		// A machine that has just booted may be intended for other jobs, or not be known to the
		// leader yet.
		if r.cpus > 0 && !a.hung && !a.heartbeatsLost && !a.hasFailedTask && a.preemptionAt.IsZero() && c.now.Sub(m.bootedAt) >= maxWaitDespiteCapacity/3 {
			p.free = append(p.free, r)
		}
	}
	return p
}

// waitsDespiteCapacity reports whether a job has a task that is not placed although a machine has
// room for it and the team is below its limit.
func (c *Cluster) waitsDespiteCapacity(j *userJob, p *allocation) bool {
	if c.cloud.hasExternalMachines {
		return false // its tasks may run on external machines, which are not observed
	}
	s := &j.spec
	for _, team := range c.settings.Teams {
		if team.Name == s.Team && p.cpusByTeam[s.Team]+s.CPUs > team.MaxCPUs+protocol.Epsilon {
			return false
		}
	}
	zones, placed := p.tasksByZone[s.ID], 0
	for _, n := range zones {
		placed += n
	}
	if placed+len(j.completed) >= s.Tasks {
		return false
	}
	return slices.ContainsFunc(p.free, func(r freeCapacity) bool {
		return r.agent.machine.allowedFor(s) && zoneAllowed(s, zones, r.agent.machine.zone) && r.fits(s)
	})
}

// fits reports whether a task of the job fits into the free capacity.
func (r freeCapacity) fits(s *protocol.Job) bool {
	return s.CPUs <= r.cpus+protocol.Epsilon && s.MemoryGB <= r.mem+protocol.Epsilon
}

// allowedFor reports whether a job may use the machine, judging by its type, its zone, and whether it
// is a spot machine.
func (m *machine) allowedFor(s *protocol.Job) bool {
	return s.AllowsType(m.machineType) && (s.Zone == "" || s.Zone == m.zone) && (s.AllowSpot || !m.spot)
}

// zoneAllowed reports whether the job's zone constraints allow one more task in the zone. tasks is
// the number of its tasks in each zone.
func zoneAllowed(s *protocol.Job, tasks map[string]int, zone string) bool {
	if s.OneZone && len(tasks) > 0 && tasks[zone] == 0 {
		return false
	}
	return !s.Spread || tasks[zone] < (s.Tasks+1)/2
}
