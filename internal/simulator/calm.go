package simulator

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
	p := c.placement()
	for _, id := range unfinished {
		j := c.jobs[id]
		if c.now.Sub(j.polled) >= pollEvery {
			j.polled = c.now
			c.Poll(c.rng.IntN(len(c.nodes)), id, func(int, string) {})
		}
		switch {
		case j.asked || j.bad || j.failures > 0 || !c.waitsBeside(j, p):
			j.waits = time.Time{}
		case j.waits.IsZero() || j.began.After(j.waits):
			j.waits = c.now
		case c.now.Sub(j.waits) > waitBeside:
			c.breaks("left_waiting", "%s waited for %s beside room", id, c.now.Sub(j.waits).Round(time.Second))
			j.waits = c.now
		}
	}
	c.checkOwners()
	c.after(2*time.Second, c.calmStep)
}

// placement is what is placed where at a moment, tasks that wait for their image
// included.
type placement struct {
	taken map[string]float64        // CPUs, by team
	jobs  map[string]map[string]int // tasks, by job and zone
	rooms []room
}

// room is what a machine that should take tasks has left.
type room struct {
	w         *worker
	cpus, mem float64
}

func (c *Cluster) placement() *placement {
	p := &placement{taken: map[string]float64{}, jobs: map[string]map[string]int{}}
	for _, h := range c.cloud.hosts {
		w := h.worker
		if w == nil || w.dead {
			continue
		}
		r := room{w, w.spec.CPUs, w.spec.MemoryGB}
		for _, t := range w.tasks {
			j := c.jobs[t.job]
			if j == nil || t.state == protocol.Exited {
				continue
			}
			p.taken[j.spec.Team] += j.spec.CPUs
			if p.jobs[t.job] == nil {
				p.jobs[t.job] = map[string]int{}
			}
			p.jobs[t.job][h.zone]++
			r.cpus -= j.spec.CPUs
			r.mem -= j.spec.MemoryGB
		}
		// One that is just up may be meant for other work, or not be heard of yet.
		if r.cpus > 0 && !w.hung && !w.mute && !w.wasSick && w.notice.IsZero() && c.now.Sub(h.up) >= waitBeside/3 {
			p.rooms = append(p.rooms, r)
		}
	}
	return p
}

// waitsBeside reports whether a job has a task that is nowhere while a machine has
// room for it.
func (c *Cluster) waitsBeside(j *userJob, p *placement) bool {
	if c.cloud.external {
		return false // its tasks may run where they aren't seen
	}
	s := &j.spec
	for _, team := range c.settings.Teams {
		if team.Name == s.Team && p.taken[s.Team]+s.CPUs > team.CPUsMax+protocol.Epsilon {
			return false
		}
	}
	zones, placed := p.jobs[s.ID], 0
	for _, n := range zones {
		placed += n
	}
	if placed+len(j.completed) >= s.Tasks {
		return false
	}
	for _, r := range p.rooms {
		h := r.w.host
		if !s.AllowsType(h.typ) || s.Zone != "" && s.Zone != h.zone || h.spot && !s.AllowSpot ||
			s.OneZone && len(zones) > 0 && zones[h.zone] == 0 || s.Spread && zones[h.zone] >= (s.Tasks+1)/2 {
			continue
		}
		if s.CPUs <= r.cpus+protocol.Epsilon && s.MemoryGB <= r.mem+protocol.Epsilon {
			return true
		}
	}
	return false
}
