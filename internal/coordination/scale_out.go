package coordination

import (
	"maps"
	"slices"
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// scaleOutPlan is one look at what has to be rented beyond what boots.
type scaleOutPlan struct {
	l        *leader
	offers   []offer
	bins     []*bin // all the room that is coming
	openBins []*bin // of it, what may take more of what waits, in the same order
	fullBins int    // of them, those that by now may not
	// from is where the search for room begins in open, by shape of a task: what is before
	// it takes no more of that shape.
	searchFrom    map[placement.ShapeKey]int
	smallestTask  usage // of a task that waits
	smallestMemGB float64
	countByOffer  map[offerKey]int // machines to be asked for, by offer
	offerOrder    []offer          // those offers
	binsVisited   int              // bins that were looked at, over all jobs
	planned       int              // machines to be asked for
	limit         int              // of them
	quotaLeft     map[string]*usage
}

// mayScaleOut reports whether anything may be rented now.
func (l *leader) mayScaleOut() bool {
	c, f := l.controller, &l.autoscaler
	if l.phase != phaseActive || c.storeDown() || len(c.types) == 0 || !c.now.Before(l.lease.ValidUntil) || f.demandIncomplete {
		return false
	}
	if c.overload.Persistent(c.now) || len(l.fleetList) > l.forecastCapacity() && l.overloadedLately() {
		c.limits.Reached(limits.ServedMachines)
		return false
	}
	for _, k := range f.requested {
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
	// heartbeatCost is about what a report costs a controller, all that comes with it included,
	// on an ordinary core: with 86 microseconds measured (docs/MEASUREMENTS.md).
	heartbeatCost       = 100 * time.Microsecond
	cautiousStepDivisor = 8 // part of the fleet that may boot, as a divisor
	overloadMemory      = 4 * time.Second
)

// forecastCapacity is how many machines are likely to be served in time. Those of shards' owners
// aren't counted more: how many of them serve, and what that costs the leader, shows as the
// fleet grows.
func (l *leader) forecastCapacity() int {
	c := l.controller.cfg
	return int(min(c.CPUShare*float64(c.HeartbeatInterval)/float64(heartbeatCost), 1e9))
}

// overloadedLately reports whether the controllers that serve the fleet have been late by now: this
// one, or the owner of a shard.
func (l *leader) overloadedLately() bool {
	c := l.controller
	if c.overload.Within(c.now, overloadMemory) {
		return true
	}
	return l.shards != nil && l.shards.ownerOverloaded()
}

// machineLimit is how many machines may be rented in one turn.
func (p *scaleOutPlan) machineLimit() int {
	l := p.l
	fleet := len(l.fleetList)
	step := max(protocol.MaxProvision, fleet/cautiousStepDivisor) - len(p.bins)
	return max(0, min(maxPlannedMachines, max(l.forecastCapacity()-fleet, step)))
}

// scaleOut rents what the waiting work and the headroom need beyond what boots.
func (l *leader) scaleOut() {
	if !l.mayScaleOut() {
		return
	}
	g := l.newScaleOutPlan()
	g.limit = g.machineLimit()
	for _, d := range l.autoscaler.unmetDemand {
		if g.planned >= g.limit {
			break
		}
		g.planDemand(d)
	}
	g.planDisplaced()
	g.planHeadroom()
	g.request()
}

func (l *leader) newScaleOutPlan() *scaleOutPlan {
	g := &scaleOutPlan{l: l, offers: l.offers(), bins: l.bootingBins(), searchFrom: map[placement.ShapeKey]int{}, countByOffer: map[offerKey]int{}, quotaLeft: map[string]*usage{}}
	g.openBins = slices.Clone(g.bins)
	for i, d := range l.autoscaler.unmetDemand {
		if i == 0 {
			g.smallestTask, g.smallestMemGB = usage{d.job.CPUs, d.job.GPUs}, d.job.MemoryGB
		}
		g.smallestTask.cpus, g.smallestMemGB = min(g.smallestTask.cpus, d.job.CPUs), min(g.smallestMemGB, d.job.MemoryGB)
	}
	// What a team may still start under its limit, over all its jobs: machines
	// beyond that would stand idle.
	for name, t := range l.controller.teams {
		u := l.teamUsage[name]
		g.quotaLeft[name] = &usage{t.CPUsMax - u.cpus, t.GPUsMax - u.gpus}
	}
	return g
}

// planDemand finds room for a job's tasks in what is coming, and rents what they need beyond it.
func (p *scaleOutPlan) planDemand(d demand) {
	l, j := p.l, d.job
	wanted := min(d.tasks, j.pendingTasks())
	left := min(wanted, p.tasksWithinQuota(j))
	zones := newZonePlan(j)
	room := p.quotaLeft[j.Team]
	put := func(count int) {
		left -= count
		room.cpus -= float64(count) * j.CPUs
		room.gpus -= float64(count) * j.GPUs
	}
	put(p.fillBins(j, zones, left))
	for left > 0 && p.planned < p.limit {
		o, ok := bestOffer(p.offers, j.Job, left, zones.allows)
		// One that has waited for too long gets a machine to begin on.
		if !ok || l.overpriced(j, o) && !(left == wanted && j.standing(l.controller.now.Round(0)).Starving()) {
			return
		}
		count := p.pack(p.addMachine(o), j, zones, left)
		if count == 0 {
			return // a machine of the best offer should take one at least
		}
		put(count)
	}
}

// tasksWithinQuota is how many tasks of a job its team's limit still lets start.
func (p *scaleOutPlan) tasksWithinQuota(j *job) int {
	room, most := p.quotaLeft[j.Team], float64(j.Tasks)
	if j.CPUs > 0 {
		most = min(most, (room.cpus+protocol.Epsilon)/j.CPUs)
	}
	if j.GPUs > 0 {
		most = min(most, (room.gpus+protocol.Epsilon)/j.GPUs)
	}
	return max(0, int(most))
}

// fillBins puts tasks of a job into room that is coming, and returns how many found some.
func (p *scaleOutPlan) fillBins(j *job, zones *zonePlan, most int) int {
	key := shapeKeyOf(j)
	i, found := p.searchFrom[key], 0
	for ; i < len(p.openBins) && found < most; i++ {
		p.binsVisited++
		found += p.pack(p.openBins[i], j, zones, most-found)
	}
	if !j.OneZone && !j.Spread {
		if found == most && i > 0 {
			i-- // the last one may take more
		}
		p.searchFrom[key] = max(p.searchFrom[key], i)
	}
	p.dropFullBins()
	return found
}

// pack puts up to a number of a job's tasks into a bin, and returns how many it took.
func (p *scaleOutPlan) pack(b *bin, j *job, zones *zonePlan, most int) int {
	count := 0
	for count < most && zones.allows(b.offer.zone) && b.take(j) {
		zones.count[b.offer.zone]++
		count++
	}
	if count > 0 && (b.cpus < p.smallestTask.cpus-protocol.Epsilon || b.mem < p.smallestMemGB-protocol.Epsilon) {
		p.fullBins++
	}
	return count
}

// dropFullBins takes bins that are full out of those that are looked at, once they are most of
// them: thousands of jobs would otherwise look at thousands of full ones each.
func (p *scaleOutPlan) dropFullBins() {
	if p.fullBins*2 <= len(p.openBins) {
		return
	}
	p.openBins = slices.DeleteFunc(p.openBins, func(b *bin) bool {
		return b.cpus < p.smallestTask.cpus-protocol.Epsilon || b.mem < p.smallestMemGB-protocol.Epsilon
	})
	p.fullBins = 0
	clear(p.searchFrom)
}

// addMachine wants one more machine.
func (p *scaleOutPlan) addMachine(o offer) *bin {
	key := o.key()
	if p.countByOffer[key] == 0 {
		p.offerOrder = append(p.offerOrder, o)
	}
	p.countByOffer[key]++
	p.planned++
	b := newBin(o)
	p.bins = append(p.bins, b)
	p.openBins = append(p.openBins, b)
	return b
}

// planDisplaced finds room for replicas whose machines are silent. They count under their teams'
// limits already.
func (p *scaleOutPlan) planDisplaced() {
	held := p.l.autoscaler.displacedReplicas
	if len(held) == 0 {
		return
	}
	for _, j := range p.l.jobsByAge {
		free := &zonePlan{count: map[string]int{}}
		for left := held[j]; left > 0 && p.planned < p.limit; left-- {
			if p.fillBins(j, free, 1) > 0 {
				continue
			}
			o, ok := bestOffer(p.offers, j.Job, left, free.allows)
			if !ok {
				break
			}
			p.addMachine(o).take(j)
		}
	}
}

// planHeadroom rents ahead of the next jobs.
func (p *scaleOutPlan) planHeadroom() {
	l := p.l
	used, free := 0.0, 0.0
	for _, m := range l.fleetList {
		if m.Spec == nil || !m.session.Registered {
			continue
		}
		used += m.Allocated.CPUs
		if l.acceptsTasks(m) {
			free += m.Spec.CPUs - m.Allocated.CPUs
		}
	}
	for _, b := range p.bins {
		free += b.cpus
		used += b.offer.spec.CPUs - b.cpus // by what waits for it
	}
	want := l.headroomFor(used)
	if len(p.offers) == 0 {
		return
	}
	for cheapest := p.offers[0]; free < want-protocol.Epsilon; {
		if len(p.bins) > max(maxPlannedMachines, len(l.fleetList)) || p.planned >= p.limit && len(l.fleetList) > l.forecastCapacity() {
			return
		}
		free += p.addMachine(cheapest).cpus
	}
}

// request asks the cloud for what is needed. What many calls take is asked for at once, but some
// are left for returns: those are the quick proof that silent machines are gone.
func (p *scaleOutPlan) request() {
	l := p.l
	f := &l.autoscaler
	for _, o := range p.offerOrder {
		for left := p.countByOffer[o.key()]; left > 0; left -= protocol.MaxProvision {
			if f.callBudget.Available(l.controller.now) < 1+reservedReleaseCalls || !f.callBudget.Take(l.controller.now, 1) {
				return
			}
			l.requestMachines(o, min(left, protocol.MaxProvision))
		}
	}
}

// zonePlan applies a job's rules about zones to tasks that are planned.
type zonePlan struct {
	job   *job // nil without rules
	count map[string]int
}

func newZonePlan(j *job) *zonePlan {
	if !j.OneZone && !j.Spread {
		return &zonePlan{count: map[string]int{}}
	}
	return &zonePlan{job: j, count: maps.Clone(j.zones)}
}

func (z *zonePlan) allows(zone string) bool {
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

// headroomFor is the free room wanted beyond what is used.
func (l *leader) headroomFor(used float64) float64 {
	if l.needsHeadroom() {
		return l.controller.op.HeadroomShare * used
	}
	return 0
}

// needsHeadroom reports whether users want work started sooner than a machine
// boots: only then is room kept for what may come.
func (l *leader) needsHeadroom() bool {
	boot := time.Duration(0)
	for _, t := range l.controller.types {
		if boot == 0 || t.BootTime < boot {
			boot = t.BootTime
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
