package coordination

import (
	"cmp"
	"sort"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// offer is one kind of machine that can be rented.
type offer struct {
	spec *protocol.MachineType
	zone string
	spot bool
}

func (o offer) price() float64 {
	if o.spot {
		return o.spec.SpotPricePerHour
	}
	return o.spec.PricePerHour
}

// offerKey names an offer, whatever its price is now.
type offerKey struct {
	typ, zone string
	spot      bool
}

func (o offer) key() offerKey { return offerKey{o.spec.Name, o.zone, o.spot} }

func (k offerKey) compare(o offerKey) int {
	return cmp.Or(cmp.Compare(k.typ, o.typ), cmp.Compare(k.zone, o.zone), compareBool(k.spot, o.spot))
}

// compareBool has false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (o offer) allows(j *protocol.Job) bool {
	return j.AllowsType(o.spec.Name) && o.spec.Fits(j) && (j.Zone == "" || j.Zone == o.zone) && (j.AllowSpot || !o.spot)
}

// offers lists what can be rented now, cheapest per CPU first.
func (l *leader) offers() []offer {
	var list []offer
	for _, t := range l.controller.types {
		for _, z := range t.Zones {
			list = append(list, offer{t, z, false})
			if l.controller.op.Spot && t.SpotPricePerHour > 0 {
				list = append(list, offer{t, z, true})
			}
		}
	}
	open := list[:0]
	for _, o := range list {
		if !l.controller.now.Before(l.autoscaler.unavailableUntil[o.key()]) {
			open = append(open, o)
		}
	}
	sort.Slice(open, func(i, k int) bool {
		a, b := open[i].price()/open[i].spec.CPUs, open[k].price()/open[k].spec.CPUs
		if a != b {
			return a < b
		}
		return open[i].key().compare(open[k].key()) < 0
	})
	return open
}

// bin is room that is coming: a machine that boots or is to be rented.
type bin struct {
	offer           offer
	cpus, gpus, mem float64
	reportBytes     int // of a report that names the tasks in it
}

func (b *bin) take(j *job) bool {
	if !b.offer.allows(j.Job) || j.CPUs > b.cpus+protocol.Epsilon || j.GPUs > b.gpus+protocol.Epsilon || j.MemoryGB > b.mem+protocol.Epsilon ||
		b.reportBytes+protocol.TaskStatusBytes(j.ID) > placement.MaxTaskReportBytes {
		return false
	}
	b.reportBytes += protocol.TaskStatusBytes(j.ID)
	b.cpus -= j.CPUs
	b.gpus -= j.GPUs
	b.mem -= j.MemoryGB
	return true
}

func newBin(o offer) *bin {
	return &bin{offer: o, cpus: o.spec.CPUs, gpus: o.spec.GPUs, mem: o.spec.MemoryGB}
}

// opportunisticPriceFactor is how many times the lowest price per CPU, of all that a job may use, is
// paid for work of a team without a guarantee.
const opportunisticPriceFactor = 1.5

// overpriced reports whether a machine isn't rented for a job at the price: teams without
// a guarantee take what is idle, and what is cheap.
func (l *leader) overpriced(j *job, o offer) bool {
	t := l.controller.teams[j.Team]
	if t == nil || t.CPUs > 0 || t.GPUs > 0 || j.Priority == protocol.Critical {
		return false
	}
	lowest := 0.0
	for _, t := range l.controller.types {
		for _, spot := range []bool{false, l.controller.op.Spot && t.SpotPricePerHour > 0 && j.AllowSpot} {
			k := offer{spec: t, spot: spot}
			if p := k.price() / t.CPUs; j.AllowsType(t.Name) && t.Fits(j.Job) && (lowest == 0 || p < lowest) {
				lowest = p
			}
		}
	}
	return o.price()/o.spec.CPUs > opportunisticPriceFactor*lowest
}

// bestOffer is the cheapest way to run tasks of a job, by the price of the
// share of a machine that they use; a machine much too large for what is left
// counts in full.
func bestOffer(offers []offer, j *protocol.Job, left int, allows func(zone string) bool) (offer, bool) {
	var best offer
	found, bestCost := false, 0.0
	for _, o := range offers {
		if !o.allows(j) || !allows(o.zone) {
			continue
		}
		fit := float64(placement.MaxTaskReportBytes / protocol.TaskStatusBytes(j.ID))
		if j.CPUs > 0 {
			fit = min(fit, float64(int(o.spec.CPUs/j.CPUs+protocol.Epsilon)))
		}
		if j.GPUs > 0 {
			fit = min(fit, float64(int(o.spec.GPUs/j.GPUs+protocol.Epsilon)))
		}
		if j.MemoryGB > 0 {
			fit = min(fit, float64(int(o.spec.MemoryGB/j.MemoryGB+protocol.Epsilon)))
		}
		if fit < 1 {
			continue
		}
		cost := o.price() / min(fit, float64(max(left, 2)))
		if !found || cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	}
	return best, found
}
