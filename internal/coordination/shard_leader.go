package coordination

import (
	"maps"
	"slices"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// shardLeader is the leader's part in shards: it decides who owns them, tells owners what
// is to run, and takes what they saw.
type shardLeader struct {
	l        *lead
	s        *sharding
	count    int  // of shards that there are to be
	retiring bool // they are to be given up: the leader is to serve all machines again
	planner  *shard.Planner
	links    map[string]*ownerLink  // by node
	heard    map[shard.ID]time.Time // since when the owner of a shard is heard without a break
	writing  bool                   // a change of owners is under way
	oddSince map[shard.ID]time.Time // since when a record can't be read
	oddSeen  map[shard.ID]uint64    // that record's version
}

// ownerLink is how the leader talks to one owner.
type ownerLink struct {
	member shard.Member
	link   *shard.Link
	line   shard.Instructions  // that is being filled
	listed map[*machine]bool   // machines whose complete lists are to be told in it
	told   map[shard.ID]uint64 // shards whose machines were told, and under which term
	due    bool
	// blocked says that more waits to be told until lines are acknowledged.
	blocked bool
	sentAt  time.Time
	heard   time.Time // when it last told something
	status  shard.Status
	late    map[string]*shard.Late // of the parts of a status that came so far
	blind   bool                   // it doesn't reach most of its workers
}

// ownerQuiet is after how long without a line an owner's word on its workers counts for
// nothing.
const ownerQuiet = 2500 * time.Millisecond

func newShardLeader(l *lead, s *sharding, retiring bool) *shardLeader {
	c := 1
	if sh := l.n.op.Sharding; sh != nil {
		c = sh.ShardsPerController * (1 + len(l.n.cfg.Peers))
	}
	return &shardLeader{l: l, s: s, count: c, retiring: retiring, planner: shard.NewPlanner(), links: map[string]*ownerLink{},
		heard: map[shard.ID]time.Time{}, oddSince: map[shard.ID]time.Time{}, oddSeen: map[shard.ID]uint64{}}
}

// changed acts on new owners and members.
func (sl *shardLeader) changed() {
	n := sl.l.n
	for _, m := range sl.s.table.Members() {
		k := sl.links[m.Node]
		if k != nil && k.member == m.Member {
			continue
		}
		sl.links[m.Node] = &ownerLink{member: m.Member, link: shard.NewLink(shard.Epoch{Term: sl.l.term, Member: m.Member}),
			listed: map[*machine]bool{}, told: map[shard.ID]uint64{}, heard: n.now}
		sl.soon(sl.links[m.Node])
	}
	for node := range sl.links {
		if m, _ := sl.s.table.Member(node); m.Node == "" {
			delete(sl.links, node)
		}
	}
	for _, id := range sl.s.table.IDs() {
		if sl.owner(id) == nil {
			delete(sl.heard, id)
		}
	}
	sl.plan()
}

// owner is the link to who serves a shard, nil when nobody does.
func (sl *shardLeader) owner(id shard.ID) *ownerLink {
	grant, ok := sl.s.table.Owner(id)
	if !ok {
		return nil
	}
	if k := sl.links[grant.Node]; k != nil && k.member == grant.Member {
		return k
	}
	return nil
}

// heardSince is since when the owner of a machine's shard has been heard without a break;
// without one, silence of the machine says nothing.
func (sl *shardLeader) heardSince(m *machine) (time.Time, bool) {
	since, ok := sl.heard[m.shard]
	k := sl.owner(m.shard)
	if !ok || k == nil || sl.l.n.now.Sub(k.heard) > ownerQuiet {
		delete(sl.heard, m.shard)
		return time.Time{}, false
	}
	return since, true
}

// redirect tells a worker who serves it.
func (sl *shardLeader) redirect(id uint64, r *protocol.Report, body []byte) {
	l, n := sl.l, sl.l.n
	if _, ok := l.gone[r.Machine]; ok && l.machines[r.Machine] == nil {
		n.reply(id, 503, protocol.ErrorAnswer("the machine was returned"))
		return
	}
	m := l.machines[r.Machine]
	if m == nil {
		m = l.adopt(r.Machine, r.Type, r.Zone, r.Spot, 0)
	}
	name := sl.s.ownerName(m.shard)
	if name == "" || name == n.cfg.Name {
		n.holdForLeader(id, body) // it is about to be served
		return
	}
	n.reply(id, 421, protocol.Redirect(name))
}

// deliver tells the owner of an attempt's machine what is wanted of it.
func (sl *shardLeader) deliver(a *attempt) {
	k := sl.owner(a.machine.shard)
	if k == nil || k.told[a.machine.shard] == 0 || k.listed[a.machine] {
		return // all of it will be told with the machine
	}
	switch {
	case a.stop && (a.told || a.inherited):
		k.line.Stops = append(k.line.Stops, shard.Stop{Task: attemptTask(a), Grace: a.grace.Milliseconds()})
	case a.recorded && !a.told && !a.inherited:
		a.told = true
		k.line.Runs = append(k.line.Runs, shard.Run{Task: attemptTask(a)})
	default:
		return
	}
	sl.soon(k)
}

// tellMachine tells the owner of a machine that is new to it.
func (sl *shardLeader) tellMachine(m *machine) {
	if k := sl.owner(m.shard); k != nil && k.told[m.shard] != 0 {
		k.listed[m] = true
		sl.soon(k)
	}
}

// tellGone tells the owner of a machine that it is gone.
func (sl *shardLeader) tellGone(m *machine) {
	if k := sl.owner(m.shard); k != nil {
		delete(k.listed, m)
		k.line.Gone = append(k.line.Gone, m.name)
		sl.soon(k)
	}
}

func (sl *shardLeader) tellForget(t shard.Task) {
	m := sl.l.machines[t.Machine]
	if m == nil {
		return
	}
	if k := sl.owner(m.shard); k != nil {
		k.line.Forgets = append(k.line.Forgets, t)
		sl.soon(k)
	}
}

// soon wants a line sent to an owner.
func (sl *shardLeader) soon(k *ownerLink) {
	if k.due {
		return
	}
	k.due = true
	n := sl.l.n
	n.after(max(0, k.sentAt.Add(lineEvery).Sub(n.now)), func() {
		k.due = false
		if sl.l.alive() && sl.links[k.member.Node] == k {
			sl.flush(k)
		}
	})
}

// flush sends what there is to tell an owner, as far as lines may be on their way.
func (sl *shardLeader) flush(k *ownerLink) {
	if sl.l.phase == loading {
		return
	}
	if k.link.NeedsReset() {
		sl.beginAccount(k)
	}
	first := true
	for ; !k.link.Full() && (first || !k.line.Empty() || len(k.listed) > 0); first = false {
		line, room := k.line.Cut(lineRoom)
		if k.line.Empty() && len(k.listed) > 0 {
			line.Machines = append(line.Machines, sl.nextMachines(k, room)...)
		}
		sl.send(k, line)
	}
	k.blocked = !k.line.Empty() || len(k.listed) > 0
}

// beginAccount wants all machines told of that an owner serves.
func (sl *shardLeader) beginAccount(k *ownerLink) {
	k.line, k.listed = shard.Instructions{}, map[*machine]bool{}
	for _, m := range sl.l.fleetList {
		if k.told[m.shard] != 0 && m.served() {
			k.listed[m] = true
		}
	}
}

// nextMachines takes machines that an owner is to be told of, one at the least, as far as
// there is room in a line.
func (sl *shardLeader) nextMachines(k *ownerLink, room int) []shard.Machine {
	var list []shard.Machine
	for _, m := range sl.l.fleetList {
		if !k.listed[m] {
			continue
		}
		size := sl.sizeInLine(m)
		if size > room && (len(list) > 0 || room < lineRoom) {
			return list
		}
		room -= size
		list = append(list, sl.machine(m, k.told[m.shard]))
		delete(k.listed, m)
		if len(k.listed) == 0 {
			return list
		}
	}
	clear(k.listed) // of machines that are gone
	return list
}

// sizeInLine is about how long a machine is in a line.
func (sl *shardLeader) sizeInLine(m *machine) int {
	entry := shard.Machine{Name: m.name, Addr: m.addr, Type: m.typ, Zone: m.zone}
	size := entry.Size()
	for _, a := range m.list {
		size += shard.RunSize(m.name, a.job.ID)
	}
	return size
}

func (sl *shardLeader) send(k *ownerLink, line shard.Instructions) {
	n := sl.l.n
	content := k.link.NeedsReset() || !line.Empty()
	line.Header = k.link.Next(n.now, content)
	k.sentAt = n.now
	n.sendShardLine(k.member.Node, shardLine{Instructions: &line})
}

// machine is a machine with all attempts that may be on it.
func (sl *shardLeader) machine(m *machine, term uint64) shard.Machine {
	k := shard.Machine{Shard: m.shard, Term: term, Name: m.name, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
		Up: m.up || m.inherited && !sl.l.booting(m)}
	for _, a := range m.sorted() {
		if !a.recorded {
			continue
		}
		k.Runs = append(k.Runs, shard.Run{Task: attemptTask(a), New: !a.told && !a.inherited, Stop: a.stop, Grace: a.grace.Milliseconds()})
		a.told = true
	}
	return k
}

// served reports whether a machine's shard is on record, so that an owner may be told.
func (m *machine) served() bool {
	return m.shard != 0 && m.group != nil && m.group.applied && m.recorded
}

// take takes a line of an owner's.
func (sl *shardLeader) take(from string, seen *shard.Observations) {
	n := sl.l.n
	k := sl.links[from]
	if k == nil || k.member != seen.Epoch.Member || sl.l.phase == loading {
		return
	}
	k.heard = n.now
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
			sl.heard[id] = sl.l.n.now
		}
		if k.told[id] != 0 {
			continue
		}
		k.told[id] = term
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
			a.seen = true
			l.stateReported(a, s.State)
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
	l, n := sl.l, sl.l.n
	if m.zone != w.Zone || m.typ != w.Type || m.spot != w.Spot {
		m.zone, m.typ, m.spot = w.Zone, w.Type, w.Spot
		m.spec = n.types[m.typ]
	}
	if w.Addr != "" && w.Addr != m.addr {
		m.addr = w.Addr
		l.addressChanged(m)
	}
	if w.Session == 0 {
		return // not heard by this owner yet
	}
	if !m.up {
		m.up, m.firstHeard = true, n.now
		l.machineUp(m)
	}
	if w.Session != m.session {
		m.session = w.Session
		l.sessionBegan(m)
	}
	m.heard, m.answered = n.now, n.now
	if w.Reached {
		l.machineReached(m)
		m.reached = n.now
	}
	if w.Notice > 0 && m.noticeAt.IsZero() {
		m.noticeAt = n.now.Add(time.Duration(w.Notice) * time.Millisecond)
		l.noticeCame(m)
	}
	if w.Compared && !m.reconciled {
		m.reconciled = true
		l.tasksCompared(m)
	}
	if w.Anew && !m.draining {
		l.beganAnew(m)
	}
}

func (sl *shardLeader) takeExit(k *ownerLink, e *shard.Exit) {
	m := sl.may(k, e.Machine)
	if m == nil {
		return
	}
	t := protocol.TaskReport{Job: e.Job, Index: e.Index, Attempt: e.Attempt, State: protocol.Exited, Why: e.Why, Saved: e.Saved}
	if sl.l.exitReported(m, sl.attempt(k, &e.Task), &t) {
		sl.tellForget(e.Task)
		return
	}
	sl.l.jobs[e.Job].task(e.Index).exit = &e.Task // told once the result is recorded
}

// takeStatus takes how an owner's workers are: those that it doesn't name are well.
func (sl *shardLeader) takeStatus(k *ownerLink, s *shard.Status) {
	l, n := sl.l, sl.l.n
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
		if k.told[m.shard] == 0 || sl.may(k, m.name) == nil {
			continue
		}
		if m.up {
			known++
		}
		w := late[m.name]
		if w == nil {
			if m.up {
				m.heard, m.answered, m.probeFails = n.now, n.now, 0
				if !m.reached.IsZero() {
					l.machineReached(m)
					m.reached = n.now
				}
			}
			continue
		}
		if m.up && w.Fails >= 2 {
			lost++
		}
		m.probeFails = w.Fails
		if m.up {
			m.heard = n.now.Add(-time.Duration(w.Silent) * time.Millisecond)
			m.answered = n.now.Add(-time.Duration(w.Unreported) * time.Millisecond)
			if !m.reached.IsZero() {
				m.reached = n.now.Add(-time.Duration(w.Unreached) * time.Millisecond)
			}
		}
		if w.Fails > 0 {
			l.probeFailed(m)
		}
	}
	k.blind = known > 2 && lost*2 > known
}

// ownersLate reports whether an owner told lately that its timers fire too late.
func (sl *shardLeader) ownersLate() bool {
	for _, k := range sl.links {
		if k.status.Load.Lag > lagLate && sl.l.n.now.Sub(k.heard) <= carefulFor {
			return true
		}
	}
	return false
}

// step is the regular turn: it watches the links and plans.
func (sl *shardLeader) step() {
	if !sl.s.read || sl.l.phase == loading {
		return
	}
	for _, node := range sl.nodes() {
		k := sl.links[node]
		k.link.Check(sl.l.n.now)
		if k.link.NeedsReset() || k.link.AckDue() {
			sl.soon(k)
		}
	}
	sl.plan()
}

func (sl *shardLeader) nodes() []string {
	var nodes []string
	for node := range sl.links {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// plan decides on owners, and writes one change at a time.
func (sl *shardLeader) plan() {
	l, n := sl.l, sl.l.n
	if sl.writing || !sl.s.read || l.phase == loading || n.storeDown() || !n.now.Before(l.right.validUntil) {
		return
	}
	if c := sl.withdrawal(); c != nil {
		sl.write(c)
		return
	}
	decisions := sl.planner.Plan(n.now, sl.controllers(), sl.shards())
	var vacant []shard.Assignment
	for _, d := range decisions {
		if d.Why == shard.ReasonVacant && len(vacant) < sl.assignAtOnce() {
			vacant = append(vacant, d.Assignment)
		}
	}
	if len(vacant) > 0 {
		sl.write(sl.s.table.Assign(vacant, sl.authority()))
		return
	}
	for _, d := range decisions {
		if c := sl.s.table.Intend(d.ID, d.To, sl.authority()); c != nil {
			n.log.Info("moving shard", "shard", d.ID, "to", d.To.Node, "why", d.Why.String())
			sl.write(c)
			return
		}
	}
}

// assignAtOnce is how many shards one transaction assigns: each takes a change, as do the
// terms and the mark that there are shards.
func (sl *shardLeader) assignAtOnce() int { return max(1, sl.l.n.cfg.TxnOps-2) }

func (sl *shardLeader) authority() shard.Authority {
	e := &sl.l.n.election
	return shard.Authority{LeaderVersion: sl.l.version, Term: e.term, TermVersion: e.termVersion, Marked: e.sharded}
}

// withdrawal takes an intent back whose member is gone.
func (sl *shardLeader) withdrawal() *shard.Change {
	for _, id := range sl.s.table.IDs() {
		r, _, ok := sl.s.table.Record(id)
		if ok && r.Next != nil && !sl.s.table.Alive(r.Next.Member) && sl.s.table.Alive(r.Owner.Member) {
			return sl.s.table.Withdraw(id, sl.authority())
		}
	}
	return nil
}

// write carries a change of owners out.
func (sl *shardLeader) write(c *shard.Change) {
	l, n := sl.l, sl.l.n
	if len(c.Txn.Then) == 0 {
		return
	}
	sl.writing = true
	l.journal.budget.Spend(n.now, float64(len(c.Txn.Then)))
	n.storeTxn(&c.Txn, func(r txnResult, revision uint64, failed []string) {
		if !l.alive() {
			return
		}
		if r == txnApplied {
			sl.writing = false
			sl.applied(c, revision)
			return
		}
		if slices.Contains(failed, bookkeeping.KeyLeader) {
			n.stepDown("the leader key has changed")
			return
		}
		// It may have been applied, or may yet be: what stands there decides.
		n.after(200*time.Millisecond, sl.readAgain)
	})
}

func (sl *shardLeader) applied(c *shard.Change, revision uint64) {
	e := &sl.l.n.election
	if c.Term > e.term {
		e.term, e.termVersion = c.Term, revision
	}
	sl.s.table.Applied(c, revision)
	sl.s.changed()
}

// readAgain reads the terms and owners afresh before anything is changed again.
func (sl *shardLeader) readAgain() {
	if !sl.l.alive() {
		return
	}
	sl.l.n.storeGet(bookkeeping.KeyTerm, func(it protocol.Item, found, ok bool) {
		if !sl.l.alive() {
			return
		}
		if !ok || !found {
			sl.l.n.after(200*time.Millisecond, sl.readAgain)
			return
		}
		sl.l.n.electionKey(it.Key, it.Value, it.Version)
		sl.writing = false
		sl.s.readTable()
	})
}

// controllers are the members as the planner sees them.
func (sl *shardLeader) controllers() []shard.Controller {
	n := sl.l.n
	var list []shard.Controller
	for _, m := range sl.s.table.Members() {
		c := shard.Controller{Member: m.Member, Zone: m.Zone, Draining: m.Draining}
		if k := sl.links[m.Node]; k != nil && k.member == m.Member {
			c.Load, c.Blind, c.Silent = k.status.Load, k.blind, n.now.Sub(k.heard)
			c.Fit = !k.blind && c.Silent <= ownerQuiet && c.Load.Lag <= lagLate
		}
		if sl.retiring && m.Node != n.cfg.Name {
			c.Draining = true
		}
		list = append(list, c)
	}
	return list
}

// shards are those that there are, and those that are to be, as the planner sees them.
func (sl *shardLeader) shards() []shard.Shard {
	machines := map[shard.ID]map[string]int{}
	for _, m := range sl.l.fleetList {
		if machines[m.shard] == nil {
			machines[m.shard] = map[string]int{}
		}
		machines[m.shard][m.zone]++
	}
	ids := sl.s.table.IDs()
	if !sl.retiring {
		for id := shard.ID(1); id <= shard.ID(sl.count); id++ {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var list []shard.Shard
	for _, id := range slices.Compact(ids) {
		if s, ok := sl.planned(id, machines[id]); ok {
			list = append(list, s)
		}
	}
	return list
}

// planned is a shard as the planner sees it; false when nothing can be planned for it.
func (sl *shardLeader) planned(id shard.ID, zones map[string]int) (shard.Shard, bool) {
	s := shard.Shard{ID: id}
	for zone, count := range zones {
		s.Machines += count
		if most := zones[s.Zone]; s.Zone == "" || count > most || count == most && zone < s.Zone {
			s.Zone = zone
		}
	}
	if version, odd := sl.s.table.Unreadable(id); odd {
		s.Vacant = true
		return s, sl.surelyEnded(id, version)
	}
	r, _, ok := sl.s.table.Record(id)
	s.Owner, s.Moving = r.Owner.Member, r.Next != nil
	s.Vacant = !ok || !sl.s.table.Alive(r.Owner.Member)
	return s, true
}

// surelyEnded reports whether whoever owned a shard whose record can't be read has surely
// stopped answering: an owner that reads such a record stops at once, and one that can't
// read it is at the end of what it knows.
func (sl *shardLeader) surelyEnded(id shard.ID, version uint64) bool {
	n := sl.l.n
	if sl.oddSeen[id] != version {
		sl.oddSeen[id], sl.oddSince[id] = version, n.now
	}
	return n.now.Sub(sl.oddSince[id]) > n.answersFor()+drift(n.cfg.CancelWithin)+proofMargin
}

// shardFor is the shard that a new machine's record is to be in, 0 for none: the smallest
// one with machines of its zone only.
func (l *lead) shardFor(m *machine) shard.ID {
	if l.shards == nil {
		return 0
	}
	machines, foreign := map[shard.ID]int{}, map[shard.ID]bool{}
	for _, k := range l.fleetList {
		machines[k.shard]++
		if k.zone != m.zone {
			foreign[k.shard] = true
		}
	}
	best := shard.ID(1)
	for id := shard.ID(2); id <= shard.ID(l.shards.count); id++ {
		if foreign[id] != foreign[best] {
			if foreign[best] {
				best = id
			}
			continue
		}
		if machines[id] < machines[best] {
			best = id
		}
	}
	return best
}

// shardMachines moves machines whose record names no shard to records that do. Where both
// stand, the one with a shard counts.
func (l *lead) shardMachines() {
	old := map[string]bool{}
	for _, m := range l.fleetList {
		if m.group == nil || m.group.shard != 0 {
			continue
		}
		if m.group.applied && !old[m.group.key] {
			old[m.group.key] = true
		}
		l.journal.putMachine(m)
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		l.journal.remove(key)
	}
}
