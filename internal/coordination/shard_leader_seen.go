package coordination

import (
	"time"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// take takes a line of an owner's.
func (sl *shardLeader) take(from string, seen *shard.Observations) {
	c := sl.l.controller
	k := sl.links[from]
	if k == nil || k.member != seen.Epoch.Member || sl.l.phase == phaseLoading {
		return
	}
	k.heard = c.now
	taken := k.link.Take(seen.Header)
	sl.takeGrants(k, seen.Grants)
	if taken {
		sl.takeSeen(k, seen)
	}
	if k.link.AckDue() || k.blocked && !k.link.Full() {
		sl.soon(k)
	}
}

// takeGrants notes which shards an owner serves, and tells of their machines.
func (sl *shardLeader) takeGrants(k *ownerLink, grants map[shard.ID]uint64) {
	for id := range k.told {
		if grants[id] != k.told[id] {
			delete(k.told, id)
		}
	}
	for id, term := range grants {
		owner, ok := sl.s.table.Owner(id)
		if !ok || owner.Member != k.member || owner.Term != term {
			continue // it speaks of an earlier time, or ahead of our watch
		}
		if _, ok := sl.heard[id]; !ok {
			sl.heard[id] = sl.l.controller.now
		}
		if k.told[id] != 0 {
			continue
		}
		// The silence that another owner told of isn't this one's.
		sl.heard[id] = sl.l.controller.now
		k.told[id] = term
		sl.moveServed(k, id)
		for _, m := range sl.l.fleetList {
			if m.shard == id && m.served() {
				k.listed[m] = true
			}
		}
		sl.soon(k)
	}
}

// may gives a machine that an owner may speak of: one of a shard that it serves under the
// grant that the state service shows. What an owner saw before is not taken later: its
// successor may have started what it saw missing.
func (sl *shardLeader) may(k *ownerLink, name string) *machine {
	m := sl.l.machines[name]
	if m == nil || k.told[m.shard] == 0 {
		return nil
	}
	owner, ok := sl.s.table.Owner(m.shard)
	if !ok || owner.Member != k.member || owner.Term != k.told[m.shard] {
		return nil
	}
	return m
}

// takeSeen takes what an owner saw.
func (sl *shardLeader) takeSeen(k *ownerLink, seen *shard.Observations) {
	l := sl.l
	for i := range seen.Workers {
		if m := sl.may(k, seen.Workers[i].Machine); m != nil {
			sl.takeWorker(m, &seen.Workers[i])
		}
	}
	for i := range seen.States {
		s := &seen.States[i]
		if a := sl.attempt(k, &s.Task); a != nil {
			a.reported = true
			l.taskStateReported(a, s.State)
		}
	}
	for i := range seen.Exits {
		sl.takeExit(k, &seen.Exits[i])
	}
	for i := range seen.Gone {
		g := &seen.Gone[i]
		if a := sl.attempt(k, &g.Task); a != nil {
			l.detach(a, g.Why)
		}
	}
	for i := range seen.Strays {
		t := &seen.Strays[i]
		if m := sl.may(k, t.Machine); m != nil && sl.attempt(k, t) == nil {
			k.line.Stops = append(k.line.Stops, shard.Stop{Task: *t})
			sl.soon(k)
		}
	}
	if seen.Status != nil {
		sl.takeStatus(k, seen.Status)
	}
}

// attempt is the attempt that an owner speaks of, if it is on that machine for all we know.
func (sl *shardLeader) attempt(k *ownerLink, t *shard.Task) *attempt {
	m := sl.may(k, t.Machine)
	if m == nil {
		return nil
	}
	if a := m.attempts[taskKey{t.Job, t.Index}]; a != nil && a.number == t.Attempt {
		return a
	}
	return nil
}

func (sl *shardLeader) takeWorker(m *machine, w *shard.Worker) {
	l, c := sl.l, sl.l.controller
	if m.Zone != w.Zone || m.Type != w.Type || m.Spot != w.Spot {
		m.Zone, m.Type, m.Spot = w.Zone, w.Type, w.Spot
		m.Spec = c.types[m.Type]
	}
	if w.Addr != "" && w.Addr != m.addr {
		m.addr = w.Addr
		l.addressChanged(m)
	}
	if w.Session == 0 {
		return // not heard by this owner yet
	}
	if !m.registered {
		m.registered, m.registeredAt = true, c.now
		l.workerRegistered(m)
	}
	if w.Session != m.incarnation {
		m.incarnation = w.Session
		l.incarnationBegan(m)
	}
	sl.moveAnswered(m.shard)
	m.lastSeen, m.lastAnswered = c.now, c.now
	if w.Reached {
		l.workerReached(m)
		m.lastReached = c.now
	}
	if w.Notice > 0 && m.preemptionAt.IsZero() {
		m.preemptionAt = c.now.Add(time.Duration(w.Notice) * time.Millisecond)
		l.preemptionNoticed(m)
	}
	if w.Compared && !m.reconciled {
		m.reconciled = true
		l.tasksReconciled(m)
	}
	if w.Anew && !m.draining {
		l.incarnationReset(m)
	}
}

func (sl *shardLeader) takeExit(k *ownerLink, e *shard.Exit) {
	m := sl.may(k, e.Machine)
	if m == nil {
		return
	}
	t := protocol.TaskReport{Job: e.Job, Index: e.Index, Attempt: e.Attempt, State: protocol.Exited, Why: e.Why, Saved: e.Saved}
	if sl.l.taskExitReported(m, sl.attempt(k, &e.Task), &t) {
		sl.tellForget(e.Task)
		return
	}
	sl.l.jobs[e.Job].task(e.Index).exit = &e.Task // told once the result is recorded
}

// takeStatus takes how an owner's workers are: those that it doesn't name are well.
func (sl *shardLeader) takeStatus(k *ownerLink, s *shard.Status) {
	l, c := sl.l, sl.l.controller
	k.status = *s
	if s.Part == 0 || k.late == nil {
		k.late = map[string]*shard.Late{}
	}
	for i := range s.Late {
		k.late[s.Late[i].Machine] = &s.Late[i]
	}
	if s.More {
		return // who is well shows once all parts are there
	}
	late := k.late
	k.late = nil
	known, lost := 0, 0
	for _, m := range l.fleetList {
		if k.told[m.shard] == 0 || sl.may(k, m.Name) == nil {
			continue
		}
		if m.registered {
			known++
		}
		w := late[m.Name]
		if w == nil {
			if m.registered {
				m.lastSeen, m.lastAnswered, m.failedProbes = c.now, c.now, 0
				if !m.lastReached.IsZero() {
					l.workerReached(m)
					m.lastReached = c.now
				}
			}
			continue
		}
		if m.registered && (w.Fails >= unreachableProbes || time.Duration(w.Unreported)*time.Millisecond > c.unansweredMost()) {
			lost++
		}
		m.failedProbes = w.Fails
		if m.registered {
			m.lastSeen = c.now.Add(-time.Duration(w.Silent) * time.Millisecond)
			m.lastAnswered = c.now.Add(-time.Duration(w.Unreported) * time.Millisecond)
			if !m.lastReached.IsZero() {
				m.lastReached = c.now.Add(-time.Duration(w.Unreached) * time.Millisecond)
			}
		}
		if w.Fails > 0 {
			l.probeFailed(m)
		}
	}
	k.blind = shard.Blind(known, lost)
	sl.noteUntried(k)
	if k.blind {
		sl.plan()
	}
}
