package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

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
					f.listing, f.listed = false, true
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
