package autoscaler

import (
	"slices"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// UnusedLimit is the part of a team's limit that isn't used yet, over all its jobs.
type UnusedLimit struct{ CPUs, GPUs float64 }

// Demand is a number of a job's tasks that wait for a machine.
type Demand struct {
	Job   *protocol.Job
	Shape placement.ShapeKey // of a task
	Zones map[string]int     // number of the job's live attempts in each zone
	Tasks int
	// TooExpensive reports whether an offer costs too much for the job, and Starving whether
	// the job has waited for so long that it gets a single machine in spite of the price, if the
	// team's limit allows all of its waiting tasks and none of them finds capacity otherwise.
	TooExpensive func(Offer) bool
	Starving     func() bool
}

// Request is the number of machines to request of one offer.
type Request struct {
	Offer Offer
	Count int
}

// Plan is the machines to provision in addition to the booting ones.
type Plan struct {
	// Limit is how many machines may be planned for pending tasks and displaced replicas.
	// AddCheapest may exceed it.
	Limit int
	// BinsVisited counts the bins that were searched, over all jobs.
	BinsVisited int

	offers   []Offer
	bins     []*Bin // all booting and planned machines
	openBins []*Bin // bins without the full ones that dropFullBins removed, in the same order
	fullBins int    // number of openBins that have become full: too small for any expected job
	// searchFrom is the index in openBins where the search for capacity starts, by task shape.
	// The bins before it can't hold another task of that shape.
	searchFrom   map[placement.ShapeKey]int
	minNeeds     placement.Resources     // minimum of CPUs and of memory over the expected jobs; GPUs aren't compared
	expectsAny   bool                    // minNeeds is set
	countByOffer map[OfferKey]int        // planned machines
	offerOrder   []Offer                 // the offers in countByOffer, in the order in which they were first planned
	planned      int                     // planned machines, without the booting ones
	unusedLimits map[string]*UnusedLimit // by team
}

// NewPlan returns an empty plan. offers are ordered by price per CPU, lowest first. unusedLimits are
// the unused parts of the teams' limits; the plan reduces them by the tasks that it assigns.
func NewPlan(offers []Offer, booting []*Bin, unusedLimits map[string]*UnusedLimit) *Plan {
	return &Plan{offers: offers, bins: booting, openBins: slices.Clone(booting), searchFrom: map[placement.ShapeKey]int{},
		countByOffer: map[OfferKey]int{}, unusedLimits: unusedLimits}
}

// Expect announces a job before its demand is added. A bin that has become too small for all expected
// jobs counts as full, and is no longer searched once dropFullBins has removed it.
func (p *Plan) Expect(j *protocol.Job) {
	if !p.expectsAny {
		p.expectsAny = true
		p.minNeeds = placement.Resources{CPUs: j.CPUs, MemGB: j.MemoryGB}
	}
	p.minNeeds.CPUs, p.minNeeds.MemGB = min(p.minNeeds.CPUs, j.CPUs), min(p.minNeeds.MemGB, j.MemoryGB)
}

// Full reports whether as many machines are planned as Limit allows.
func (p *Plan) Full() bool { return p.planned >= p.Limit }

// BootingOrPlanned returns the number of booting and planned machines.
func (p *Plan) BootingOrPlanned() int { return len(p.bins) }

// AddDemand assigns a job's tasks to booting and planned machines, and plans the further machines
// that they need, within the team's limit and the limit of machines.
func (p *Plan) AddDemand(d Demand) {
	left := min(d.Tasks, p.tasksWithinTeamLimit(d.Job))
	zones := newZoneConstraint(d.Job, d.Zones)
	unused := p.unusedLimits[d.Job.Team]
	use := func(count int) {
		left -= count
		unused.CPUs -= float64(count) * d.Job.CPUs
		unused.GPUs -= float64(count) * d.Job.GPUs
	}
	use(p.fillBins(d.Job, d.Shape, zones, left))
	for left > 0 && !p.Full() {
		offer, ok := BestOffer(p.offers, d.Job, left, zones.allows)
		// An offer that is too expensive is used only for a starving job. left == d.Tasks if the
		// team's limit allows all waiting tasks and none has been assigned, so the job gets one
		// such machine at most.
		if !ok || d.TooExpensive(offer) && (left != d.Tasks || !d.Starving()) {
			return
		}
		count := p.pack(p.addMachine(offer), d.Job, zones, left)
		if count == 0 {
			return // unexpected: a machine of the best offer holds at least one task
		}
		use(count)
	}
}

// AddDisplaced plans capacity for replicas on unresponsive machines. The teams' usage already includes
// them, so the unused limits don't matter, and the zone constraints OneZone and Spread aren't applied.
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

// CountCapacity adds the CPUs of the booting and planned machines to the given numbers of CPUs: those
// that aren't assigned to tasks to free, the others to taken. It returns the sums.
func (p *Plan) CountCapacity(free, taken float64) (allFree, allTaken float64) {
	for _, b := range p.bins {
		free += b.cpus
		taken += b.Offer.Spec.CPUs - b.cpus
	}
	return free, taken
}

// AddCheapest plans one more machine for future tasks, of the offer with the lowest price per CPU, and
// returns its CPUs; ok is false if there is no offer.
func (p *Plan) AddCheapest() (cpus float64, ok bool) {
	if len(p.offers) == 0 {
		return 0, false
	}
	return p.addMachine(p.offers[0]).cpus, true
}

// Requests returns the machines to request, ordered by when each offer was first planned.
func (p *Plan) Requests() []Request {
	var list []Request
	for _, o := range p.offerOrder {
		list = append(list, Request{o, p.countByOffer[o.Key()]})
	}
	return list
}

// tasksWithinTeamLimit returns how many tasks of a job its team's limit still allows to start.
func (p *Plan) tasksWithinTeamLimit(j *protocol.Job) int {
	unused, limit := p.unusedLimits[j.Team], float64(j.Tasks)
	if j.CPUs > 0 {
		limit = min(limit, (unused.CPUs+protocol.Epsilon)/j.CPUs)
	}
	if j.GPUs > 0 {
		limit = min(limit, (unused.GPUs+protocol.Epsilon)/j.GPUs)
	}
	return max(0, int(limit))
}

// fillBins assigns up to limit tasks of a job to booting and already planned machines, and returns
// how many it assigned.
func (p *Plan) fillBins(j *protocol.Job, shape placement.ShapeKey, zones *zoneConstraint, limit int) int {
	i, found := p.searchFrom[shape], 0
	for ; i < len(p.openBins) && found < limit; i++ {
		p.BinsVisited++
		found += p.pack(p.openBins[i], j, zones, limit-found)
	}
	if !j.OneZone && !j.Spread { // a zone constraint may have passed over bins that have room
		if found == limit && i > 0 {
			i-- // the bin that took the last task may hold further ones
		}
		p.searchFrom[shape] = max(p.searchFrom[shape], i)
	}
	p.dropFullBins()
	return found
}

// pack puts up to limit tasks of a job into a bin, and returns how many tasks fit.
func (p *Plan) pack(b *Bin, j *protocol.Job, zones *zoneConstraint, limit int) int {
	count := 0
	for count < limit && zones.allows(b.Offer.Zone) && b.place(j) {
		zones.tasksByZone[b.Offer.Zone]++
		count++
	}
	if count > 0 && p.tooSmall(b) {
		p.fullBins++
	}
	return count
}

// tooSmall reports whether a bin can't hold another task of any expected job.
func (p *Plan) tooSmall(b *Bin) bool {
	return b.cpus < p.minNeeds.CPUs-protocol.Epsilon || b.memoryGB < p.minNeeds.MemGB-protocol.Epsilon
}

// dropFullBins removes the full bins from openBins once they are the majority. If they remained,
// thousands of jobs would each search thousands of full bins.
func (p *Plan) dropFullBins() {
	if p.fullBins*2 <= len(p.openBins) {
		return
	}
	p.openBins = slices.DeleteFunc(p.openBins, p.tooSmall)
	p.fullBins = 0
	clear(p.searchFrom)
}

// addMachine plans one more machine of an offer and returns its bin.
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
