package coordination

import (
	"time"

	"brasskeel/internal/coordination/autoscaler"
)

// Machines that boot late, or never. A machine overdue is replaced and in the end
// returned. Where most are overdue at once the cloud is slow, and replacements would be
// as late: then only some are replaced, to see whether new ones come sooner, and none
// is given up before several times as long.

const (
	overdueFactor          = 2 // times the usual boot time, after which another is rented
	overdueMargin          = 2 * time.Second
	bootTimeoutFactor      = 4 // times after which it is given up, but not before this margin
	bootTimeoutMargin      = 20 * time.Second
	slowBootTimeoutFactor  = 10 // times, while the cloud is slow
	minSlowBoots           = 3  // machines overdue, to call it so
	slowReplacementDivisor = 4  // part of them that is replaced, as a divisor
)

// bootProgress is how far the machines have come that were rented lately.
type bootProgress struct {
	overdue []*machine // not registered, and overdue
	booted  int        // registered
	longest *machine   // the one that boots for longest
}

// booting reports whether a machine is being started and hasn't registered yet.
func (l *leader) booting(m *machine) bool {
	return !m.session.Registered && m.lifecycle.inService() && m.Spec != nil && !l.awaitsRegistration(m)
}

// bootOverdue reports whether a machine should have registered by now.
func (l *leader) bootOverdue(m *machine) bool {
	return l.controller.now.Sub(m.provisionedAt) >= m.Spec.BootTime*overdueFactor+overdueMargin
}

// awaitsRegistration reports whether a machine that should be up by now may have registered with
// an earlier leader, and merely not to this one yet: new leaders returned such machines as
// if they had never come up.
func (l *leader) awaitsRegistration(m *machine) bool {
	return m.inherited && l.bootOverdue(m) && l.controller.now.Sub(l.loadedAt) < l.controller.timing().RegistrationTimeout()
}

// bootProgress looks at the machines that boot, or booted lately.
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

// slow reports whether boots are late in general.
func (b *bootProgress) slow() bool {
	return len(b.overdue) >= minSlowBoots && len(b.overdue) > b.booted
}

// replacedCount is the number of machines overdue that others are rented for.
func (b *bootProgress) replacedCount() int {
	if b.slow() {
		return max(1, len(b.overdue)/slowReplacementDivisor)
	}
	return len(b.overdue)
}

// bootingBins lists the room of machines that boot, leaving out those that are replaced:
// some never come up, and work doesn't wait for them.
func (l *leader) bootingBins() []*autoscaler.Bin {
	b := l.bootProgress()
	without := b.replacedCount()
	var bins []*autoscaler.Bin
	for _, m := range l.fleetList {
		if !l.booting(m) {
			continue
		}
		if without > 0 && l.bootOverdue(m) {
			without--
			continue
		}
		bins = append(bins, autoscaler.NewBin(m.offer()))
	}
	return bins
}

// releaseOverdueBoots gives up machines that don't come up, at once those that nothing waits for.
func (l *leader) releaseOverdueBoots() {
	b := l.bootProgress()
	idle := len(l.autoscaler.unmetDemand) == 0 && len(l.autoscaler.displacedReplicas) == 0 && !l.autoscaler.demandIncomplete
	for _, m := range b.overdue {
		patience := max(m.Spec.BootTime*bootTimeoutFactor, m.Spec.BootTime+bootTimeoutMargin)
		if b.slow() {
			patience = m.Spec.BootTime * slowBootTimeoutFactor
		}
		switch age := l.controller.now.Sub(m.provisionedAt); {
		case len(m.attempts) > 0: // it was up for an earlier leader
		case age > patience:
			l.release(m, "never came up")
		case idle && age > minimumBilledTime:
			l.release(m, "late, and not needed any more")
		}
	}
}
