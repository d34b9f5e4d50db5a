package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// Bounds of reading the cloud's list, which takes a call for each 500 machines.
const (
	// listShare is the part of the cloud's calls that lists take at the most, as a divisor:
	// those of a large fleet, read as often as those of a small one, would leave no calls for
	// renting and returning.
	listShare = 4
	// listTries is how often a page is asked for, with listRetry between, before the list
	// is given up: one refused call would otherwise cost all pages before it.
	listTries = 4
	listRetry = 500 * time.Millisecond
	// maxListed ends a list that is longer than any that this process could hold: what
	// was read of it is not compared, since a machine that it lacks may be on another page.
	maxListed = 250_000
)

// listInterval is how often the cloud's list is read.
func (l *leader) listInterval() time.Duration {
	pages := 1 + len(l.fleetList)/protocol.MaxListed
	calls := time.Duration(float64(pages*listShare) / l.controller.cfg.CloudRPS * float64(time.Second))
	return max(l.controller.cfg.ListLag/2, 3*time.Second, calls)
}

// listing is one reading of the cloud's list, page by page.
type listing struct {
	l     *leader
	all   []protocol.ListedMachine
	after string // the last machine read
	tries int    // of the next page
}

// listMachines reads the cloud's list and compares it with what is known.
func (l *leader) listMachines() {
	c, f := l.controller, &l.fleet
	if f.listing || c.now.Sub(f.listedAt) < l.listInterval() || !f.budget.Take(c.now, 1) {
		return
	}
	f.listing, f.listedAt = true, c.now
	(&listing{l: l}).read()
}

// read asks for the next page.
func (r *listing) read() {
	r.tries++
	r.l.controller.call(Cloud, "", "GET", protocol.ListTarget(r.after), nil, cloudTimeout, func(out Outcome) {
		if r.l.alive() {
			r.take(out)
		}
	})
}

// take takes a page, or that there was none.
func (r *listing) take(out Outcome) {
	l := r.l
	if !out.Answered || out.Status != 200 {
		r.again()
		return
	}
	list, more, err := protocol.ParseList(out.Body)
	if err != nil || more && (len(list) == 0 || list[len(list)-1].Name <= r.after) {
		r.end() // a list that doesn't go on would be read without end
		return
	}
	r.all = append(r.all, list...)
	switch {
	case !more:
		l.fleet.listed = true
		r.end()
		l.compareList(r.all)
		l.checkHeard()
	case len(r.all) >= maxListed:
		l.controller.bounds.hit(boundList)
		r.end()
	default:
		r.after, r.tries = list[len(list)-1].Name, 0
		r.whenAffordable()
	}
}

// again asks for the same page some time later, a few times.
func (r *listing) again() {
	if r.tries >= listTries {
		r.end()
		return
	}
	r.l.controller.after(listRetry, func() {
		if r.l.alive() {
			r.whenAffordable()
		}
	})
}

// whenAffordable asks for the next page once the cloud takes one more call: returns and
// rentals, which go out when there is something to rent or return, have their turns between.
func (r *listing) whenAffordable() {
	l := r.l
	if l.fleet.budget.Take(l.controller.now, 1) {
		r.read()
		return
	}
	l.controller.after(l.fleet.budget.Wait(l.controller.now, 1)+time.Millisecond, func() {
		if l.alive() {
			r.whenAffordable()
		}
	})
}

func (r *listing) end() { r.l.fleet.listing = false }

func (l *leader) compareList(list []protocol.ListedMachine) {
	c := l.controller
	seen := make(map[string]bool, len(list))
	for i := range list {
		it := &list[i]
		seen[it.Name] = true
		m := l.machines[it.Name]
		if m == nil {
			if at, ok := l.gone[it.Name]; ok && c.now.Sub(at) < 3*c.cfg.ListLag+10*time.Second {
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
		if seen[m.Name] || m.releasing || c.now.Sub(m.rented) < 3*c.cfg.ListLag+10*time.Second {
			continue
		}
		if m.up && c.now.Sub(m.heard) < 3*c.cfg.ListLag {
			continue
		}
		if m.missing.IsZero() {
			m.missing = c.now
		} else if c.now.Sub(m.missing) > 2*c.cfg.ListLag+5*time.Second {
			l.release(m, "not listed")
		}
	}
}

// releaseFailed takes a failed machine that nobody knows off the list.
func (l *leader) releaseFailed(name string) {
	if l.fleet.budget.Take(l.controller.now, 1) {
		l.controller.call(Cloud, "", "POST", protocol.PathRelease, protocol.ReleaseBody([]string{name}), cloudTimeout, func(Outcome) {})
	}
}
