package simulator

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// maxWaitDespiteCapacity is how long a job may wait while a machine that fits has room and its
// team is under its limit, once the troubles are over.
const maxWaitDespiteCapacity = 90 * time.Second

// queryInterval is how often users ask for a job in a calm.
const queryInterval = 10 * time.Second

// BeginQuiescence says that all troubles are over: from now on users ask for every unfinished
// job, none may go without an answer for long, and none may wait beside room.
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

// EndQuiescence ends what Calm began.
func (c *Cluster) EndQuiescence() { c.quiescentSince = time.Time{} }

func (c *Cluster) checkQuiescent() {
	if c.quiescentSince.IsZero() {
		return
	}
	unfinished := c.jobsMatching(func(j *userJob) bool { return j.accepted && j.reportedState == 0 })
	p := c.currentAllocation()
	for _, id := range unfinished {
		j := c.jobs[id]
		if c.now.Sub(j.lastQueryAt) >= queryInterval {
			j.lastQueryAt = c.now
			c.Query(c.rng.IntN(len(c.controllers)), id, func(int, string) {})
		}
		switch {
		case j.cancelRequested || j.alwaysFails || j.failures > 0 || !c.waitsDespiteCapacity(j, p):
			j.waitsDespiteCapacitySince = time.Time{}
		case j.waitsDespiteCapacitySince.IsZero() || j.firstStartAt.After(j.waitsDespiteCapacitySince):
			j.waitsDespiteCapacitySince = c.now
		case c.now.Sub(j.waitsDespiteCapacitySince) > maxWaitDespiteCapacity:
			c.reportViolation("left_waiting", "%s waited for %s beside room", id, c.now.Sub(j.waitsDespiteCapacitySince).Round(time.Second))
			j.waitsDespiteCapacitySince = c.now
		}
	}
	c.checkShardOwners()
	c.after(2*time.Second, c.checkQuiescent)
}

// allocation is what is placed where at a moment, tasks that wait for their image
// included.
type allocation struct {
	cpusByTeam  map[string]float64        // CPUs, by team
	tasksByZone map[string]map[string]int // tasks, by job and zone
	free        []freeCapacity
}

// freeCapacity is what a machine that should take tasks has left.
type freeCapacity struct {
	agent     *agent
	cpus, mem float64
}

func (c *Cluster) currentAllocation() *allocation {
	p := &allocation{cpusByTeam: map[string]float64{}, tasksByZone: map[string]map[string]int{}}
	for _, h := range c.cloud.machines {
		w := h.agent
		if w == nil || w.dead {
			continue
		}
		r := freeCapacity{w, w.spec.CPUs, w.spec.MemoryGB}
		for _, t := range w.tasks {
			j := c.jobs[t.job]
			if j == nil || t.state == protocol.Exited {
				continue
			}
			p.cpusByTeam[j.spec.Team] += j.spec.CPUs
			if p.tasksByZone[t.job] == nil {
				p.tasksByZone[t.job] = map[string]int{}
			}
			p.tasksByZone[t.job][h.zone]++
			r.cpus -= j.spec.CPUs
			r.mem -= j.spec.MemoryGB
		}
		// One that is just up may be meant for other work, or not be heard of yet.
		if r.cpus > 0 && !w.hung && !w.heartbeatsLost && !w.hasFailedTask && w.preemptionAt.IsZero() && c.now.Sub(h.bootedAt) >= maxWaitDespiteCapacity/3 {
			p.free = append(p.free, r)
		}
	}
	return p
}

// waitsDespiteCapacity reports whether a job has a task that is nowhere while a machine has
// room for it.
func (c *Cluster) waitsDespiteCapacity(j *userJob, p *allocation) bool {
	if c.cloud.hasExternalMachines {
		return false // its tasks may run where they aren't seen
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

// fits reports whether one of a job's tasks has room.
func (r freeCapacity) fits(s *protocol.Job) bool {
	return s.CPUs <= r.cpus+protocol.Epsilon && s.MemoryGB <= r.mem+protocol.Epsilon
}

// allowedFor reports whether a job may use a machine, as far as its type, zone and price go.
func (h *machine) allowedFor(s *protocol.Job) bool {
	return s.AllowsType(h.machineType) && (s.Zone == "" || s.Zone == h.zone) && (s.AllowSpot || !h.spot)
}

// zoneAllowed reports whether a job with these tasks per zone may have one more in a zone.
func zoneAllowed(s *protocol.Job, tasks map[string]int, zone string) bool {
	if s.OneZone && len(tasks) > 0 && tasks[zone] == 0 {
		return false
	}
	return !s.Spread || tasks[zone] < (s.Tasks+1)/2
}
