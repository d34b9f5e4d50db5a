package autoscaler

import (
	"slices"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// Quota is what a team may still start under its limit, over all its jobs.
type Quota struct{ CPUs, GPUs float64 }

// Demand is tasks of a job that wait for a machine.
type Demand struct {
	Job   *protocol.Job
	Shape placement.ShapeKey // of a task
	Zones map[string]int     // of the job's live tasks
	Tasks int
	// TooExpensive reports whether an offer costs too much for the job, and Starving whether
	// it has waited for so long that it gets a machine to begin on all the same.
	TooExpensive func(Offer) bool
	Starving     func() bool
}

// Request is machines of one offer to be asked for.
type Request struct {
	Offer Offer
	Count int
}

// Plan is the machines to be rented beyond those that boot.
type Plan struct {
	// Limit is how many machines may be planned for demand.
	Limit int
	// BinsVisited counts the bins that were looked at, over all jobs.
	BinsVisited int

	offers   []Offer
	bins     []*Bin // all the room that is coming
	openBins []*Bin // of it, what may take more of what waits, in the same order
	fullBins int    // of them, those that by now may not
	// searchFrom is where the search for room begins in openBins, by shape of a task: what is
	// before it takes no more of that shape.
	searchFrom   map[placement.ShapeKey]int
	smallest     placement.Resources // of a task that waits, each by itself
	expectsAny   bool
	countByOffer map[OfferKey]int
	offerOrder   []Offer
	planned      int
	quotas       map[string]*Quota // by team
}

// NewPlan begins a plan with offers, cheapest per CPU first, the machines that boot, and the
// teams' quotas, which it uses up.
func NewPlan(offers []Offer, booting []*Bin, quotas map[string]*Quota) *Plan {
	return &Plan{offers: offers, bins: booting, openBins: slices.Clone(booting), searchFrom: map[placement.ShapeKey]int{},
		countByOffer: map[OfferKey]int{}, quotas: quotas}
}

// Expect announces a job before demand is planned: bins too small for all that is expected
// aren't searched.
func (p *Plan) Expect(j *protocol.Job) {
	if !p.expectsAny {
		p.expectsAny = true
		p.smallest = placement.Resources{CPUs: j.CPUs, MemGB: j.MemoryGB}
	}
	p.smallest.CPUs, p.smallest.MemGB = min(p.smallest.CPUs, j.CPUs), min(p.smallest.MemGB, j.MemoryGB)
}

// Full reports whether as many machines are planned as may be.
func (p *Plan) Full() bool { return p.planned >= p.Limit }

// Booting is how many machines boot or are planned.
func (p *Plan) Booting() int { return len(p.bins) }

// AddDemand finds room for a job's tasks in what is coming, and plans what they need beyond it.
func (p *Plan) AddDemand(d Demand) {
	left := min(d.Tasks, p.tasksWithinQuota(d.Job))
	zones := newZoneConstraint(d.Job, d.Zones)
	quota := p.quotas[d.Job.Team]
	use := func(count int) {
		left -= count
		quota.CPUs -= float64(count) * d.Job.CPUs
		quota.GPUs -= float64(count) * d.Job.GPUs
	}
	use(p.fillBins(d.Job, d.Shape, zones, left))
	for left > 0 && !p.Full() {
		offer, ok := BestOffer(p.offers, d.Job, left, zones.allows)
		if !ok || d.TooExpensive(offer) && (left != d.Tasks || !d.Starving()) {
			return
		}
		count := p.pack(p.addMachine(offer), d.Job, zones, left)
		if count == 0 {
			return // a machine of the best offer should take one at least
		}
		use(count)
	}
}

// AddDisplaced finds room for replicas whose machines don't respond. They count under their
// teams' limits already, and may go to any zone.
func (p *Plan) AddDisplaced(j *protocol.Job, shape placement.ShapeKey, replicas int) {
	zones := anyZone()
	for left := replicas; left > 0 && !p.Full(); left-- {
		if p.fillBins(j, shape, zones, 1) > 0 {
			continue
		}
		offer, ok := BestOffer(p.offers, j, left, zones.allows)
		if !ok {
			return
		}
		p.addMachine(offer).place(j)
	}
}

// CountCapacity adds what the machines that boot or are planned have free, and what is taken of
// them by what waits, in CPUs.
func (p *Plan) CountCapacity(free, taken float64) (allFree, allTaken float64) {
	for _, b := range p.bins {
		free += b.cpus
		taken += b.Offer.Spec.CPUs - b.cpus
	}
	return free, taken
}

// AddCheapest plans one more machine of the cheapest offer for tasks to come, and returns its
// CPUs; false if there is no offer.
func (p *Plan) AddCheapest() (cpus float64, ok bool) {
	if len(p.offers) == 0 {
		return 0, false
	}
	return p.addMachine(p.offers[0]).cpus, true
}

// Requests are the machines to be asked for, in the order in which they were planned first.
func (p *Plan) Requests() []Request {
	var list []Request
	for _, o := range p.offerOrder {
		list = append(list, Request{o, p.countByOffer[o.Key()]})
	}
	return list
}

// tasksWithinQuota is how many tasks of a job its team's limit still lets start.
func (p *Plan) tasksWithinQuota(j *protocol.Job) int {
	quota, most := p.quotas[j.Team], float64(j.Tasks)
	if j.CPUs > 0 {
		most = min(most, (quota.CPUs+protocol.Epsilon)/j.CPUs)
	}
	if j.GPUs > 0 {
		most = min(most, (quota.GPUs+protocol.Epsilon)/j.GPUs)
	}
	return max(0, int(most))
}

// fillBins puts tasks of a job into room that is coming, and returns how many found some.
func (p *Plan) fillBins(j *protocol.Job, shape placement.ShapeKey, zones *zoneConstraint, most int) int {
	i, found := p.searchFrom[shape], 0
	for ; i < len(p.openBins) && found < most; i++ {
		p.BinsVisited++
		found += p.pack(p.openBins[i], j, zones, most-found)
	}
	if !j.OneZone && !j.Spread {
		if found == most && i > 0 {
			i-- // the last one may take more
		}
		p.searchFrom[shape] = max(p.searchFrom[shape], i)
	}
	p.dropFullBins()
	return found
}

// pack puts up to a number of a job's tasks into a bin, and returns how many it took.
func (p *Plan) pack(b *Bin, j *protocol.Job, zones *zoneConstraint, most int) int {
	count := 0
	for count < most && zones.allows(b.Offer.Zone) && b.place(j) {
		zones.tasksByZone[b.Offer.Zone]++
		count++
	}
	if count > 0 && p.tooSmall(b) {
		p.fullBins++
	}
	return count
}

// tooSmall reports whether a bin takes none of the tasks that wait any more.
func (p *Plan) tooSmall(b *Bin) bool {
	return b.cpus < p.smallest.CPUs-protocol.Epsilon || b.memoryGB < p.smallest.MemGB-protocol.Epsilon
}

// dropFullBins takes bins that are full out of those that are looked at, once they are most
// of them: thousands of jobs would otherwise look at thousands of full ones each.
func (p *Plan) dropFullBins() {
	if p.fullBins*2 <= len(p.openBins) {
		return
	}
	p.openBins = slices.DeleteFunc(p.openBins, p.tooSmall)
	p.fullBins = 0
	clear(p.searchFrom)
}

// addMachine plans one more machine.
func (p *Plan) addMachine(o Offer) *Bin {
	key := o.Key()
	if p.countByOffer[key] == 0 {
		p.offerOrder = append(p.offerOrder, o)
	}
	p.countByOffer[key]++
	p.planned++
	b := NewBin(o)
	p.bins = append(p.bins, b)
	p.openBins = append(p.openBins, b)
	return b
}
