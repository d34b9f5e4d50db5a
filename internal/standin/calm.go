package standin

import (
	"time"

	"brasskeel/internal/protocol"
)

// waitBeside is how long a job may wait while a machine that fits has room and its
// team is under its limit, once the troubles are over.
const waitBeside = 90 * time.Second

// pollEvery is how often users ask for a job in a calm.
const pollEvery = 10 * time.Second

// Calm says that all troubles are over: from now on users ask for every unfinished
// job, none may go without an answer for long, and none may wait beside room.
func (c *Cluster) Calm() {
	if !c.calm.IsZero() {
		return
	}
	c.calm = c.now
	for _, j := range c.jobs {
		j.asking, j.waits = time.Time{}, time.Time{}
	}
	c.calmStep()
}

// Troubled ends what Calm began.
func (c *Cluster) Troubled() { c.calm = time.Time{} }

func (c *Cluster) calmStep() {
	if c.calm.IsZero() {
		return
	}
	unfinished := c.ids(func(j *userJob) bool { return j.accepted && j.told == 0 })
	for _, id := range unfinished {
		j := c.jobs[id]
		if c.now.Sub(j.polled) >= pollEvery {
			j.polled = c.now
			c.Poll(c.rng.IntN(len(c.nodes)), id, func(int, string) {})
		}
		switch {
		case j.asked || j.bad || j.failures > 0 || !c.waitsBeside(j):
			j.waits = time.Time{}
		case j.waits.IsZero() || j.began.After(j.waits):
			j.waits = c.now
		case c.now.Sub(j.waits) > waitBeside:
			c.breaks("left_waiting", "%s waited for %s beside room", id, c.now.Sub(j.waits).Round(time.Second))
			j.waits = c.now
		}
	}
	c.after(2*time.Second, c.calmStep)
}

// waitsBeside reports whether a job has a task that is nowhere while a machine has
// room for it.
func (c *Cluster) waitsBeside(j *userJob) bool {
	s := &j.spec
	for _, team := range c.settings.Teams {
		if team.Name == s.Team && c.taken(s.Team)+s.CPUs > team.CPUsMax+protocol.Epsilon {
			return false
		}
	}
	placed, zones := 0, map[string]int{}
	for _, h := range c.cloud.hosts {
		if w := h.worker; w != nil && !w.dead {
			for _, t := range w.tasks {
				if t.job == s.ID && t.state != protocol.Exited {
					placed++
					zones[h.zone]++
				}
			}
		}
	}
	if placed+len(j.completed) >= s.Tasks {
		return false
	}
	for _, h := range c.cloud.hosts {
		w := h.worker
		if w == nil || w.dead || w.hung || w.mute || w.wasSick || !w.notice.IsZero() || c.now.Sub(h.up) < waitBeside/3 ||
			!s.AllowsType(h.typ) || s.Zone != "" && s.Zone != h.zone || h.spot && !s.Spot ||
			s.OneZone && len(zones) > 0 && zones[h.zone] == 0 || s.Spread && zones[h.zone] >= (s.Tasks+1)/2 {
			continue
		}
		cpus, mem := w.spec.CPUs-s.CPUs, w.spec.MemGB-s.MemGB
		for _, t := range w.tasks {
			if x := c.jobs[t.job]; x != nil && t.state != protocol.Exited {
				cpus -= x.spec.CPUs
				mem -= x.spec.MemGB
			}
		}
		if cpus >= -protocol.Epsilon && mem >= -protocol.Epsilon {
			return true
		}
	}
	return false
}

// taken is what a team's tasks take, those that wait for their image included.
func (c *Cluster) taken(team string) float64 {
	sum := 0.0
	for _, h := range c.cloud.hosts {
		if w := h.worker; w != nil && !w.dead {
			for _, t := range w.tasks {
				if j := c.jobs[t.job]; j != nil && j.spec.Team == team && t.state != protocol.Exited {
					sum += j.spec.CPUs
				}
			}
		}
	}
	return sum
}
