package coordination

import (
	"slices"
	"time"
)

// unheardAfter is when every live worker has found this leader: the longest interval
// between reports, and a report or two that were lost on nodes that are gone.
func (l *lead) unheardAfter() time.Duration { return l.n.cfg.ReportInterval*5/4 + 6*time.Second }

// watchMachines looks for machines that have fallen silent. Silence proves
// nothing; releasing the machine does, and takes a moment.
func (l *lead) watchMachines() {
	n := l.n
	stalled := l.stalled()
	if l.phase == settling && n.now.Sub(l.loadedAt) > askAfter {
		var ask []*machine
		for _, m := range l.fleetList {
			// One that came by itself soon shows our token in its next report.
			if m.reached.IsZero() && (!m.up && m.inherited || m.up && n.now.Sub(m.firstHeard) > tokenSoon) {
				ask = append(ask, m)
			}
		}
		l.probeSome(ask)
	}
	if l.phase != active {
		return
	}
	if stalled || n.storeDown() || !l.entitled() {
		// Nothing could be moved now, and workers that got no answer from this
		// node look for another: their silence counts anew from here.
		l.deaf = n.now
		return
	}
	var silent, ask []*machine
	zones, doubtful := map[string]*reach{}, map[string]bool{}
	lost, known, inherited, heard, mute := 0, 0, 0, 0, 0
	for _, m := range l.fleetList {
		if m.inherited && (m.up || len(m.attempts) > 0) { // others may be booting yet
			inherited++
			switch {
			case m.up:
				heard++
			case m.probeFails >= 3:
				mute++
			}
		}
		since := m.heard
		if !m.up {
			if len(m.attempts) == 0 {
				continue
			}
			// It ran tasks for an earlier leader. Those that were asked since the records
			// were read have been silent since then.
			since = l.settled
			if m.probeFails >= 3 {
				since = l.loadedAt
			}
		}
		if l.deaf.After(since) {
			since = l.deaf
		}
		z := zones[m.zone]
		if z == nil {
			z = &reach{}
			zones[m.zone] = z
		}
		d := n.now.Sub(since)
		late := d > l.suspectAfter() || m.probeFails > 0
		z.machines++
		if late {
			z.late++
		}
		if m.probeFails > 0 {
			doubtful[m.zone] = true
		}
		if m.up {
			known++
			if m.probeFails >= 2 {
				lost++
			}
		}
		if l.wantsProbe(m, d) {
			ask = append(ask, m)
		}
		if l.lost(m, d) {
			silent = append(silent, m)
		}
	}
	l.doubtful = doubtful
	l.probeSome(ask)
	// Only machines that this leader has heard count: when those are lost to it,
	// another node may still reach them. Where it doesn't, it won't have heard them
	// either and stays. Counting all, leaders of a cluster that had lost most
	// machines for good handed over to one another without end. It comes before
	// any release: a leader that an outage kept from seeing it in time returned
	// its whole fleet.
	if known > 2 && lost*2 > known && n.now.Sub(l.settled) > 2*time.Second && n.resignUnfit("most machines are out of reach") {
		return
	}
	// Nor is it the one to lead if it never heard most of those that the leader before
	// knew, while another node hasn't tried.
	// Those that don't answer calls either needn't be waited for: with two nodes in a row
	// that were cut off from the workers, all leases were over before the third led.
	unheard := inherited > 2 && heard*3 < inherited
	if unheard && (mute*3 > inherited*2 || n.now.Sub(l.loadedAt) > l.unheardAfter()) && n.resignUnfit("few machines are heard") {
		return
	}
	h := l.newHolds()
	for _, m := range silent {
		l.endSilent(m)
		quiet := n.now.Sub(latest(m.heard, m.reached, l.deaf, l.elected))
		if !zones[m.zone].cut() || quiet > n.cfg.WorkerLease {
			if m.releasing || !h.keep(m, quiet) {
				l.release(m, whySilent)
			}
		}
	}
	l.fleet.held = h.jobs
	if len(h.jobs) > 0 {
		l.fleetSoon()
	}
}

// lost reports whether a machine that was silent for a time is to be given up.
func (l *lead) lost(m *machine, silent time.Duration) bool {
	return silent > l.releaseAfter() || silent > giveUpAfter && m.probeFails >= 3 ||
		l.unreached(m) > l.deafAfter() && m.probeFails >= 4 || l.unreported(m) > 2*l.n.cfg.WorkerLease
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// reach is how many machines of a zone answer.
type reach struct{ machines, late int }

// cut reports whether the silence of a zone's machines speaks for a cut rather
// than for their deaths: most of them are late at once. Reports come at different
// times, so those that are only late by now count, too.
func (r *reach) cut() bool { return r.late > 2 && r.late*5 > r.machines*3 }

func (n *Node) otherZone() bool {
	for i := range n.cfg.Peers {
		if n.cfg.Peers[i].Zone != n.cfg.Zone {
			return true
		}
	}
	return false
}
