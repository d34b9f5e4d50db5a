package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/protocol"
)

// Limits for reading the cloud's inventory, which takes one call for every 500 machines.
const (
	// inventoryCallDivisor bounds the calls for inventory reads to one in inventoryCallDivisor of
	// those that the cloud's call rate allows. If the inventory of a large fleet were read as often
	// as that of a small one, no calls would be left for provisioning and releases.
	inventoryCallDivisor = 4
	// maxInventoryPageAttempts is how often a page is requested, at inventoryRetryInterval,
	// before the read is abandoned. Without retries, one refused call would waste all pages
	// read before it.
	maxInventoryPageAttempts = 4
	inventoryRetryInterval   = 500 * time.Millisecond
	// maxInventory is the maximum number of machines in a read, to limit memory use. A read that
	// reaches it isn't compared with the known machines, since a machine missing from it
	// may be on a later page.
	maxInventory = 250_000
)

// inventoryInterval is how often the cloud's inventory is read.
func (l *leader) inventoryInterval() time.Duration {
	pages := 1 + len(l.fleetList)/protocol.MachinesPageSize
	calls := time.Duration(float64(pages*inventoryCallDivisor) / l.controller.cfg.CloudRPS * float64(time.Second))
	return max(l.controller.cfg.ListLag/2, 3*time.Second, calls)
}

// inventoryRead is one read of the cloud's inventory, page by page.
type inventoryRead struct {
	leader   *leader
	machines []protocol.ListedMachine
	after    string // name of the last machine read so far; empty before the first page
	attempts int    // number of requests for the next page so far
}

// readInventory reads the cloud's inventory and reconciles the known machines with it.
func (l *leader) readInventory() {
	c, scaler := l.controller, &l.autoscaler
	if scaler.inventoryInFlight || c.now.Sub(scaler.inventoryRequestedAt) < l.inventoryInterval() || !scaler.callBudget.TryTake(c.now, 1) {
		return
	}
	scaler.inventoryInFlight, scaler.inventoryRequestedAt = true, c.now
	(&inventoryRead{leader: l}).requestPage()
}

// requestPage requests the page that follows r.after.
func (r *inventoryRead) requestPage() {
	r.attempts++
	r.leader.controller.call(Cloud, "", "GET", protocol.MachinesTarget(r.after), nil, cloudTimeout, func(out Outcome) {
		if r.leader.alive() {
			r.handlePage(out)
		}
	})
}

// handlePage handles the outcome of a page request. A failed request is retried. After the last page
// the known machines are reconciled with the inventory. A read that gets an invalid page or reaches
// maxInventory is abandoned.
func (r *inventoryRead) handlePage(out Outcome) {
	l := r.leader
	if !out.Answered || out.Status != 200 {
		r.retry()
		return
	}
	list, more, err := protocol.ParseMachines(out.Body)
	if err != nil || more && (len(list) == 0 || list[len(list)-1].Name <= r.after) {
		r.finish() // invalid, or a page that doesn't advance, with which the read would never end
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

// retry requests the same page again after a delay, a limited number of times.
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

// requestPageWithinBudget requests the next page once the call budget allows it. Releases and
// provisioning use the same budget between the pages.
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

// reconcileInventory reconciles the known machines with an inventory that was read in full.
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

// reconcileListed adopts or updates a machine that the inventory lists, and releases it if it has
// failed.
func (l *leader) reconcileListed(it *protocol.ListedMachine) {
	c := l.controller
	m := l.machines[it.Name]
	if m == nil {
		if at, ok := l.terminatedAt[it.Name]; ok && c.now.Sub(at) < c.maxInventoryStaleness() {
			return // the inventory may be older than its termination
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
		// A failed machine has stopped, which proves that its tasks have ended. Its release
		// removes it from the inventory.
		for _, a := range m.sortedAttempts() {
			l.detach(a, "machine failed")
		}
		m.lifecycle.draining = true
		l.release(m, "failed")
	}
}

// reconcileUnlisted releases a machine that should be in the inventory and isn't. An inventory may
// be up to twice as old as ListLag, so a machine is released only once inventories haven't listed
// it for longer than that. A machine that was provisioned recently, or whose worker recently sent a
// message, is kept.
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
		l.release(m, "not in the inventory")
	}
}

// maxInventoryStaleness is the time after which a change of the fleet is visible in every inventory
// that is read.
func (c *Controller) maxInventoryStaleness() time.Duration {
	return 3*c.cfg.ListLag + 10*time.Second
}

// releaseUnknownFailed releases a failed machine that no record names, which removes it from the
// inventory. If the call budget is used up, a later read of the inventory leads to another attempt.
func (l *leader) releaseUnknownFailed(name string) {
	if l.autoscaler.callBudget.TryTake(l.controller.now, 1) {
		l.controller.call(Cloud, "", "POST", protocol.PathTerminate, protocol.EncodeTerminate([]string{name}), cloudTimeout, func(Outcome) {})
	}
}
