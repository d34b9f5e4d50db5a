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
	roomSince map[*agent]map[resources]time.Time // since when the machine has had room for such a task below the ceiling
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
	k := &ceilingInvariant{team: team, share: share, roomSince: map[*agent]map[resources]time.Time{}}
	c.ceilingInvariants[team] = k
	c.monitorRoomBelowCeiling(k)
}

// monitorRoomBelowCeiling updates, at every ceilingSampleInterval, which machines have room below
// the ceiling for the team's unfinished jobs.
func (c *Cluster) monitorRoomBelowCeiling(k *ceilingInvariant) {
	if c.ceilingInvariants[k.team] != k {
		return
	}
	shapes := map[resources]bool{}
	for _, j := range c.jobs {
		if j.spec.Team == k.team && j.accepted && j.reportedState == 0 {
			shapes[resources{j.spec.CPUs, j.spec.MemoryGB}] = true
		}
	}
	for _, h := range c.cloud.machines {
		if h.agent == nil {
			continue
		}
		for s := range shapes {
			k.observe(c, h.agent, s)
		}
	}
	c.after(ceilingSampleInterval, func() { c.monitorRoomBelowCeiling(k) })
}

// observe records whether a machine could take one more task and stay below the ceiling. A machine
// that controllers may not reach, or not know of, counts as having no room.
func (k *ceilingInvariant) observe(c *Cluster, w *agent, s resources) {
	since := k.roomSince[w]
	if since == nil {
		since = map[resources]time.Time{}
		k.roomSince[w] = since
	}
	taken, tasks := w.teamUsage(k.team)
	below := tasks == 0 || machineShare(w, taken, s) <= k.share+protocol.Epsilon
	switch {
	case !c.controlPlaneHealthy() || !w.schedulable() || !w.freeResources().covers(s) || !below:
		delete(since, s)
	case since[s].IsZero():
		since[s] = c.now
	}
}

// controlPlaneHealthy reports whether there is a leader, no link has a fault, and the state service
// is up and refuses no node.
func (c *Cluster) controlPlaneHealthy() bool {
	return len(c.linkFaults) == 0 && c.Leader() >= 0 && !c.state.outage && len(c.state.refusedNodes) == 0
}

// schedulable reports whether a leader should consider the machine for placement: the agent is up
// and heard from, none of its tasks failed, and it has no preemption notice.
func (w *agent) schedulable() bool {
	return !w.dead && !w.hung && !w.heartbeatsLost && !w.hasFailedTask && w.preemptionAt.IsZero() &&
		w.cluster.now.Sub(w.lastReply) <= w.cluster.settings.HeartbeatInterval*2
}

// freeResources returns the resources that no task uses.
func (w *agent) freeResources() resources {
	left := resources{w.spec.CPUs, w.spec.MemoryGB}
	for _, t := range w.tasks {
		if j := w.cluster.jobs[t.job]; j != nil && t.state != protocol.Exited {
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
func (w *agent) teamUsage(team string) (taken resources, tasks int) {
	for _, t := range w.tasks {
		if j := w.cluster.jobs[t.job]; j != nil && t.state != protocol.Exited && j.spec.Team == team {
			taken.cpus += j.spec.CPUs
			taken.mem += j.spec.MemoryGB
			tasks++
		}
	}
	return taken, tasks
}

// machineShare returns the share of a machine that taken and more use together, of CPUs or memory,
// whichever is larger.
func machineShare(w *agent, taken, more resources) float64 {
	return max((taken.cpus+more.cpus)/w.spec.CPUs, (taken.mem+more.mem)/w.spec.MemoryGB)
}

// checkCeiling checks a task that has just been added to the agent's tasks. The ceiling does not
// apply to critical jobs, gangs, and jobs with zone constraints, nor to the team's only task on a
// machine.
func (c *Cluster) checkCeiling(w *agent, j *userJob) {
	k := c.ceilingInvariants[j.spec.Team]
	if k == nil || j.spec.Priority == protocol.Critical || j.spec.Kind == protocol.Gang || j.spec.OneZone || j.spec.Spread {
		return
	}
	taken, tasks := w.teamUsage(k.team)
	if above := machineShare(w, taken, resources{}); tasks < 2 || above <= k.share+protocol.Epsilon {
		return
	}
	shape := resources{j.spec.CPUs, j.spec.MemoryGB}
	for o, since := range k.roomSince {
		if at := since[shape]; !at.IsZero() && o != w && c.now.Sub(at) > c.maxTimeWithRoomBelow() && o.machine.allowedFor(&j.spec) {
			// The starts of one placement round arrive one by one: the room may be taken by
			// another of them.
			c.after(maxStartSpread, func() { k.confirmViolation(c, w, o, shape, at) })
			return
		}
	}
}

// maxStartSpread is the longest time between the arrivals of the starts of one placement round.
const maxStartSpread = time.Second

// confirmViolation reports a violation if the machine below the ceiling still has the room that it
// had when the task was started on the machine above.
func (k *ceilingInvariant) confirmViolation(c *Cluster, above, below *agent, shape resources, since time.Time) {
	if c.ceilingInvariants[k.team] == k && k.roomSince[below][shape].Equal(since) {
		c.reportViolation("above_ceiling", "team %s uses more than %g of %s although %s has had room below the ceiling for %s", k.team, k.share, above.name, below.name,
			c.now.Sub(since).Round(time.Millisecond))
	}
}

// TeamShares describes the share of each running machine that a team's tasks use: maximum and mean.
func (c *Cluster) TeamShares(team string) string {
	var list []float64
	sum := 0.0
	for _, h := range c.cloud.machines {
		if w := h.agent; w != nil && !w.dead {
			taken, _ := w.teamUsage(team)
			s := machineShare(w, taken, resources{})
			list = append(list, s)
			sum += s
		}
	}
	if len(list) == 0 {
		return "no machine"
	}
	return fmt.Sprintf("most %.2f, mean %.2f, on %d machines", slices.Max(list), sum/float64(len(list)), len(list))
}
