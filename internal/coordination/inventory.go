package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/protocol"
)

// Bounds of reading the cloud's inventory, which takes a call for each 500 machines.
const (
	// inventoryCallDivisor is the part of the cloud's calls that lists take at the most, as a divisor:
	// those of a large fleet, read as often as those of a small one, would leave no calls for
	// renting and returning.
	inventoryCallDivisor = 4
	// maxInventoryPageAttempts is how often a page is asked for, with inventoryRetryInterval between, before the list
	// is given up: one refused call would otherwise cost all pages before it.
	maxInventoryPageAttempts = 4
	inventoryRetryInterval   = 500 * time.Millisecond
	// maxInventory ends a list that is longer than any that this process could hold: what
	// was read of it is not compared, since a machine that it lacks may be on another page.
	maxInventory = 250_000
)

// inventoryInterval is how often the cloud's inventory is read.
func (l *leader) inventoryInterval() time.Duration {
	pages := 1 + len(l.fleetList)/protocol.MaxListed
	calls := time.Duration(float64(pages*inventoryCallDivisor) / l.controller.cfg.CloudRPS * float64(time.Second))
	return max(l.controller.cfg.ListLag/2, 3*time.Second, calls)
}

// inventoryRead is one reading of the cloud's inventory, page by page.
type inventoryRead struct {
	leader   *leader
	machines []protocol.ListedMachine
	after    string // the last machine read
	attempts int    // of the next page
}

// readInventory reads the cloud's inventory and compares it with what is known.
func (l *leader) readInventory() {
	c, f := l.controller, &l.autoscaler
	if f.inventoryInFlight || c.now.Sub(f.inventoryRequestedAt) < l.inventoryInterval() || !f.callBudget.TryTake(c.now, 1) {
		return
	}
	f.inventoryInFlight, f.inventoryRequestedAt = true, c.now
	(&inventoryRead{leader: l}).requestPage()
}

// requestPage asks for the next page.
func (r *inventoryRead) requestPage() {
	r.attempts++
	r.leader.controller.call(Cloud, "", "GET", protocol.MachinesTarget(r.after), nil, cloudTimeout, func(out Outcome) {
		if r.leader.alive() {
			r.handlePage(out)
		}
	})
}

// handlePage takes a page, or that there was none.
func (r *inventoryRead) handlePage(out Outcome) {
	l := r.leader
	if !out.Answered || out.Status != 200 {
		r.retry()
		return
	}
	list, more, err := protocol.ParseMachines(out.Body)
	if err != nil || more && (len(list) == 0 || list[len(list)-1].Name <= r.after) {
		r.finish() // a list that doesn't go on would be read without end
		return
	}
	r.machines = append(r.machines, list...)
	switch {
	case !more:
		l.autoscaler.inventoryComplete = true
		r.finish()
		l.reconcileInventory(r.machines)
		l.checkReconciled()
	case len(r.machines) >= maxInventory:
		l.controller.limits.Reached(limits.InventoryMachines)
		r.finish()
	default:
		r.after, r.attempts = list[len(list)-1].Name, 0
		r.requestPageWithinBudget()
	}
}

// retry asks for the same page some time later, a few times.
func (r *inventoryRead) retry() {
	if r.attempts >= maxInventoryPageAttempts {
		r.finish()
		return
	}
	r.leader.controller.after(inventoryRetryInterval, func() {
		if r.leader.alive() {
			r.requestPageWithinBudget()
		}
	})
}

// requestPageWithinBudget asks for the next page once the cloud takes one more call: returns and
// rentals, which go out when there is something to rent or return, have their turns between.
func (r *inventoryRead) requestPageWithinBudget() {
	l := r.leader
	if l.autoscaler.callBudget.TryTake(l.controller.now, 1) {
		r.requestPage()
		return
	}
	l.controller.after(l.autoscaler.callBudget.Wait(l.controller.now, 1)+time.Millisecond, func() {
		if l.alive() {
			r.requestPageWithinBudget()
		}
	})
}

func (r *inventoryRead) finish() { r.leader.autoscaler.inventoryInFlight = false }

// reconcileInventory compares an inventory that was read in full with the machines that are
// known.
func (l *leader) reconcileInventory(list []protocol.ListedMachine) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name] = true
		l.reconcileListed(&list[i])
	}
	for _, m := range slices.Clone(l.fleetList) {
		if !listed[m.Name] {
			l.reconcileUnlisted(m)
		}
	}
}

// reconcileListed takes in a machine that the inventory shows.
func (l *leader) reconcileListed(it *protocol.ListedMachine) {
	c := l.controller
	m := l.machines[it.Name]
	if m == nil {
		if at, ok := l.terminatedAt[it.Name]; ok && c.now.Sub(at) < c.maxInventoryStaleness() {
			return // the inventory is older than its end
		}
		m = l.adoptMachine(it.Name, it.Type, it.Zone, it.Spot, it.Age)
		if it.State == protocol.Failed {
			l.machineTerminated(m, "failed")
			l.releaseUnknownFailed(it.Name)
			return
		}
	}
	if m.addr == "" {
		m.addr = it.Addr
	}
	m.lifecycle.unlistedSince = time.Time{}
	if it.State == protocol.Failed && !m.lifecycle.releasing() {
		// It has stopped on its own, which is proof; returning it takes it off the list.
		for _, a := range m.sortedAttempts() {
			l.detach(a, "machine failed")
		}
		m.lifecycle.draining = true
		l.release(m, "failed")
	}
}

// reconcileUnlisted releases a machine that inventories lack. One may be as old as twice its
// lag. One that should show the machine and doesn't proves that it is gone, once that holds
// for longer than any inventory can lag.
func (l *leader) reconcileUnlisted(m *machine) {
	c := l.controller
	if m.lifecycle.releasing() || c.now.Sub(m.provisionedAt) < c.maxInventoryStaleness() {
		return
	}
	if m.session.Registered && c.now.Sub(m.session.LastSeen) < 3*c.cfg.ListLag {
		return
	}
	if m.lifecycle.unlistedSince.IsZero() {
		m.lifecycle.unlistedSince = c.now
	} else if c.now.Sub(m.lifecycle.unlistedSince) > 2*c.cfg.ListLag+5*time.Second {
		l.release(m, "not listed")
	}
}

// maxInventoryStaleness is how long after a change any inventory that is read shows it.
func (c *Controller) maxInventoryStaleness() time.Duration { return 3*c.cfg.ListLag + 10*time.Second }

// releaseUnknownFailed takes a failed machine that nobody knows off the list.
func (l *leader) releaseUnknownFailed(name string) {
	if l.autoscaler.callBudget.TryTake(l.controller.now, 1) {
		l.controller.call(Cloud, "", "POST", protocol.PathTerminate, protocol.EncodeTerminate([]string{name}), cloudTimeout, func(Outcome) {})
	}
}
