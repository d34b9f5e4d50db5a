package coordination

import (
	"maps"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// growth is one look at what has to be rented beyond what boots.
type growth struct {
	l      *leader
	offers []offer
	bins   []*bin // all the room that is coming
	open   []*bin // of it, what may take more of what waits, in the same order
	full   int    // of them, those that by now may not
	// from is where the search for room begins in open, by shape of a task: what is before
	// it takes no more of that shape.
	from   map[placement.ShapeKey]int
	least  usage // of a task that waits
	mem    float64
	need   map[offerKey]int // machines to be asked for, by offer
	order  []offer          // those offers
	looked int              // bins that were looked at, over all jobs
	rented int              // machines to be asked for
	most   int              // of them
	rooms  map[string]*usage
}

// mayGrow reports whether anything may be rented now.
func (l *leader) mayGrow() bool {
	c, f := l.controller, &l.fleet
	if l.phase != active || c.storeDown() || len(c.types) == 0 || !c.now.Before(l.lease.validUntil) || f.partly {
		return false
	}
	if c.strained() || len(l.fleetList) > l.likelyFleet() && l.overrun() {
		c.bounds.hit(boundServed)
		return false
	}
	for _, k := range f.renting {
		if k > 0 {
			return false // its answer decides what else is needed
		}
	}
	return true
}

// Thousands of machines rented at once, while the first of them booted, left a leader on a
// small share of a processor so late that it answered neither workers nor users any more: what
// a fleet costs shows only when its machines are up. So beyond what its share is likely to
// serve, a fleet grows by steps of a part of it, each one after the one before is up, and only
// while the leader keeps up with its timers.
const (
	// reportCost is about what a report costs a controller, all that comes with it included,
	// on an ordinary core: with 86 microseconds measured (docs/MEASUREMENTS.md).
	reportCost  = 100 * time.Microsecond
	carefulStep = 8 // part of the fleet that may boot, as a divisor
	carefulFor  = 4 * time.Second
)

// likelyFleet is how many machines are likely to be served in time. Those of shards' owners
// aren't counted more: how many of them serve, and what that costs the leader, shows as the
// fleet grows.
func (l *leader) likelyFleet() int {
	c := l.controller.cfg
	return int(min(c.CPUShare*float64(c.ReportInterval)/float64(reportCost), 1e9))
}

// overrun reports whether the controllers that serve the fleet have been late by now: this
// one, or the owner of a shard.
func (l *leader) overrun() bool {
	c := l.controller
	if !c.lateAt.IsZero() && c.now.Sub(c.lateAt) < carefulFor {
		return true
	}
	return l.shards != nil && l.shards.ownersLate()
}

// rentable is how many machines may be rented in one turn.
func (g *growth) rentable() int {
	l := g.l
	fleet := len(l.fleetList)
	step := max(protocol.MaxRent, fleet/carefulStep) - len(g.bins)
	return max(0, min(rentAtOnce, max(l.likelyFleet()-fleet, step)))
}

// grow rents what the waiting work and the headroom need beyond what boots.
func (l *leader) grow() {
	if !l.mayGrow() {
		return
	}
	g := l.newGrowth()
	g.most = g.rentable()
	for _, d := range l.fleet.unmet {
		if g.rented >= g.most {
			break
		}
		g.serve(d)
	}
	g.serveHeld()
	g.headroom()
	g.ask()
}

func (l *leader) newGrowth() *growth {
	g := &growth{l: l, offers: l.offers(), bins: l.coming(), from: map[placement.ShapeKey]int{}, need: map[offerKey]int{}, rooms: map[string]*usage{}}
	g.open = slices.Clone(g.bins)
	for i, d := range l.fleet.unmet {
		if i == 0 {
			g.least, g.mem = usage{d.job.CPUs, d.job.GPUs}, d.job.MemGB
		}
		g.least.cpus, g.mem = min(g.least.cpus, d.job.CPUs), min(g.mem, d.job.MemGB)
	}
	// What a team may still start under its limit, over all its jobs: machines
	// beyond that would stand idle.
	for name, t := range l.controller.teams {
		u := l.teams[name]
		g.rooms[name] = &usage{t.CPUsMax - u.cpus, t.GPUsMax - u.gpus}
	}
	return g
}

// serve finds room for a job's tasks in what is coming, and rents what they need beyond it.
func (g *growth) serve(d demand) {
	l, j := g.l, d.job
	wanted := min(d.left, j.toStart())
	left := min(wanted, g.underLimit(j))
	zones := zonesOf(j)
	room := g.rooms[j.Team]
	put := func(count int) {
		left -= count
		room.cpus -= float64(count) * j.CPUs
		room.gpus -= float64(count) * j.GPUs
	}
	put(g.fill(j, zones, left))
	for left > 0 && g.rented < g.most {
		o, ok := bestOffer(g.offers, j.Job, left, zones.allows)
		// One that has waited for too long gets a machine to begin on.
		if !ok || l.tooDear(j, o) && !(left == wanted && j.overdue(l.controller.now.Round(0))) {
			return
		}
		count := g.put(g.rent(o), j, zones, left)
		if count == 0 {
			return // a machine of the best offer should take one at least
		}
		put(count)
	}
}

// underLimit is how many tasks of a job its team's limit still lets start.
func (g *growth) underLimit(j *job) int {
	room, most := g.rooms[j.Team], float64(j.Tasks)
	if j.CPUs > 0 {
		most = min(most, (room.cpus+protocol.Epsilon)/j.CPUs)
	}
	if j.GPUs > 0 {
		most = min(most, (room.gpus+protocol.Epsilon)/j.GPUs)
	}
	return max(0, int(most))
}

// fill puts tasks of a job into room that is coming, and returns how many found some.
func (g *growth) fill(j *job, zones *zoneCount, most int) int {
	key := shapeOf(j)
	i, found := g.from[key], 0
	for ; i < len(g.open) && found < most; i++ {
		g.looked++
		found += g.put(g.open[i], j, zones, most-found)
	}
	if !j.OneZone && !j.Spread {
		if found == most && i > 0 {
			i-- // the last one may take more
		}
		g.from[key] = max(g.from[key], i)
	}
	g.compact()
	return found
}

// put puts up to a number of a job's tasks into a bin, and returns how many it took.
func (g *growth) put(b *bin, j *job, zones *zoneCount, most int) int {
	count := 0
	for count < most && zones.allows(b.offer.zone) && b.take(j) {
		zones.count[b.offer.zone]++
		count++
	}
	if count > 0 && (b.cpus < g.least.cpus-protocol.Epsilon || b.mem < g.mem-protocol.Epsilon) {
		g.full++
	}
	return count
}

// compact takes bins that are full out of those that are looked at, once they are most of
// them: thousands of jobs would otherwise look at thousands of full ones each.
func (g *growth) compact() {
	if g.full*2 <= len(g.open) {
		return
	}
	g.open = slices.DeleteFunc(g.open, func(b *bin) bool {
		return b.cpus < g.least.cpus-protocol.Epsilon || b.mem < g.mem-protocol.Epsilon
	})
	g.full = 0
	clear(g.from)
}

// rent wants one more machine.
func (g *growth) rent(o offer) *bin {
	key := o.key()
	if g.need[key] == 0 {
		g.order = append(g.order, o)
	}
	g.need[key]++
	g.rented++
	b := newBin(o)
	g.bins = append(g.bins, b)
	g.open = append(g.open, b)
	return b
}

// serveHeld finds room for replicas whose machines are silent. They count under their teams'
// limits already.
func (g *growth) serveHeld() {
	held := g.l.fleet.held
	if len(held) == 0 {
		return
	}
	for _, j := range g.l.order {
		free := &zoneCount{count: map[string]int{}}
		for left := held[j]; left > 0 && g.rented < g.most; left-- {
			if g.fill(j, free, 1) > 0 {
				continue
			}
			o, ok := bestOffer(g.offers, j.Job, left, free.allows)
			if !ok {
				break
			}
			g.rent(o).take(j)
		}
	}
}

// headroom rents ahead of the next jobs.
func (g *growth) headroom() {
	l := g.l
	used, free := 0.0, 0.0
	for _, m := range l.fleetList {
		if m.Spec == nil || !m.up {
			continue
		}
		used += m.Taken.CPUs
		if l.open(m) {
			free += m.Spec.CPUs - m.Taken.CPUs
		}
	}
	for _, b := range g.bins {
		free += b.cpus
		used += b.offer.spec.CPUs - b.cpus // by what waits for it
	}
	want := l.headroom(used)
	if len(g.offers) == 0 {
		return
	}
	for cheapest := g.offers[0]; free < want-protocol.Epsilon; {
		if len(g.bins) > max(rentAtOnce, len(l.fleetList)) || g.rented >= g.most && len(l.fleetList) > l.likelyFleet() {
			return
		}
		free += g.rent(cheapest).cpus
	}
}

// ask asks the cloud for what is needed. What many calls take is asked for at once, but some
// are left for returns: those are the quick proof that silent machines are gone.
func (g *growth) ask() {
	l := g.l
	f := &l.fleet
	for _, o := range g.order {
		for left := g.need[o.key()]; left > 0; left -= protocol.MaxRent {
			if f.budget.Available(l.controller.now) < 1+returnCalls || !f.budget.Take(l.controller.now, 1) {
				return
			}
			l.rent(o, min(left, protocol.MaxRent))
		}
	}
}

// zoneCount applies a job's rules about zones to tasks that are planned.
type zoneCount struct {
	job   *job // nil without rules
	count map[string]int
}

func zonesOf(j *job) *zoneCount {
	if !j.OneZone && !j.Spread {
		return &zoneCount{count: map[string]int{}}
	}
	return &zoneCount{job: j, count: maps.Clone(j.zones)}
}

func (z *zoneCount) allows(zone string) bool {
	if z.job == nil {
		return true
	}
	if z.job.OneZone {
		for k := range z.count {
			if k != zone {
				return false
			}
		}
	}
	return !z.job.Spread || z.count[zone]+1 <= (z.job.Tasks+1)/2
}

// headroom is the free room wanted beyond what is used.
func (l *leader) headroom(used float64) float64 {
	if l.quickStarts() {
		return l.controller.op.HeadroomShare * used
	}
	return 0
}

// quickStarts reports whether users want work started sooner than a machine
// boots: only then is room kept for what may come.
func (l *leader) quickStarts() bool {
	boot := time.Duration(0)
	for _, t := range l.controller.types {
		if boot == 0 || t.Boot < boot {
			boot = t.Boot
		}
	}
	for i := range l.controller.cfg.Objectives {
		o := &l.controller.cfg.Objectives[i]
		if (o.Kind == "wait" || o.Kind == "guarantee") && o.Within < boot {
			return true
		}
	}
	return false
}
