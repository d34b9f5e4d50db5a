package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// ceilingInvariant checks that a team that is known to surge takes no more than a part of a
// machine while another one, with room for the task, has stayed below for long.
type ceilingInvariant struct {
	team      string
	share     float64
	roomSince map[*agent]map[resources]time.Time // since when it could take such a task and stay below
}

// resources is what a task takes.
type resources struct{ cpus, mem float64 }

// ceilingSampleInterval is how often it is looked where there is room.
const ceilingSampleInterval = 250 * time.Millisecond

// maxTimeWithRoomBelow is for how long there may be room below the ceiling while tasks go above: a
// report's longest interval, and time for a round of placement and its record.
func (c *Cluster) maxTimeWithRoomBelow() time.Duration {
	return c.settings.HeartbeatInterval*5/4 + 3*time.Second
}

// SetCeilingCheck begins to check a team's ceiling; a share of 0 ends it.
func (c *Cluster) SetCeilingCheck(team string, share float64) {
	if share <= 0 {
		delete(c.ceilingInvariants, team)
		return
	}
	k := &ceilingInvariant{team: team, share: share, roomSince: map[*agent]map[resources]time.Time{}}
	c.ceilingInvariants[team] = k
	c.monitorRoomBelowCeiling(k)
}

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

// observe notes whether a machine could take one more task and stay below the ceiling. One that
// a controller may not reach, or not know of, counts as one that can't.
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

// controlPlaneHealthy reports whether there is a leader that reaches all it needs.
func (c *Cluster) controlPlaneHealthy() bool {
	return len(c.linkFaults) == 0 && c.Leader() >= 0 && !c.state.outage && len(c.state.refusedNodes) == 0
}

// schedulable reports whether a leader has reason to place tasks on the agent's machine.
func (w *agent) schedulable() bool {
	return !w.dead && !w.hung && !w.heartbeatsLost && !w.hasFailedTask && w.preemptionAt.IsZero() &&
		w.cluster.now.Sub(w.lastReply) <= w.cluster.settings.HeartbeatInterval*2
}

// freeResources is what no task takes of a machine.
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

// covers reports whether a task has room in what is free.
func (free resources) covers(s resources) bool {
	return s.cpus <= free.cpus+protocol.Epsilon && s.mem <= free.mem+protocol.Epsilon
}

// teamUsage is what a team's tasks take of a machine.
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

// machineShare is the part of a machine that a team's tasks would take with one more.
func machineShare(w *agent, taken, more resources) float64 {
	return max((taken.cpus+more.cpus)/w.spec.CPUs, (taken.mem+more.mem)/w.spec.MemoryGB)
}

// checkCeiling checks a task that was just started on a machine, and is in its list.
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
			// Starts of one round of placement arrive one after the other.
			c.after(maxStartSpread, func() { k.confirmViolation(c, w, o, shape, at) })
			return
		}
	}
}

// maxStartSpread is how long the starts of one round of placement are on their way at the
// most.
const maxStartSpread = time.Second

// confirmViolation breaks the rule if a machine still has the room that it had when a task went above the
// ceiling of another.
func (k *ceilingInvariant) confirmViolation(c *Cluster, above, below *agent, shape resources, since time.Time) {
	if c.ceilingInvariants[k.team] == k && k.roomSince[below][shape].Equal(since) {
		c.reportViolation("above_ceiling", "%s takes more than %g of %s, while %s had room for %s", k.team, k.share, above.name, below.name,
			c.now.Sub(since).Round(time.Millisecond))
	}
}

// TeamShares tells what part of the machines that are up a team's tasks take: the most, and the
// mean.
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
