package coordination

import (
	"math"
	"time"
)

// dearer is how many times the lowest price of a CPU is worth waiting for.
const dearer = 1.6

// thrift decides, in one turn, which work waits for cheap machines that others run on
// instead of having dear ones rented for it.
type thrift struct {
	l       *lead
	waiting float64 // CPUs of what waits already
}

// affordable leaves out offers that cost much more than what a job may use at the
// best, if room on such machines is expected to free for all of it, and all that waits
// before it, while its deadline leaves time to rent the others after all.
func (t *thrift) affordable(offers []offer, j *job, left int) []offer {
	l := t.l
	if !j.HasDeadline || !j.Spot || !l.n.op.Spot {
		return offers
	}
	least, boot := math.Inf(1), time.Duration(0)
	for _, k := range l.n.types {
		if j.AllowsType(k.Name) && k.Fits(j.Job) && k.SpotPrice > 0 {
			least = min(least, k.SpotPrice/k.CPUs)
			boot = max(boot, k.Boot)
		}
	}
	est := max(time.Duration(float64(j.Estimate)*l.biasOf(j.Class)), time.Second)
	slack := j.Deadline - est*3/2 - boot - l.n.now.Round(0).Sub(j.submitted)
	need := float64(left) * j.CPUs
	if slack <= 0 || t.waiting+need > l.cheapUse(j, dearer*least)*slack.Seconds()/est.Seconds() {
		return offers
	}
	t.waiting += need
	var list []offer
	for _, o := range offers {
		if o.price()/o.spec.CPUs <= dearer*least {
			list = append(list, o)
		}
	}
	return list
}

// cheapUse is what tasks that end take of the machines that a job may use at a price.
func (l *lead) cheapUse(j *job, price float64) float64 {
	cpus := 0.0
	for _, m := range l.fleetList {
		if l.open(m) && m.allowed(j.Job) && m.pricePerCPU() <= price {
			cpus += m.cpus - m.services
		}
	}
	return cpus
}
