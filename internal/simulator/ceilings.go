package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// ceilingCheck checks that a team that is known to surge takes no more than a part of a
// machine while another one, with room for the task, has stayed below for long.
type ceilingCheck struct {
	team  string
	share float64
	below map[*worker]map[taskShape]time.Time // since when it could take such a task and stay below
}

// taskShape is what a task takes.
type taskShape struct{ cpus, mem float64 }

// ceilingEvery is how often it is looked where there is room.
const ceilingEvery = 250 * time.Millisecond

// belowMost is for how long there may be room below the ceiling while tasks go above: a
// report's longest interval, and time for a round of placement and its record.
func (c *Cluster) belowMost() time.Duration {
	return c.settings.ReportInterval*5/4 + 3*time.Second
}

// Ceiling begins to check a team's ceiling; a share of 0 ends it.
func (c *Cluster) Ceiling(team string, share float64) {
	if share <= 0 {
		delete(c.ceilings, team)
		return
	}
	k := &ceilingCheck{team: team, share: share, below: map[*worker]map[taskShape]time.Time{}}
	c.ceilings[team] = k
	c.watchCeiling(k)
}

func (c *Cluster) watchCeiling(k *ceilingCheck) {
	if c.ceilings[k.team] != k {
		return
	}
	shapes := map[taskShape]bool{}
	for _, j := range c.jobs {
		if j.spec.Team == k.team && j.accepted && j.told == 0 {
			shapes[taskShape{j.spec.CPUs, j.spec.MemoryGB}] = true
		}
	}
	for _, h := range c.cloud.hosts {
		if h.worker == nil {
			continue
		}
		for s := range shapes {
			k.note(c, h.worker, s)
		}
	}
	c.after(ceilingEvery, func() { c.watchCeiling(k) })
}

// note notes whether a machine could take one more task and stay below the ceiling. One that
// a controller may not reach, or not know of, counts as one that can't.
func (k *ceilingCheck) note(c *Cluster, w *worker, s taskShape) {
	since := k.below[w]
	if since == nil {
		since = map[taskShape]time.Time{}
		k.below[w] = since
	}
	able := len(c.links) == 0 && c.Leader() >= 0 && !c.state.outage && len(c.state.refused) == 0 &&
		!w.dead && !w.hung && !w.mute && !w.wasSick && w.notice.IsZero() && c.now.Sub(w.lastAnswer) <= c.settings.ReportInterval*2
	free, mem := w.spec.CPUs, w.spec.MemoryGB
	for _, t := range w.tasks {
		if j := c.jobs[t.job]; j != nil && t.state != protocol.Exited {
			free -= j.spec.CPUs
			mem -= j.spec.MemoryGB
		}
	}
	taken, tasks := w.takenBy(k.team)
	switch {
	case !able || s.cpus > free+protocol.Epsilon || s.mem > mem+protocol.Epsilon || tasks > 0 && share(w, taken, s) > k.share+protocol.Epsilon:
		delete(since, s)
	case since[s].IsZero():
		since[s] = c.now
	}
}

// takenBy is what a team's tasks take of a machine.
func (w *worker) takenBy(team string) (taken taskShape, tasks int) {
	for _, t := range w.tasks {
		if j := w.c.jobs[t.job]; j != nil && t.state != protocol.Exited && j.spec.Team == team {
			taken.cpus += j.spec.CPUs
			taken.mem += j.spec.MemoryGB
			tasks++
		}
	}
	return taken, tasks
}

// share is the part of a machine that a team's tasks would take with one more.
func share(w *worker, taken, more taskShape) float64 {
	return max((taken.cpus+more.cpus)/w.spec.CPUs, (taken.mem+more.mem)/w.spec.MemoryGB)
}

// checkCeiling checks a task that was just started on a machine, and is in its list.
func (c *Cluster) checkCeiling(w *worker, j *userJob) {
	k := c.ceilings[j.spec.Team]
	if k == nil || j.spec.Priority == protocol.Critical || j.spec.Kind == protocol.Gang {
		return
	}
	taken, tasks := w.takenBy(k.team)
	if above := share(w, taken, taskShape{}); tasks < 2 || above <= k.share+protocol.Epsilon {
		return
	}
	shape := taskShape{j.spec.CPUs, j.spec.MemoryGB}
	for o, since := range k.below {
		h := o.host
		if at := since[shape]; !at.IsZero() && o != w && c.now.Sub(at) > c.belowMost() && j.spec.AllowsType(h.typ) &&
			(j.spec.Zone == "" || j.spec.Zone == h.zone) && (j.spec.AllowSpot || !h.spot) && !j.spec.OneZone && !j.spec.Spread {
			// Starts of one round of placement arrive one after the other.
			c.after(ceilingSettles, func() { k.judge(c, w, o, shape, at) })
			return
		}
	}
}

// ceilingSettles is how long the starts of one round of placement are on their way at the
// most.
const ceilingSettles = time.Second

// judge breaks the rule if a machine still has the room that it had when a task went above the
// ceiling of another.
func (k *ceilingCheck) judge(c *Cluster, above, below *worker, shape taskShape, since time.Time) {
	if c.ceilings[k.team] == k && k.below[below][shape] == since {
		c.breaks("above_ceiling", "%s takes more than %g of %s, while %s had room for %s", k.team, k.share, above.name, below.name,
			c.now.Sub(since).Round(time.Millisecond))
	}
}

// Shares tells what part of the machines that are up a team's tasks take: the most, and the
// mean.
func (c *Cluster) Shares(team string) string {
	var list []float64
	sum := 0.0
	for _, h := range c.cloud.hosts {
		if w := h.worker; w != nil && !w.dead {
			taken, _ := w.takenBy(team)
			s := share(w, taken, taskShape{})
			list = append(list, s)
			sum += s
		}
	}
	if len(list) == 0 {
		return "no machine"
	}
	return fmt.Sprintf("most %.2f, mean %.2f, on %d machines", slices.Max(list), sum/float64(len(list)), len(list))
}
