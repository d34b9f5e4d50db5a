package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// ceilingInvariant checks the ceiling of a surging team: its tasks may exceed the given share of a
// machine only if no other machine has had room for the task below the ceiling for
// maxTimeWithRoomBelow.
type ceilingInvariant struct {
	team      string
	share     float64
	roomSince map[*agent]map[resources]time.Time // by machine and size of a task, since when the machine has had room for it below the ceiling
}

// resources is an amount of CPUs and memory (GB).
type resources struct{ cpus, mem float64 }

// ceilingSampleInterval is how often machines are checked for room below the ceiling.
const ceilingSampleInterval = 250 * time.Millisecond

// maxTimeWithRoomBelow is how long a machine may have room below the ceiling while tasks are started
// above it elsewhere: the longest heartbeat interval, plus time for a placement round and for
// writing its record.
func (c *Cluster) maxTimeWithRoomBelow() time.Duration {
	return c.settings.HeartbeatInterval*5/4 + 3*time.Second
}

// SetCeilingCheck starts checking that a team's tasks stay below the given share of each machine. A
// share of 0 stops the check.
func (c *Cluster) SetCeilingCheck(team string, share float64) {
	if share <= 0 {
		delete(c.ceilingInvariants, team)
		return
	}
	inv := &ceilingInvariant{team: team, share: share, roomSince: map[*agent]map[resources]time.Time{}}
	c.ceilingInvariants[team] = inv
	c.monitorRoomBelowCeiling(inv)
}

// monitorRoomBelowCeiling updates, at every ceilingSampleInterval, which machines have room below
// the ceiling for the team's unfinished jobs.
func (c *Cluster) monitorRoomBelowCeiling(inv *ceilingInvariant) {
	if c.ceilingInvariants[inv.team] != inv {
		return
	}
	shapes := map[resources]bool{}
	for _, j := range c.jobs {
		if j.spec.Team == inv.team && j.accepted && j.reportedState == 0 {
			shapes[resources{j.spec.CPUs, j.spec.MemoryGB}] = true
		}
	}
	for _, m := range c.cloud.machines {
		if m.agent == nil {
			continue
		}
		for s := range shapes {
			inv.observe(c, m.agent, s)
		}
	}
	c.after(ceilingSampleInterval, func() { c.monitorRoomBelowCeiling(inv) })
}

// observe records whether a machine could take one more task and stay below the ceiling. A machine
// that controllers may not reach, or not know of, counts as having no room.
func (inv *ceilingInvariant) observe(c *Cluster, a *agent, s resources) {
	since := inv.roomSince[a]
	if since == nil {
		since = map[resources]time.Time{}
		inv.roomSince[a] = since
	}
	taken, tasks := a.teamUsage(inv.team)
	below := tasks == 0 || machineShare(a, taken, s) <= inv.share+protocol.Epsilon
	switch {
	case !c.controlPlaneHealthy() || !a.schedulable() || !a.freeResources().covers(s) || !below:
		delete(since, s)
	case since[s].IsZero():
		since[s] = c.now
	}
}

// controlPlaneHealthy reports whether there is a leader, no link has a fault, and the state service
// is up and refuses no controller.
func (c *Cluster) controlPlaneHealthy() bool {
	return len(c.linkFaults) == 0 && c.Leader() >= 0 && !c.state.outage && len(c.state.refusedControllers) == 0
}

// schedulable reports whether a leader should consider the machine for placement: the agent runs, it
// got a reply to a heartbeat within the last two heartbeat intervals, no task failed on it because
// of the machine, and it has no preemption notice.
func (a *agent) schedulable() bool {
	return !a.dead && !a.hung && !a.heartbeatsLost && !a.hasFailedTask && a.preemptionAt.IsZero() &&
		a.cluster.now.Sub(a.lastReply) <= a.cluster.settings.HeartbeatInterval*2
}

// freeResources returns the resources that no task uses.
func (a *agent) freeResources() resources {
	left := resources{a.spec.CPUs, a.spec.MemoryGB}
	for _, t := range a.tasks {
		if j := a.cluster.jobs[t.job]; j != nil && t.state != protocol.Exited {
			left.cpus -= j.spec.CPUs
			left.mem -= j.spec.MemoryGB
		}
	}
	return left
}

// covers reports whether a task of size s fits into the free resources.
func (free resources) covers(s resources) bool {
	return s.cpus <= free.cpus+protocol.Epsilon && s.mem <= free.mem+protocol.Epsilon
}

// teamUsage returns the resources that a team's tasks use on the machine, and their number.
func (a *agent) teamUsage(team string) (taken resources, tasks int) {
	for _, t := range a.tasks {
		if j := a.cluster.jobs[t.job]; j != nil && t.state != protocol.Exited && j.spec.Team == team {
			taken.cpus += j.spec.CPUs
			taken.mem += j.spec.MemoryGB
			tasks++
		}
	}
	return taken, tasks
}

// machineShare returns the share of a machine that taken and more use together, of CPUs or memory,
// whichever is larger.
func machineShare(a *agent, taken, more resources) float64 {
	return max((taken.cpus+more.cpus)/a.spec.CPUs, (taken.mem+more.mem)/a.spec.MemoryGB)
}

// checkCeiling checks a task that has just been added to the agent's tasks. The ceiling does not
// apply to critical jobs, gangs, and jobs with zone constraints, nor to the team's only task on a
// machine.
func (c *Cluster) checkCeiling(a *agent, j *userJob) {
	inv := c.ceilingInvariants[j.spec.Team]
	if inv == nil || j.spec.Priority == protocol.Critical || j.spec.Kind == protocol.Gang || j.spec.OneZone || j.spec.Spread {
		return
	}
	taken, tasks := a.teamUsage(inv.team)
	if above := machineShare(a, taken, resources{}); tasks < 2 || above <= inv.share+protocol.Epsilon {
		return
	}
	shape := resources{j.spec.CPUs, j.spec.MemoryGB}
	for o, since := range inv.roomSince {
		if at := since[shape]; !at.IsZero() && o != a && c.now.Sub(at) > c.maxTimeWithRoomBelow() && o.machine.allowedFor(&j.spec) {
			// The starts of one placement round arrive one by one: a start that is still on
			// its way may take the room below the ceiling.
			c.after(maxStartSpread, func() { inv.confirmViolation(c, a, o, shape, at) })
			return
		}
	}
}

// maxStartSpread is the longest time between the arrivals of the starts of one placement round.
const maxStartSpread = time.Second

// confirmViolation reports a violation if the machine below the ceiling still has the room that it
// had when the task was started on the machine above.
func (inv *ceilingInvariant) confirmViolation(c *Cluster, above, below *agent, shape resources, since time.Time) {
	if c.ceilingInvariants[inv.team] == inv && inv.roomSince[below][shape].Equal(since) {
		c.reportViolation("above_ceiling", "team %s uses more than %g of %s although %s has had room below the ceiling for %s", inv.team, inv.share, above.name, below.name,
			c.now.Sub(since).Round(time.Millisecond))
	}
}

// TeamShares describes the share of each running machine that a team's tasks use: maximum and mean.
func (c *Cluster) TeamShares(team string) string {
	var list []float64
	sum := 0.0
	for _, m := range c.cloud.machines {
		if a := m.agent; a != nil && !a.dead {
			taken, _ := a.teamUsage(team)
			s := machineShare(a, taken, resources{})
			list = append(list, s)
			sum += s
		}
	}
	if len(list) == 0 {
		return "no machine"
	}
	return fmt.Sprintf("most %.2f, mean %.2f, on %d machines", slices.Max(list), sum/float64(len(list)), len(list))
}
