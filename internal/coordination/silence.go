package coordination

import (
	"slices"
	"time"
)

// unheardAfter is when every live worker has found this leader: the longest interval
// between reports, and a report or two that were lost on nodes that are gone.
func (l *leader) unheardAfter() time.Duration {
	return l.controller.cfg.ReportInterval*5/4 + 6*time.Second
}

// watchMachines looks for machines that have fallen silent. Silence proves
// nothing; releasing the machine does, and takes a moment.
func (l *leader) watchMachines() {
	c := l.controller
	stalled := l.stalled()
	if l.phase == settling && l.shards == nil && c.now.Sub(l.loadedAt) > askAfter {
		l.askUnreached()
	}
	if l.phase != active {
		return
	}
	if stalled || c.storeDown() || !l.holdsLease() {
		// Nothing could be moved now, and workers that got no answer from this
		// node look for another: their silence counts anew from here.
		l.deaf = c.now
		return
	}
	s := l.survey()
	l.doubtful = s.doubtful
	l.probeSome(s.ask)
	if l.shards == nil && l.givesWay(s) || l.shards != nil && l.shards.givesWay() {
		return
	}
	l.giveUp(s)
}

// askUnreached asks the workers that nothing of ours has reached yet.
func (l *leader) askUnreached() {
	var ask []*machine
	for _, m := range l.fleetList {
		// One that came by itself soon shows our token in its next report.
		if m.reached.IsZero() && (!m.up && m.inherited || m.up && l.controller.now.Sub(m.firstHeard) > tokenSoon) {
			ask = append(ask, m)
		}
	}
	l.probeSome(ask)
}

// survey is how the machines were at a moment.
type survey struct {
	silent   []*machine // to be given up
	ask      []*machine // to be asked
	groups   map[reachGroup]*reach
	doubtful map[string]bool
	// Of those that were up for this leader, those that don't answer calls.
	known, lost int
	// Of those that an earlier leader knew, those that were heard, and those that don't
	// answer calls either.
	inherited, heard, mute int
}

func (l *leader) survey() *survey {
	s := &survey{groups: map[reachGroup]*reach{}, doubtful: map[string]bool{}}
	for _, m := range l.fleetList {
		since, expected := l.silentSince(m)
		if m.inherited && expected { // others may be booting yet
			s.countInherited(m)
		}
		if expected {
			s.add(l, m, l.controller.now.Sub(since))
		}
	}
	return s
}

// silentSince is since when a machine is silent, if its worker should be up.
func (l *leader) silentSince(m *machine) (since time.Time, expected bool) {
	since = m.heard
	if !m.up {
		if len(m.attempts) == 0 {
			return since, false
		}
		// It ran tasks for an earlier leader. Those that were asked since the records
		// were read have been silent since then.
		since = l.settled
		if m.probeFails >= 3 {
			since = l.loadedAt
		}
	}
	if l.shards != nil {
		heard, ok := l.shards.heardSince(m)
		if !ok {
			return l.controller.now, true // nobody tells of it
		}
		since = latest(since, heard)
	}
	return latest(since, l.deaf), true
}

func (s *survey) countInherited(m *machine) {
	s.inherited++
	switch {
	case m.up:
		s.heard++
	case m.probeFails >= 3:
		s.mute++
	}
}

// add takes in a machine that was silent for a time.
func (s *survey) add(l *leader, m *machine, silent time.Duration) {
	key := l.reachGroup(m)
	z := s.groups[key]
	if z == nil {
		z = &reach{}
		s.groups[key] = z
	}
	z.machines++
	if silent > l.suspectAfter() || m.probeFails > 0 {
		z.late++
	}
	if m.probeFails > 0 {
		s.doubtful[m.Zone] = true
	}
	if m.up {
		s.known++
		if m.probeFails >= lostAfterFails {
			s.lost++
		}
	}
	if l.wantsProbe(m, silent) {
		s.ask = append(s.ask, m)
	}
	if l.lost(m, silent) {
		s.silent = append(s.silent, m)
	}
}

// givesWay lets another node lead that may reach machines which this one doesn't, and
// reports whether it did.
//
// Only machines that this leader has heard count as lost: another node may still reach
// them. Where it doesn't, it won't have heard them either and stays. Counting all, leaders
// of a cluster that had lost most machines for good handed over to one another without
// end. It comes before any release: a leader that an outage kept from seeing it in time
// returned its whole fleet.
//
// Nor is it the one to lead if it never heard most of those that the leader before knew,
// while another node hasn't tried. Those that don't answer calls either needn't be waited
// for: with two nodes in a row that were cut off from the workers, all leases were over
// before the third led.
func (l *leader) givesWay(s *survey) bool {
	c := l.controller
	if s.known > 2 && s.lost*2 > s.known && c.now.Sub(l.settled) > 2*time.Second && c.resignUnfit("most machines are out of reach") {
		return true
	}
	unheard := s.inherited > 2 && s.heard*3 < s.inherited
	waited := s.mute*3 > s.inherited*2 || c.now.Sub(l.loadedAt) > l.unheardAfter()
	return unheard && waited && c.resignUnfit("few machines are heard")
}

// giveUp returns silent machines, but for those whose zone is rather cut off, and those
// that are kept for their replicas.
func (l *leader) giveUp(s *survey) {
	c := l.controller
	h := l.newHolds()
	for _, m := range s.silent {
		if l.serves(m) {
			l.endSilent(m)
		}
		quiet := c.now.Sub(latest(m.heard, m.reached, l.deaf, l.elected))
		if s.groups[l.reachGroup(m)].cut() && quiet <= c.cfg.WorkerLease {
			continue
		}
		if m.releasing || !h.keep(m, quiet) {
			l.release(m, whySilent)
		}
	}
	l.fleet.held = h.jobs
	if len(h.jobs) > 0 {
		l.fleetSoon()
	}
}

// lost reports whether a machine that was silent for a time is to be given up.
func (l *leader) lost(m *machine, silent time.Duration) bool {
	unreached, unreported := l.unreached(m), l.unreported(m)
	if l.shards != nil {
		// All of it is the word of who serves the machine: while nobody is heard it says
		// nothing, and what was told before is no older than since it is heard again.
		since, heard := l.shards.heardSince(m)
		if !heard {
			return false
		}
		told := l.controller.now.Sub(since)
		unreached, unreported = min(unreached, told), min(unreported, told)
	}
	return silent > l.releaseAfter() || silent > giveUpAfter && m.probeFails >= 3 ||
		unreached > l.deafAfter() && m.probeFails >= 4 || unreported > 2*l.controller.cfg.WorkerLease
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// reachGroup is machines that a cut would part from their controller together: those of a
// zone that one controller serves.
type reachGroup struct{ owner, zone string }

func (l *leader) reachGroup(m *machine) reachGroup {
	if l.shards == nil {
		return reachGroup{zone: m.Zone}
	}
	return reachGroup{l.shards.s.ownerName(m.shard), m.Zone}
}

// reach is how many machines of a group answer.
type reach struct{ machines, late int }

// cut reports whether the silence of a group's machines speaks for a cut rather
// than for their deaths: most of them are late at once. Reports come at different
// times, so those that are only late by now count, too.
func (r *reach) cut() bool { return r.late > 2 && r.late*5 > r.machines*3 }

func (c *Controller) otherZone() bool {
	for i := range c.cfg.Peers {
		if c.cfg.Peers[i].Zone != c.cfg.Zone {
			return true
		}
	}
	return false
}
