package coordination

import (
	"fmt"
	"slices"
	"sort"
	"time"

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
		return o.spec.SpotPrice
	}
	return o.spec.Price
}

func (o offer) key() string { return fmt.Sprintf("%s/%s/%t", o.spec.Name, o.zone, o.spot) }

func (o offer) allows(j *protocol.Job) bool {
	return j.AllowsType(o.spec.Name) && o.spec.Fits(j) && (j.Zone == "" || j.Zone == o.zone) && (j.Spot || !o.spot)
}

// offers lists what can be rented now, cheapest per CPU first.
func (l *lead) offers() []offer {
	var list []offer
	for _, t := range l.n.types {
		for _, z := range t.Zones {
			list = append(list, offer{t, z, false})
			if l.n.op.Spot && t.SpotPrice > 0 {
				list = append(list, offer{t, z, true})
			}
		}
	}
	open := list[:0]
	for _, o := range list {
		if !l.n.now.Before(l.fleet.blocked[o.key()]) {
			open = append(open, o)
		}
	}
	sort.Slice(open, func(i, k int) bool {
		a, b := open[i].price()/open[i].spec.CPUs, open[k].price()/open[k].spec.CPUs
		if a != b {
			return a < b
		}
		return open[i].key() < open[k].key()
	})
	return open
}

// bin is room that is coming: a machine that boots or is to be rented.
type bin struct {
	offer           offer
	cpus, gpus, mem float64
}

func (b *bin) take(j *job) bool {
	if !b.offer.allows(j.Job) || j.CPUs > b.cpus+protocol.Epsilon || j.GPUs > b.gpus+protocol.Epsilon || j.MemGB > b.mem+protocol.Epsilon {
		return false
	}
	b.cpus -= j.CPUs
	b.gpus -= j.GPUs
	b.mem -= j.MemGB
	return true
}

func newBin(o offer) *bin {
	return &bin{offer: o, cpus: o.spec.CPUs, gpus: o.spec.GPUs, mem: o.spec.MemGB}
}

// grow rents what the waiting work and the headroom need beyond what boots.
func (l *lead) grow() {
	n, f := l.n, &l.fleet
	if l.phase != active || n.storeDown() || len(n.types) == 0 || !n.now.Before(l.right.validUntil) || f.partly {
		return
	}
	for _, k := range f.renting {
		if k > 0 {
			return // its answer decides what else is needed
		}
	}
	bins := l.coming()
	offers := l.offers()
	need := map[string]int{}
	var order []offer
	rent := func(o offer) *bin {
		if need[o.key()] == 0 {
			order = append(order, o)
		}
		need[o.key()]++
		b := newBin(o)
		bins = append(bins, b)
		return b
	}
	total := 0
	// What a team may still start under its limit, over all its jobs: machines
	// beyond that would stand idle.
	rooms := map[string]*usage{}
	for name, t := range n.teams {
		u := l.teams[name]
		rooms[name] = &usage{t.CPUsMax - u.cpus, t.GPUsMax - u.gpus}
	}
	for _, d := range f.unmet {
		j := d.job
		left := min(d.left, j.toStart())
		room := rooms[j.Team]
		zones := map[string]int{}
		for z, k := range j.zones {
			zones[z] = k
		}
		allows := func(zone string) bool {
			if j.OneZone {
				for z := range zones {
					if z != zone {
						return false
					}
				}
			}
			return !j.Spread || zones[zone]+1 <= (j.Tasks+1)/2
		}
		from, needed := 0, left
		for ; left > 0 && total < rentAtOnce; left-- {
			if room.cpus < j.CPUs-protocol.Epsilon || room.gpus < j.GPUs-protocol.Epsilon {
				break
			}
			room.cpus -= j.CPUs
			room.gpus -= j.GPUs
			placed := false
			for i := from; i < len(bins); i++ {
				if b := bins[i]; allows(b.offer.zone) && b.take(j) {
					zones[b.offer.zone]++
					placed = true
					break
				}
				if i == from && !j.OneZone && !j.Spread {
					from++ // for none of the job's tasks: it may have thousands
				}
			}
			if placed {
				continue
			}
			o, ok := bestOffer(offers, j.Job, left, allows)
			// One that has waited for too long gets a machine to begin on.
			if !ok || l.tooDear(j, o) && !(needed == left && j.overdue(n.now.Round(0))) {
				break
			}
			b := rent(o)
			total++
			b.take(j)
			zones[o.zone]++
		}
	}
	// Room for replicas whose machines are silent. They count under their teams' limits
	// already.
	for _, j := range l.order {
		for left := f.held[j]; left > 0 && total < rentAtOnce; left-- {
			if slices.ContainsFunc(bins, func(b *bin) bool { return b.take(j) }) {
				continue
			}
			o, ok := bestOffer(offers, j.Job, left, func(string) bool { return true })
			if !ok {
				break
			}
			rent(o).take(j)
			total++
		}
	}
	l.growHeadroom(bins, offers, rent)
	// What many calls take is asked for at once, but some are left for returns: those
	// are the quick proof that silent machines are gone.
	for _, o := range order {
		for left := need[o.key()]; left > 0; left -= protocol.MaxRent {
			if f.budget.Available(n.now) < 1+returnCalls || !f.budget.Take(n.now, 1) {
				return
			}
			l.rent(o, min(left, protocol.MaxRent))
		}
	}
}

// guestsPay is how many times the lowest price per CPU, of all that a job may use, is
// paid for work of a team without a guarantee.
const guestsPay = 1.5

// tooDear reports whether a machine isn't rented for a job at the price: teams without
// a guarantee take what is idle, and what is cheap.
func (l *lead) tooDear(j *job, o offer) bool {
	t := l.n.teams[j.Team]
	if t == nil || t.CPUs > 0 || t.GPUs > 0 || j.Priority == protocol.Critical {
		return false
	}
	lowest := 0.0
	for _, t := range l.n.types {
		for _, spot := range []bool{false, l.n.op.Spot && t.SpotPrice > 0 && j.Spot} {
			k := offer{spec: t, spot: spot}
			if p := k.price() / t.CPUs; j.AllowsType(t.Name) && t.Fits(j.Job) && (lowest == 0 || p < lowest) {
				lowest = p
			}
		}
	}
	return o.price()/o.spec.CPUs > guestsPay*lowest
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
		fit := 1e9
		if j.CPUs > 0 {
			fit = min(fit, float64(int(o.spec.CPUs/j.CPUs+protocol.Epsilon)))
		}
		if j.GPUs > 0 {
			fit = min(fit, float64(int(o.spec.GPUs/j.GPUs+protocol.Epsilon)))
		}
		if j.MemGB > 0 {
			fit = min(fit, float64(int(o.spec.MemGB/j.MemGB+protocol.Epsilon)))
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

// growHeadroom rents ahead of the next jobs.
func (l *lead) growHeadroom(bins []*bin, offers []offer, rent func(offer) *bin) {
	used, free := 0.0, 0.0
	for _, m := range l.fleetList {
		if m.spec == nil || !m.up {
			continue
		}
		used += m.cpus
		if l.open(m) {
			free += m.spec.CPUs - m.cpus
		}
	}
	for _, b := range bins {
		free += b.cpus
		used += b.offer.spec.CPUs - b.cpus // by what waits for it
	}
	want := l.headroom(used)
	if len(offers) == 0 {
		return
	}
	for cheapest := offers[0]; free < want-protocol.Epsilon; {
		if len(bins) > max(rentAtOnce, len(l.fleetList)) {
			return
		}
		free += rent(cheapest).cpus
	}
}

// headroom is the free room wanted beyond what is used.
func (l *lead) headroom(used float64) float64 {
	if l.quickStarts() {
		return l.n.op.HeadroomShare * used
	}
	return 0
}

// quickStarts reports whether users want work started sooner than a machine
// boots: only then is room kept for what may come.
func (l *lead) quickStarts() bool {
	boot := time.Duration(0)
	for _, t := range l.n.types {
		if boot == 0 || t.Boot < boot {
			boot = t.Boot
		}
	}
	for i := range l.n.cfg.Objectives {
		o := &l.n.cfg.Objectives[i]
		if (o.Kind == "wait" || o.Kind == "guarantee") && o.Within < boot {
			return true
		}
	}
	return false
}

func (l *lead) rent(o offer, count int) {
	n, f := l.n, &l.fleet
	f.requests++
	// Never used again, by this node or another: terms are unique, and so is
	// the counter within one.
	name := fmt.Sprintf("t%d-%d", l.term, f.requests)
	key := o.key()
	f.renting[key] += count
	n.call(Cloud, "", "POST", protocol.PathHosts, protocol.RentBody(name, o.spec.Name, o.zone, o.spot, count), cloudTimeout, func(out Outcome) {
		if !l.alive() {
			return
		}
		f.renting[key] -= count
		switch {
		case out.Answered && out.Status == 200:
			names, err := protocol.ParseNames(out.Body)
			if err != nil {
				return // what was rented will show in the list
			}
			for _, m := range names {
				if l.machines[m] == nil && l.gone[m].IsZero() {
					l.journal.putMachine(l.newMachine(m, o.spec.Name, o.zone, o.spot))
				}
			}
			n.log.Info("machines rented", "type", o.spec.Name, "zone", o.zone, "spot", o.spot, "asked", count, "got", len(names))
			if len(names) < count {
				f.blocked[key] = n.now.Add(capacityPause)
			}
			l.fleetSoon()
		case out.Answered && out.Status == 503 && protocol.NoCapacity(out.Body):
			if n.now.Sub(f.blocked[key]) > capacityPause { // else it was so the last time, too
				n.log.Info("no capacity", "type", o.spec.Name, "zone", o.zone, "spot", o.spot)
			}
			f.blocked[key] = n.now.Add(capacityPause)
			l.fleetSoon()
		case out.Answered && out.Status == 429:
		default:
			// Maybe carried out; then the machines show in the list.
			f.blocked[key] = n.now.Add(3 * time.Second)
		}
	})
}
