package coordination

import (
	"time"

	"brasskeel/internal/coordination/autoscaler"
)

// Handling of machines that boot late or never. A machine whose boot is overdue is replaced and
// eventually released. If most booting machines are overdue at once, the cloud is slow and
// replacements would boot as slowly. Then only some are replaced, to find out whether new machines
// boot faster, and all get a longer boot timeout.

const (
	overdueFactor          = 2                // multiple of the usual boot time after which a replacement is provisioned
	overdueMargin          = 2 * time.Second  // added to that multiple
	bootTimeoutFactor      = 4                // multiple of the usual boot time after which an overdue machine is released
	bootTimeoutMargin      = 20 * time.Second // minimum time from the usual boot time until that release
	slowBootTimeoutFactor  = 10               // replaces bootTimeoutFactor and bootTimeoutMargin while the cloud is slow
	minSlowBoots           = 3                // minimum number of overdue machines for the cloud to count as slow
	slowReplacementDivisor = 4                // while the cloud is slow, one in this many overdue machines is replaced
)

// bootProgress summarizes the machines that were provisioned recently.
type bootProgress struct {
	overdue []*machine // booting for longer than expected
	booted  int        // registered, and were provisioned less than the boot timeout ago
	longest *machine   // the machine that has been booting for the longest
}

// booting reports whether a machine in service, of a known type, is still booting: it hasn't
// registered with this leader, nor may it have registered with an earlier one (awaitsRegistration).
func (l *leader) booting(m *machine) bool {
	return !m.session.Registered && m.lifecycle.inService() && m.Spec != nil && !l.awaitsRegistration(m)
}

// bootOverdue reports whether a machine should have registered by now.
func (l *leader) bootOverdue(m *machine) bool {
	return l.controller.now.Sub(m.provisionedAt) >= m.Spec.BootTime*overdueFactor+overdueMargin
}

// awaitsRegistration reports whether a machine whose boot seems overdue may have registered with an
// earlier leader, and has had too little time to register with this one. Otherwise a new leader
// would release such machines as if they had never booted.
func (l *leader) awaitsRegistration(m *machine) bool {
	return m.inherited && l.bootOverdue(m) && l.controller.now.Sub(l.loadedAt) < l.controller.timing().RegistrationTimeout()
}

// bootProgress summarizes the machines that are booting or booted recently.
func (l *leader) bootProgress() bootProgress {
	var b bootProgress
	for _, m := range l.fleetList {
		switch {
		case l.booting(m):
			if b.longest == nil || m.provisionedAt.Before(b.longest.provisionedAt) {
				b.longest = m
			}
			if l.bootOverdue(m) {
				b.overdue = append(b.overdue, m)
			}
		case m.session.Registered && m.Spec != nil && l.controller.now.Sub(m.provisionedAt) < max(m.Spec.BootTime*bootTimeoutFactor, m.Spec.BootTime+bootTimeoutMargin):
			b.booted++
		}
	}
	return b
}

// slow reports whether the cloud is slow: at least minSlowBoots machines are overdue, and they
// outnumber those that booted recently.
func (b *bootProgress) slow() bool {
	return len(b.overdue) >= minSlowBoots && len(b.overdue) > b.booted
}

// replacedCount is the number of overdue machines for which replacements are provisioned.
func (b *bootProgress) replacedCount() int {
	if b.slow() {
		return max(1, len(b.overdue)/slowReplacementDivisor)
	}
	return len(b.overdue)
}

// bootingBins returns the capacity of the booting machines, except of overdue ones that are to be
// replaced: some of these never boot, and tasks shouldn't wait for them.
func (l *leader) bootingBins() []*autoscaler.Bin {
	b := l.bootProgress()
	toReplace := b.replacedCount()
	var bins []*autoscaler.Bin
	for _, m := range l.fleetList {
		if !l.booting(m) {
			continue
		}
		if toReplace > 0 && l.bootOverdue(m) {
			toReplace--
			continue
		}
		bins = append(bins, autoscaler.NewBin(m.offer()))
	}
	return bins
}

// releaseOverdueBoots releases overdue machines after the boot timeout, or after
// minimumBilledTime if no task waits for capacity. It keeps machines with attempts.
func (l *leader) releaseOverdueBoots() {
	b := l.bootProgress()
	idle := len(l.autoscaler.unmetDemand) == 0 && len(l.autoscaler.displacedReplicas) == 0 && !l.autoscaler.demandIncomplete
	for _, m := range b.overdue {
		timeout := max(m.Spec.BootTime*bootTimeoutFactor, m.Spec.BootTime+bootTimeoutMargin)
		if b.slow() {
			timeout = m.Spec.BootTime * slowBootTimeoutFactor
		}
		switch age := l.controller.now.Sub(m.provisionedAt); {
		case len(m.attempts) > 0: // it had booted under an earlier leader
		case age > timeout:
			l.release(m, "boot timed out")
		case idle && age > minimumBilledTime:
			l.release(m, "boot overdue and no longer needed")
		}
	}
}
