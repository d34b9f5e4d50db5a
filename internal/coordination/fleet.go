package coordination

import (
	"fmt"
	"sort"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// Times of the fleet's dealings with the cloud.
const (
	cloudTimeout  = 4 * time.Second
	capacityPause = 15 * time.Second // after "no capacity"
	typesInterval = 45 * time.Second
	minimumCharge = 60 * time.Second
	releaseRetry  = time.Second
	movePause     = 10 * time.Second
)

// rentAtOnce bounds how many machines one turn asks for: its answers show what is
// still needed. returnCalls are those of the cloud's calls at once that renting
// leaves.
const (
	rentAtOnce  = 200
	returnCalls = 1
)

// demand is work without a machine.
type demand struct {
	job  *job
	left int
}

// fleet rents and returns machines.
type fleet struct {
	budget    *records.Budget
	unmet     []demand
	held      map[*job]int // replicas that silent machines are kept for, until there is room
	partly    bool         // the last round ended early: unmet isn't all there is
	asked     bool
	requests  uint64
	blocked   map[offerKey]time.Time // offers without capacity
	renting   map[offerKey]int       // machines asked for, by offer
	releasing bool
	listing   bool
	listedAt  time.Time // when the list was last asked for
	listed    bool      // it was read in full since this node leads
	typesAt   time.Time
	movedAt   time.Time
	loggedAt  time.Time
	fixedNeed float64 // CPUs of the largest job seen that may not use spot machines
}

func (f *fleet) init(l *leader) {
	rps := l.controller.cfg.CloudRPS
	f.budget = records.NewBudget(rps*0.9, rps*1.5, l.controller.now)
	f.blocked, f.renting = map[offerKey]time.Time{}, map[offerKey]int{}
}

// fleetSoon wants the fleet looked at before its next turn.
func (l *leader) fleetSoon() {
	if l.fleet.asked {
		return
	}
	l.fleet.asked = true
	l.controller.after(100*time.Millisecond, func() {
		l.fleet.asked = false
		if l.alive() {
			l.grow()
		}
	})
}

// fleetStep is the fleet's regular turn.
func (l *leader) fleetStep() {
	c, f := l.controller, &l.fleet
	for name, at := range l.gone {
		if c.now.Sub(at) > 5*time.Minute {
			delete(l.gone, name)
		}
	}
	if l.phase == loading {
		return
	}
	if l.shards != nil {
		l.shards.step()
	}
	l.explain()
	if c.now.Sub(f.typesAt) > typesInterval && f.budget.Take(c.now, 1) {
		f.typesAt = c.now
		c.fetchTypes(func(ok bool) {
			if ok && l.alive() {
				for _, m := range l.fleetList {
					m.Spec = c.types[m.Type]
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
	l.balance.moveStep()
	l.sendReleases()
	l.logFleet()
}

// logFleet tells now and then what the machines are used for, and what came in and
// went out since the last time.
func (l *leader) logFleet() {
	c, f := l.controller, &l.fleet
	if c.now.Sub(f.loggedAt) < 5*time.Second {
		return
	}
	f.loggedAt = c.now
	type use struct{ machines, emptying, pinned, cpus, services, used float64 }
	var spot, fixed use
	for _, m := range l.fleetList {
		if !m.up || m.Spec == nil {
			continue
		}
		u := &fixed
		if m.Spot {
			u = &spot
		}
		u.machines++
		u.cpus += m.Spec.CPUs
		u.used += m.Taken.CPUs
		u.services += m.ReplicaCPUs
		if m.Emptying {
			u.emptying++
		}
		if m.ReplicaCPUs > 0 {
			u.pinned++
		}
	}
	c.log.Debug("fleet", "machines", len(l.fleetList), "spot", fmt.Sprintf("%+v", spot), "fixed", fmt.Sprintf("%+v", fixed), "unmet", len(f.unmet), "lag", c.lag.Round(time.Millisecond),
		"traffic", fmt.Sprintf("%+v", c.count))
	c.count = traffic{}
}

// choosePlace keeps the leader in the zone that holds most machines, so that
// a cut between zones parts it from as few of them as can be. It hands over
// only to a zone with a node that lately said it can lead.
func (l *leader) choosePlace() {
	c := l.controller
	if !c.otherZone() || c.storeDown() {
		return
	}
	count := map[string]int{}
	up := 0
	for _, m := range l.fleetList {
		if m.up && c.now.Sub(m.heard) < l.suspectAfter() {
			count[m.Zone]++
			up++
		}
	}
	for zone, k := range count {
		if k*3 <= up*2 || up < 3 {
			continue
		}
		if c.election.prefer != zone && l.preferred != zone {
			l.preferred = zone
			l.journal.extra = append(l.journal.extra, protocol.Op{Put: records.KeyPrefer,
				Value: records.Encode(records.Prefer{Zone: zone})})
		}
		if zone == c.cfg.Zone || c.election.prefer != zone || c.now.Sub(l.elected) < 10*time.Second {
			continue
		}
		for i := range c.cfg.Peers {
			p := &c.cfg.Peers[i]
			if v := c.peers[p.Name]; p.Zone == zone && v != nil && v.storeOK && !v.unfit && c.now.Sub(v.at) < 2500*time.Millisecond {
				c.resign("most machines are in zone "+zone, 3*time.Second)
				return
			}
		}
	}
}

func (l *leader) saveTypes() {
	var list []protocol.MachineType
	for _, t := range l.controller.types {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	l.journal.saveTypes(list)
}
