package autoscaler

import (
	"cmp"
	"slices"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// Offer is one kind of machine that can be provisioned.
type Offer struct {
	Spec *protocol.MachineType
	Zone string
	Spot bool // cheaper, but the cloud may preempt it at any time
}

// OfferKey identifies an offer independently of its price.
type OfferKey struct {
	Type, Zone string
	Spot       bool
}

// Key returns the key of the offer.
func (o Offer) Key() OfferKey { return OfferKey{o.Spec.Name, o.Zone, o.Spot} }

// Price returns the price per machine and hour.
func (o Offer) Price() float64 {
	if o.Spot {
		return o.Spec.SpotPricePerHour
	}
	return o.Spec.PricePerHour
}

// PricePerCPU returns the price of a machine per hour, divided by its CPUs.
func (o Offer) PricePerCPU() float64 { return o.Price() / o.Spec.CPUs }

// Allows reports whether a job's tasks may run on a machine of the offer and fit on it.
func (o Offer) Allows(j *protocol.Job) bool {
	return j.AllowsType(o.Spec.Name) && o.Spec.Fits(j) && (j.Zone == "" || j.Zone == o.Zone) && (j.AllowSpot || !o.Spot)
}

// tasksPerMachine returns how many tasks of a job an empty machine of the offer holds. Their statuses
// must also fit into one heartbeat.
func (o Offer) tasksPerMachine(j *protocol.Job) float64 {
	fit := float64(placement.MaxTaskHeartbeatBytes / protocol.MaxTaskStatusBytes(j.ID))
	if j.CPUs > 0 {
		fit = min(fit, float64(int(o.Spec.CPUs/j.CPUs+protocol.Epsilon)))
	}
	if j.GPUs > 0 {
		fit = min(fit, float64(int(o.Spec.GPUs/j.GPUs+protocol.Epsilon)))
	}
	if j.MemoryGB > 0 {
		fit = min(fit, float64(int(o.Spec.MemoryGB/j.MemoryGB+protocol.Epsilon)))
	}
	return fit
}

func (k OfferKey) compare(o OfferKey) int {
	return cmp.Or(cmp.Compare(k.Type, o.Type), cmp.Compare(k.Zone, o.Zone), cmp.Compare(k.spotRank(), o.spotRank()))
}

// spotRank orders on-demand machines before spot machines.
func (k OfferKey) spotRank() int {
	if k.Spot {
		return 1
	}
	return 0
}

// Catalog is the cloud's machine types.
type Catalog struct {
	Types map[string]*protocol.MachineType
	Spot  bool // spot machines may be provisioned
}

// Offers returns the available offers, cheapest per CPU first.
func (c Catalog) Offers(available func(OfferKey) bool) []Offer {
	var list []Offer
	add := func(o Offer) {
		if available(o.Key()) {
			list = append(list, o)
		}
	}
	for _, t := range c.Types {
		for _, zone := range t.Zones {
			add(Offer{t, zone, false})
			if c.Spot && t.SpotPricePerHour > 0 {
				add(Offer{t, zone, true})
			}
		}
	}
	slices.SortFunc(list, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.PricePerCPU(), b.PricePerCPU()), a.Key().compare(b.Key()))
	})
	return list
}

// opportunisticPriceFactor is the highest price per CPU to pay for an opportunistic job, as a
// multiple of the lowest price per CPU among the machines that the job may use.
const opportunisticPriceFactor = 1.5

// TooExpensive reports whether an offer costs too much for an opportunistic job, that is, one that
// isn't critical, of a team without a guarantee. Such a job gets only idle and cheap capacity. The
// offer is compared with the cheapest machine that the job may use, in any zone and also if that one
// isn't available now.
func (c Catalog) TooExpensive(j *protocol.Job, o Offer) bool {
	lowest := 0.0
	for _, t := range c.Types {
		for _, spot := range []bool{false, c.Spot && t.SpotPricePerHour > 0 && j.AllowSpot} {
			price := Offer{Spec: t, Spot: spot}.PricePerCPU()
			if j.AllowsType(t.Name) && t.Fits(j) && (lowest == 0 || price < lowest) {
				lowest = price
			}
		}
	}
	return o.PricePerCPU() > opportunisticPriceFactor*lowest
}

// BestOffer returns the offer with the lowest price per task, for the given number of a job's tasks.
// The price of a machine is divided by the number of tasks that it holds, but by no more than tasks,
// or than two if tasks is less. Among offers with the same price per task the first is chosen. found is
// false if no offer is suitable.
func BestOffer(offers []Offer, j *protocol.Job, tasks int, zoneAllowed func(zone string) bool) (best Offer, found bool) {
	bestCost := 0.0
	for _, o := range offers {
		if !o.Allows(j) || !zoneAllowed(o.Zone) {
			continue
		}
		fit := o.tasksPerMachine(j)
		if fit < 1 {
			continue
		}
		if cost := o.Price() / min(fit, float64(max(tasks, 2))); !found || cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	}
	return best, found
}
