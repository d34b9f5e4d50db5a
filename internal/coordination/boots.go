package coordination

import "time"

// Machines that boot late, or never. A machine overdue is replaced and in the end
// returned. Where most are overdue at once the cloud is slow, and replacements would be
// as late: then only some are replaced, to see whether new ones come sooner, and none
// is given up before several times as long.

const (
	bootLate       = 2 // times the usual boot time, after which another is rented
	bootLateMargin = 2 * time.Second
	bootPatience   = 4 // times after which it is given up, but not before this margin
	bootPatienceAt = 20 * time.Second
	slowPatience   = 10 // times, while the cloud is slow
	slowAtLeast    = 3  // machines overdue, to call it so
	slowReplaced   = 4  // part of them that is replaced, as a divisor
)

// boots is how the machines do that were rented lately.
type boots struct {
	late []*machine // not up, and overdue
	came int        // up
	next *machine   // the one that boots for longest
}

func (l *leader) booting(m *machine) bool {
	return !m.up && !m.draining && !m.releasing && m.Spec != nil && !l.unheard(m)
}

func (l *leader) lateBoot(m *machine) bool {
	return l.controller.now.Sub(m.rented) >= m.Spec.Boot*bootLate+bootLateMargin
}

// unheard reports whether a machine that should be up by now may have reported to an
// earlier leader, and merely not to this one yet: new leaders returned such machines as
// if they had never come up.
func (l *leader) unheard(m *machine) bool {
	return m.inherited && l.lateBoot(m) && l.controller.now.Sub(l.loadedAt) < l.unheardAfter()
}

func (l *leader) boots() boots {
	var b boots
	for _, m := range l.fleetList {
		switch {
		case l.booting(m):
			if b.next == nil || m.rented.Before(b.next.rented) {
				b.next = m
			}
			if l.lateBoot(m) {
				b.late = append(b.late, m)
			}
		case m.up && m.Spec != nil && l.controller.now.Sub(m.rented) < max(m.Spec.Boot*bootPatience, m.Spec.Boot+bootPatienceAt):
			b.came++
		}
	}
	return b
}

// slow reports whether boots are late in general.
func (b *boots) slow() bool { return len(b.late) >= slowAtLeast && len(b.late) > b.came }

// replaced is the number of machines overdue that others are rented for.
func (b *boots) replaced() int {
	if b.slow() {
		return max(1, len(b.late)/slowReplaced)
	}
	return len(b.late)
}

// coming lists the room of machines that boot, leaving out those that are replaced:
// some never come up, and work doesn't wait for them.
func (l *leader) coming() []*bin {
	b := l.boots()
	without := b.replaced()
	var bins []*bin
	for _, m := range l.fleetList {
		if !l.booting(m) {
			continue
		}
		if without > 0 && l.lateBoot(m) {
			without--
			continue
		}
		bins = append(bins, newBin(offer{m.Spec, m.Zone, m.Spot}))
	}
	return bins
}

// endBoots gives up machines that don't come up, at once those that nothing waits for.
func (l *leader) endBoots() {
	b := l.boots()
	idle := len(l.fleet.unmet) == 0 && len(l.fleet.held) == 0 && !l.fleet.partly
	for _, m := range b.late {
		patience := max(m.Spec.Boot*bootPatience, m.Spec.Boot+bootPatienceAt)
		if b.slow() {
			patience = m.Spec.Boot * slowPatience
		}
		switch age := l.controller.now.Sub(m.rented); {
		case len(m.attempts) > 0: // it was up for an earlier leader
		case age > patience:
			l.release(m, "never came up")
		case idle && age > minimumCharge:
			l.release(m, "late, and not needed any more")
		}
	}
}
