package coordination

import (
	"fmt"
	"sort"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// Times of the fleet's dealings with the cloud.
const (
	cloudTimeout   = 4 * time.Second
	capacityPause  = 15 * time.Second // after "no capacity"
	typesInterval  = 45 * time.Second
	minimumCharge  = 60 * time.Second
	releaseRetry   = time.Second
	bootPatience   = 4 // times the usual boot time
	bootPatienceAt = 20 * time.Second
	movePause      = 10 * time.Second
)

// demand is work without a machine.
type demand struct {
	job  *job
	left int
}

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

// fleet rents and returns machines.
type fleet struct {
	budget    *bookkeeping.Budget
	unmet     []demand
	asked     bool
	requests  uint64
	blocked   map[string]time.Time // offers without capacity
	renting   map[string]int       // machines asked for, by offer
	releasing bool
	listing   bool
	listedAt  time.Time
	typesAt   time.Time
	movedAt   time.Time
	loggedAt  time.Time
	fixedNeed float64 // CPUs of the largest job seen that may not use spot machines
}

func (f *fleet) init(l *lead) {
	rps := l.n.cfg.CloudRPS
	f.budget = bookkeeping.NewBudget(rps*0.9, rps*1.5, l.n.now)
	f.blocked, f.renting = map[string]time.Time{}, map[string]int{}
}

// fleetSoon wants the fleet looked at before its next turn.
func (l *lead) fleetSoon() {
	if l.fleet.asked {
		return
	}
	l.fleet.asked = true
	l.n.after(100*time.Millisecond, func() {
		l.fleet.asked = false
		if l.alive() {
			l.grow()
		}
	})
}

// fleetStep is the fleet's regular turn.
func (l *lead) fleetStep() {
	n, f := l.n, &l.fleet
	for name, at := range l.gone {
		if n.now.Sub(at) > 5*time.Minute {
			delete(l.gone, name)
		}
	}
	if l.phase == loading {
		return
	}
	if n.now.Sub(f.typesAt) > typesInterval && f.budget.Take(n.now, 1) {
		f.typesAt = n.now
		n.fetchTypes(func(ok bool) {
			if ok && l.alive() {
				for _, m := range l.fleetList {
					m.spec = n.types[m.typ]
				}
				l.saveTypes()
			}
		})
	}
	l.listMachines()
	if l.phase != active {
		return
	}
	l.choosePlace()
	if !l.alive() {
		return
	}
	l.place()
	l.grow()
	l.shrink()
	l.consolidate()
	l.sendReleases()
	l.logFleet()
}

// logFleet tells now and then what the machines are used for.
func (l *lead) logFleet() {
	n, f := l.n, &l.fleet
	if n.now.Sub(f.loggedAt) < 5*time.Second {
		return
	}
	f.loggedAt = n.now
	type use struct{ machines, emptying, pinned, cpus, services, used float64 }
	var spot, fixed use
	for _, m := range l.fleetList {
		if !m.up || m.spec == nil {
			continue
		}
		u := &fixed
		if m.spot {
			u = &spot
		}
		u.machines++
		u.cpus += m.spec.CPUs
		u.used += m.cpus
		u.services += m.services
		if m.emptying {
			u.emptying++
		}
		if m.services > 0 {
			u.pinned++
		}
	}
	n.log.Debug("fleet", "machines", len(l.fleetList), "spot", fmt.Sprintf("%+v", spot), "fixed", fmt.Sprintf("%+v", fixed), "unmet", len(f.unmet))
}

// choosePlace keeps the leader in the zone that holds most machines, so that
// a cut between zones parts it from as few of them as can be. It hands over
// only to a zone with a node that lately said it can lead.
func (l *lead) choosePlace() {
	n := l.n
	if !n.otherZone() || n.storeDown() {
		return
	}
	count := map[string]int{}
	up := 0
	for _, m := range l.fleetList {
		if m.up && n.now.Sub(m.heard) < l.suspectAfter() {
			count[m.zone]++
			up++
		}
	}
	for zone, k := range count {
		if k*3 <= up*2 || up < 3 {
			continue
		}
		if n.election.prefer != zone && l.preferred != zone {
			l.preferred = zone
			l.journal.extra = append(l.journal.extra, protocol.Op{Put: bookkeeping.KeyPrefer,
				Value: bookkeeping.Encode(bookkeeping.Prefer{Zone: zone})})
		}
		if zone == n.cfg.Zone || n.election.prefer != zone || n.now.Sub(l.elected) < 10*time.Second {
			continue
		}
		for i := range n.cfg.Peers {
			p := &n.cfg.Peers[i]
			if v := n.peers[p.Name]; p.Zone == zone && v != nil && v.storeOK && n.now.Sub(v.at) < 2500*time.Millisecond {
				n.resign("most machines are in zone "+zone, 3*time.Second)
				return
			}
		}
	}
}

func (l *lead) saveTypes() {
	var list []protocol.MachineType
	for _, t := range l.n.types {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	l.journal.saveTypes(list)
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

// coming lists the room of machines that boot, leaving out those that are
// overdue: some never come up.
func (l *lead) coming() []*bin {
	var bins []*bin
	for _, m := range l.fleetList {
		if m.up || m.draining || m.releasing || m.spec == nil {
			continue
		}
		if l.n.now.Sub(m.rented) < m.spec.Boot*2+2*time.Second {
			bins = append(bins, newBin(offer{m.spec, m.zone, m.spot}))
		}
	}
	return bins
}

// grow rents what the waiting work and the headroom need beyond what boots.
func (l *lead) grow() {
	n, f := l.n, &l.fleet
	if l.phase != active || n.storeDown() || len(n.types) == 0 || !n.now.Before(l.validUntil) {
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
		for ; left > 0 && total < 200; left-- {
			if room.cpus < j.CPUs-protocol.Epsilon || room.gpus < j.GPUs-protocol.Epsilon {
				break
			}
			room.cpus -= j.CPUs
			room.gpus -= j.GPUs
			placed := false
			for _, b := range bins {
				if allows(b.offer.zone) && b.take(j) {
					zones[b.offer.zone]++
					placed = true
					break
				}
			}
			if placed {
				continue
			}
			o, ok := bestOffer(offers, j.Job, left, allows)
			if !ok {
				break
			}
			b := rent(o)
			total++
			b.take(j)
			zones[o.zone]++
		}
	}
	l.growHeadroom(bins, offers, rent)
	for _, o := range order {
		if !f.budget.Take(n.now, 1) {
			return
		}
		l.rent(o, min(need[o.key()], protocol.MaxRent))
	}
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
	for _, o := range offers {
		for free < want-protocol.Epsilon {
			if len(bins) > 100 {
				return
			}
			b := rent(o)
			free += b.cpus
		}
		return // the cheapest that has capacity
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
			n.log.Info("no capacity", "type", o.spec.Name, "zone", o.zone, "spot", o.spot)
			f.blocked[key] = n.now.Add(capacityPause)
			l.fleetSoon()
		case out.Answered && out.Status == 429:
		default:
			// Maybe carried out; then the machines show in the list.
			f.blocked[key] = n.now.Add(3 * time.Second)
		}
	})
}

// shrink returns machines that are not needed: empty ones beyond the headroom,
// ones that never came up, and ones given up.
func (l *lead) shrink() {
	n := l.n
	used, free, fixedRoom := 0.0, 0.0, 0.0
	for _, m := range l.fleetList {
		if m.spec != nil && m.up && !m.draining && !m.releasing {
			used += m.cpus
			if !m.emptying {
				free += m.spec.CPUs - m.cpus
				fixedRoom += l.fixedRoom(m)
			}
		}
	}
	want := l.headroom(used)
	fixedNeed := l.fixedNeed()
	var candidates []*machine
	for _, m := range append([]*machine(nil), l.fleetList...) {
		if m.releasing {
			continue
		}
		age := n.now.Sub(m.rented)
		switch {
		case !m.up && m.spec != nil && len(m.attempts) == 0 && age > max(m.spec.Boot*bootPatience, m.spec.Boot+bootPatienceAt):
			l.release(m, "never came up")
		case m.draining && len(m.attempts) == 0:
			l.release(m, "drained")
		case m.spec == nil && m.up && len(m.attempts) == 0:
			l.release(m, "unknown type")
		case !m.noticeAt.IsZero() && n.now.After(m.noticeAt.Add(2*time.Second)) && len(m.attempts) == 0:
			l.release(m, "taken")
		case m.emptying && len(m.attempts) == 0 && age > minimumCharge && n.now.Sub(m.emptySince) > n.op.Idle():
			l.release(m, "not needed")
		case m.emptying && m.onlyServices() && !l.canMove(m, map[*machine]room{}):
			m.emptying = false // it stays for its replicas, so others may use it, too
		case m.up && m.recorded && m.spec != nil && !m.draining && !m.emptying && m.noticeAt.IsZero():
			candidates = append(candidates, m)
		}
	}
	// Tasks spread over all machines: waiting for one to be empty by chance
	// would keep them all.
	dearestFirst(candidates)
	taken := map[*machine]room{}
	for _, m := range candidates {
		room := l.fixedRoom(m)
		if free-(m.spec.CPUs-m.cpus) < want+m.cpus || room > 0 && fixedRoom-room < fixedNeed {
			continue
		}
		// Replicas would hold it for long, unless they can go elsewhere.
		if m.services > 0 && (m.services > m.spec.CPUs/2+protocol.Epsilon || !l.canMove(m, taken)) {
			continue
		}
		free -= m.spec.CPUs - m.cpus
		fixedRoom -= room
		m.emptying = true
		n.log.Debug("emptying machine", "machine", m.name, "cpus", m.cpus)
	}
}

// fixedNeed is the room kept on ordinary machines for the next service.
func (l *lead) fixedNeed() float64 {
	if l.quickStarts() {
		return l.fleet.fixedNeed
	}
	return 0
}

// movesAtOnce is the part of the fleet whose replicas are moved in one turn, as a
// divisor.
const movesAtOnce = 30

// consolidate moves the replicas of little used machines to others that hold
// their images, where all of them find room, so that these can be returned.
// Services stay for long, and what they were spread over when the cluster was
// busy would stay with them. A move takes a moment: the image is there.
func (l *lead) consolidate() {
	n := l.n
	if len(l.fleet.unmet) > 0 || n.storeDown() || n.now.Sub(l.fleet.movedAt) < movePause {
		return
	}
	fixedRoom := 0.0
	var candidates []*machine
	for _, m := range l.fleetList {
		if !l.open(m) {
			continue
		}
		if !m.emptying {
			fixedRoom += l.fixedRoom(m)
		}
		if m.onlyServices() && (m.emptying || m.cpus <= m.spec.CPUs/2+protocol.Epsilon) && n.now.Sub(m.rented) > 2*minimumCharge {
			candidates = append(candidates, m)
		}
	}
	dearestFirst(candidates)
	left := max(1, len(l.fleetList)/movesAtOnce)
	taken := map[*machine]room{}
	for _, m := range candidates {
		if left == 0 {
			return
		}
		if _, target := taken[m]; target {
			continue
		}
		if room := l.fixedRoom(m); !m.emptying && room > 0 && fixedRoom-m.spec.CPUs < l.fixedNeed() {
			continue
		}
		if !l.canMove(m, taken) {
			continue
		}
		n.log.Info("moving replicas", "machine", m.name, "attempts", len(m.attempts))
		if !m.emptying {
			fixedRoom -= l.fixedRoom(m)
		}
		l.fleet.movedAt = n.now
		m.emptying = true
		left--
		for _, a := range m.sorted() {
			l.stopAttempt(a, 0)
		}
	}
}

// room is what a machine gives to replicas that are to move there.
type room struct{ cpus, gpus, mem float64 }

// canMove reports whether each replica on a machine runs and finds room and its
// image elsewhere, beside what is taken already, and takes that room if so.
func (l *lead) canMove(m *machine, taken map[*machine]room) bool {
	plan := map[*machine]room{}
	for _, a := range m.sorted() {
		j := a.job
		if j.Kind != protocol.Service {
			continue
		}
		if a.state != protocol.Running || a.stop || j.toStart() > 0 {
			return false
		}
		found := false
		for _, o := range l.fleetList {
			t, planned := plan[o]
			if !planned {
				t = taken[o]
			}
			if o == m || o.emptying || !l.open(o) || !o.allowed(j.Job) || o.zone != m.zone || o.images.bytes(j.Image) == 0 ||
				o.cpus+t.cpus+j.CPUs > o.spec.CPUs+protocol.Epsilon || o.gpus+t.gpus+j.GPUs > o.spec.GPUs+protocol.Epsilon ||
				o.mem+t.mem+j.MemGB > o.spec.MemGB+protocol.Epsilon {
				continue
			}
			plan[o] = room{t.cpus + j.CPUs, t.gpus + j.GPUs, t.mem + j.MemGB}
			found = true
			break
		}
		if !found {
			return false
		}
	}
	for o, t := range plan {
		taken[o] = t
	}
	return true
}

// fixedRoom is the room on an ordinary machine that work which may not use
// spot machines can have, other work giving way.
func (l *lead) fixedRoom(m *machine) float64 {
	if m.spot {
		return 0
	}
	room := m.spec.CPUs
	for _, a := range m.attempts {
		if !a.job.Spot {
			room -= a.job.CPUs
		}
	}
	return max(room, 0)
}

// onlyServices reports whether replicas are all that is left on a machine.
func (m *machine) onlyServices() bool {
	for _, a := range m.attempts {
		if a.job.Kind != protocol.Service {
			return false
		}
	}
	return len(m.attempts) > 0
}

// dearestFirst orders machines by price, the emptiest first among equals.
func dearestFirst(list []*machine) {
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if pa, pb := a.pricePerCPU(), b.pricePerCPU(); pa != pb {
			return pa > pb
		}
		return a.cpus < b.cpus
	})
}

func (m *machine) pricePerCPU() float64 {
	return offer{spec: m.spec, spot: m.spot}.price() / m.spec.CPUs
}

// release returns a machine. The answer proves that it and all on it is gone.
func (l *lead) release(m *machine, why string) {
	if m.releasing || m.removed {
		return
	}
	m.releasing = true
	l.n.log.Info("returning machine", "machine", m.name, "why", why, "attempts", len(m.attempts), "silent", l.n.now.Sub(m.heard))
	l.sendReleases()
}

func (l *lead) sendReleases() {
	n, f := l.n, &l.fleet
	if f.releasing {
		return
	}
	var names []string
	var list []*machine
	for _, m := range l.fleetList {
		if m.releasing && n.now.Sub(m.releaseAt) > releaseRetry && len(names) < protocol.MaxRelease {
			names = append(names, m.name)
			list = append(list, m)
		}
	}
	if len(names) == 0 || !f.budget.Take(n.now, 1) {
		return
	}
	for _, m := range list {
		m.releaseAt = n.now
	}
	f.releasing = true
	n.call(Cloud, "", "POST", protocol.PathRelease, protocol.ReleaseBody(names), cloudTimeout, func(out Outcome) {
		if !l.alive() {
			return
		}
		f.releasing = false
		if out.Answered && out.Status == 200 {
			for _, m := range list {
				l.machineGone(m, "returned")
			}
			l.askPlace()
			l.sendReleases()
		}
	})
}

// listMachines reads the cloud's list and compares it with what is known.
func (l *lead) listMachines() {
	n, f := l.n, &l.fleet
	interval := max(n.cfg.ListLag/2, 3*time.Second)
	if f.listing || n.now.Sub(f.listedAt) < interval || !f.budget.Take(n.now, 1) {
		return
	}
	f.listing, f.listedAt = true, n.now
	var all []protocol.ListedMachine
	var page func(after string)
	page = func(after string) {
		n.call(Cloud, "", "GET", protocol.ListTarget(after), nil, cloudTimeout, func(out Outcome) {
			if !l.alive() {
				return
			}
			if out.Answered && out.Status == 200 {
				list, more, err := protocol.ParseList(out.Body)
				if err == nil && !(more && len(list) == 0) {
					all = append(all, list...)
					if more && len(all) < 20000 {
						f.budget.Spend(n.now, 1)
						page(list[len(list)-1].Name)
						return
					}
					f.listing = false
					l.compareList(all)
					l.checkHeard()
					return
				}
			}
			f.listing = false
		})
	}
	page("")
}

func (l *lead) compareList(list []protocol.ListedMachine) {
	n := l.n
	seen := make(map[string]bool, len(list))
	for i := range list {
		it := &list[i]
		seen[it.Name] = true
		m := l.machines[it.Name]
		if m == nil {
			if at, ok := l.gone[it.Name]; ok && n.now.Sub(at) < 3*n.cfg.ListLag+10*time.Second {
				continue // the list is older than its end
			}
			if it.State == protocol.Failed {
				m = l.adopt(it.Name, it.Type, it.Zone, it.Spot, it.Age)
				l.machineGone(m, "failed")
				l.releaseFailed(it.Name)
				continue
			}
			m = l.adopt(it.Name, it.Type, it.Zone, it.Spot, it.Age)
		}
		if m.addr == "" {
			m.addr = it.Addr
		}
		m.missing = time.Time{}
		if it.State == protocol.Failed && !m.releasing {
			// It has stopped on its own, which is proof; returning it takes it
			// off the list.
			for _, a := range m.sorted() {
				l.detach(a, "machine failed")
			}
			m.draining = true
			l.release(m, "failed")
		}
	}
	for _, m := range append([]*machine(nil), l.fleetList...) {
		// A list may be as old as twice its lag. One that should show the
		// machine and doesn't proves that it is gone, once that holds for
		// longer than any list can lag.
		if seen[m.name] || m.releasing || n.now.Sub(m.rented) < 3*n.cfg.ListLag+10*time.Second {
			continue
		}
		if m.up && n.now.Sub(m.heard) < 3*n.cfg.ListLag {
			continue
		}
		if m.missing.IsZero() {
			m.missing = n.now
		} else if n.now.Sub(m.missing) > 2*n.cfg.ListLag+5*time.Second {
			l.release(m, "not listed")
		}
	}
}

// releaseFailed takes a failed machine that nobody knows off the list.
func (l *lead) releaseFailed(name string) {
	if l.fleet.budget.Take(l.n.now, 1) {
		l.n.call(Cloud, "", "POST", protocol.PathRelease, protocol.ReleaseBody([]string{name}), cloudTimeout, func(Outcome) {})
	}
}
