package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// machine is one rented machine and what is known of it.
type machine struct {
	name, addr string
	typ, zone  string
	spot       bool
	spec       *protocol.MachineType
	rented     time.Time
	inherited  bool // known from an earlier leader's record
	recorded   bool // its own record is written: placements may name it
	removed    bool

	// From reports.
	up         bool // it has reported to this leader
	session    uint64
	seq        uint64
	token      uint64    // highest it has seen
	reconciled bool      // its tasks were compared with the records
	tookOver   time.Time // when it was first heard with a token of this term
	heard      time.Time // last sign of life
	answered   time.Time // last time a report of it was answered
	reportSeq  uint64    // highest of a report of this session, responses aside
	// Reports may arrive while answers and commands don't reach the worker, and a
	// report may be a late copy. Neither is a sign that the machine is of use to us:
	// that takes a response to a call, or a report with a token we raised.
	reached    time.Time // last proof that something of ours arrived; zero: none yet
	firstHeard time.Time
	tokenSince time.Time // since when answers carry the machine's present token
	tokenSeen  bool      // a report has shown it
	noticeAt   time.Time // when the cloud takes it; zero without notice

	attempts        map[taskKey]*attempt
	cpus, gpus, mem float64 // taken by them
	services        float64 // CPUs taken by replicas
	emptySince      time.Time
	promised        usage // room that preemption frees for others
	promisedMem     float64
	images          imageCache
	wanted          map[string]int // images of the attempts on it

	fence       uint16 // raises the token for this worker alone
	directToken uint64 // of the last direct start: late copies of it die above it
	directBusy  bool
	directAsked bool
	directPause time.Time
	probing     bool
	probeFails  int // probes in a row without an answer

	failures  map[string]int // failed attempts by job since the last success
	sick      bool
	emptying  bool // takes new tasks only when no other has room
	draining  bool // to be returned: takes nothing more
	releasing bool // its release was asked for
	releaseAt time.Time
	missing   time.Time // since when lists that should show it don't
}

func (l *lead) newMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{name: name, typ: typ, zone: zone, spot: spot, spec: l.n.types[typ], rented: l.n.now,
		attempts: map[taskKey]*attempt{}, emptySince: l.n.now, failures: map[string]int{}, wanted: map[string]int{}}
	l.machines[name] = m
	l.fleetList = append(l.fleetList, m)
	return m
}

func (l *lead) loadMachine(it protocol.Item) {
	name, ok := cutPrefix(it.Key, bookkeeping.PrefixMachines)
	var r bookkeeping.Machine
	if !ok || json.Unmarshal(it.Value, &r) != nil {
		l.n.log.Error("unreadable machine record", "key", it.Key)
		return
	}
	m := l.machines[name]
	if m == nil {
		m = l.newMachine(name, r.Type, r.Zone, r.Spot)
	}
	m.recorded, m.inherited = true, true
	m.rented = time.UnixMilli(r.Rented)
	if m.rented.After(l.n.now) {
		m.rented = l.n.now
	}
	// Steady time only from here on.
	m.rented = l.n.now.Add(-l.n.now.Round(0).Sub(m.rented))
}

// adopt takes in a machine that no record tells of: rented by a request whose
// answer was lost, or by one that was carried out late.
func (l *lead) adopt(name, typ, zone string, spot bool, age time.Duration) *machine {
	m := l.newMachine(name, typ, zone, spot)
	m.rented = l.n.now.Add(-age)
	l.n.log.Info("unexpected machine adopted", "machine", name, "type", typ, "zone", zone, "spot", spot)
	if l.phase != loading {
		l.journal.putMachine(m)
	}
	return m
}

// machineToken is the token for one worker.
func (l *lead) machineToken(m *machine) uint64 { return l.token() | uint64(m.fence) }

// raiseFence makes the worker's token exceed one that it may have seen: that of
// a direct start, or its present one, when only a report with a new token can tell
// whether answers reach it. The fence never wraps: a lower token would be ignored.
func (l *lead) raiseFence(m *machine, above uint64) {
	if l.machineToken(m) <= above && m.fence < 1<<16-1 {
		m.fence++
		m.tokenSince, m.tokenSeen = l.n.now, false
	}
}

// report answers a worker.
func (n *Node) report(id uint64, body []byte) {
	l := n.lead
	if l == nil || !l.entitled() {
		// Never 200 here: it would hold the worker while its lease runs out.
		n.reply(id, 421, protocol.Redirect(n.leaderName()))
		return
	}
	r, err := protocol.ParseReport(body)
	if err != nil {
		n.reply(id, 400, protocol.ErrorAnswer("not a worker's report"))
		return
	}
	if r.Token>>16 > l.term {
		// A later leader has already spoken to this worker.
		n.stepDown("a worker has seen a later term")
		n.reply(id, 421, protocol.Redirect(""))
		return
	}
	if _, ok := l.gone[r.Machine]; ok && l.machines[r.Machine] == nil {
		// Proven gone, and names are not used again: a copy that comes late,
		// however much, brings no machine back.
		n.reply(id, 503, protocol.ErrorAnswer("the machine was returned"))
		return
	}
	m := l.machines[r.Machine]
	if m == nil {
		m = l.adopt(r.Machine, r.Type, r.Zone, r.Spot, 0)
	}
	if m.up && (r.Session < m.session || r.Session == m.session && r.Seq <= m.reportSeq) {
		// A copy, or a report that was held up: a worker has one report in flight,
		// so it has given this one up, and no answer of it can renew the lease.
		n.reply(id, 503, protocol.ErrorAnswer("a newer report came before"))
		return
	}
	if m.up && r.Session == m.session && r.Seq <= m.seq {
		// Overtaken by a response of the worker's. It tells nothing new, and orders
		// in its answer would be judged by the wrong list of tasks. But the answer
		// renews the lease all the same.
		m.answered, m.reportSeq = n.now, r.Seq
		n.reply(id, 200, protocol.ReportAnswer(l.machineToken(m), nil))
		return
	}
	m.answered = n.now
	orders := l.takeReport(m, r, true)
	n.reply(id, 200, protocol.ReportAnswer(l.machineToken(m), orders))
	if len(orders) > 0 {
		n.log.Debug("orders", "machine", m.name, "count", len(orders), "seq", r.Seq)
	}
}

// takeReport brings what is known of a machine up to a newer report. With
// reported set it came as a report, whose answer may carry orders; otherwise
// as the body of a response of the worker's.
func (l *lead) takeReport(m *machine, r *protocol.Report, reported bool) []protocol.Order {
	n := l.n
	if !m.up {
		m.up = true
		if m.zone != r.Zone || m.typ != r.Type || m.spot != r.Spot {
			m.zone, m.typ, m.spot = r.Zone, r.Type, r.Spot
		}
		m.firstHeard = n.now
		n.log.Debug("machine reports", "machine", m.name, "type", m.typ, "zone", m.zone, "session", r.Session)
		l.askPlace()
	}
	if m.spec == nil {
		m.spec = n.types[m.typ]
	}
	newSession := r.Session != m.session
	m.session, m.seq, m.token, m.heard = r.Session, r.Seq, r.Token, n.now
	if r.Addr != "" {
		m.addr = r.Addr
	}
	if m.tookOver.IsZero() && r.Token >= l.token() {
		m.tookOver = n.now
	}
	m.missing = time.Time{}
	if newSession {
		m.images.reset()
		m.reportSeq = 0
	}
	switch {
	case !reported:
		l.reached(m, n.now)
	case !m.tokenSeen && !m.tokenSince.IsZero() && r.Token >= l.machineToken(m):
		m.tokenSeen = true
		l.reached(m, m.tokenSince)
	}
	if reported {
		m.reportSeq = r.Seq
		if m.tokenSince.IsZero() { // its answer is the first of this leader's
			m.tokenSince = n.now
		}
		if m.reached.IsZero() && l.phase == active {
			l.probe(m)
		}
	}
	if r.HasNotice && m.noticeAt.IsZero() {
		m.noticeAt = n.now.Add(r.Notice)
		n.log.Info("machine will be taken", "machine", m.name, "in", r.Notice)
		l.drainNoticed(m)
	}
	if l.phase == loading {
		// Whether a task belongs here isn't known yet; the answer only renews
		// the lease. The same report's content will come again.
		m.seq = r.Seq
		return nil
	}
	if !m.reconciled {
		m.reconciled = true
		l.checkHeard()
	}
	var orders []protocol.Order
	present := make(map[*attempt]struct{}, len(r.Tasks))
	var clears []protocol.Order
	for i := range r.Tasks {
		t := &r.Tasks[i]
		a := m.attempts[taskKey{t.Job, t.Index}]
		if a != nil && a.number != t.Attempt {
			a = nil
		}
		if a != nil {
			present[a] = struct{}{}
			a.seen = true
		}
		if t.State == protocol.Exited {
			if l.exited(m, a, t) {
				clears = append(clears, protocol.Order{Kind: protocol.Forget, Job: t.Job, Index: t.Index, Attempt: t.Attempt})
			}
			continue
		}
		if a == nil {
			// Not a task of ours on this machine, or not any more.
			if reported {
				orders = append(orders, protocol.Order{Kind: protocol.Stop, Job: t.Job, Index: t.Index, Attempt: t.Attempt})
			}
			continue
		}
		if t.State == protocol.Running && a.state != protocol.Running {
			m.images.add(a.job.Image, a.job.ImageGB, m.cacheGB())
		}
		l.setState(a, t.State)
	}
	// Absent attempts, in a fixed order.
	if len(present) < len(m.attempts) {
		absent := make([]*attempt, 0, len(m.attempts)-len(present))
		for _, a := range m.attempts {
			if _, ok := present[a]; !ok {
				absent = append(absent, a)
			}
		}
		slices.SortFunc(absent, compareAttempts)
		for _, a := range absent {
			if o, ok := l.absent(m, a, r, reported); ok {
				orders = append(orders, o)
			}
		}
	}
	if !reported {
		return nil
	}
	for _, a := range m.sorted() {
		if _, ok := present[a]; ok && a.stop {
			if o, ok := l.stopOrder(a); ok {
				orders = append(orders, o)
			}
		}
	}
	// A cleared attempt is unknown to the worker, so that a late copy of its
	// direct start would start it once more. Copies below the worker's token
	// are refused: raise it, and clear once the worker is seen to know.
	if len(clears) > 0 {
		if m.directToken == 0 || r.Token > m.directToken {
			orders = append(orders, clears...)
		} else {
			l.raiseFence(m, m.directToken)
		}
	}
	return orders
}

// reached notes that something of ours arrived at the worker, at or after at.
func (l *lead) reached(m *machine, at time.Time) {
	m.probeFails = 0
	if m.reached.IsZero() {
		l.askPlace()
		l.checkHeard()
	}
	if at.After(m.reached) {
		m.reached = at
	}
}

// checkHeard ends the new leader's wait once nobody is left to be heard.
func (l *lead) checkHeard() {
	if l.phase != settling {
		return
	}
	if l.checkAsked {
		return
	}
	l.checkAsked = true
	l.n.after(10*time.Millisecond, func() {
		l.checkAsked = false
		if l.alive() && l.phase == settling && l.allHeard() {
			l.activate()
		}
	})
}

func compareAttempts(a, b *attempt) int {
	if a.job != b.job {
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	}
	return a.task - b.task
}

// sorted gives the machine's attempts in a fixed order.
func (m *machine) sorted() []*attempt {
	list := make([]*attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, compareAttempts)
	return list
}

// absent judges an attempt that a newer report lacks. Absence is proof only
// once nothing that was sent can still start it.
func (l *lead) absent(m *machine, a *attempt, r *protocol.Report, reported bool) (protocol.Order, bool) {
	none := protocol.Order{}
	if !a.recorded {
		return none, false
	}
	switch {
	case a.seen:
		l.detach(a, "no longer reported")
		return none, false
	case a.inherited:
		// An earlier leader may have sent the start, directly too. A worker
		// that has seen our token refuses it.
		if r.Token >= l.token() {
			l.detach(a, "not held by the worker")
		}
		return none, false
	case a.direct:
		return none, false // its response is on the way
	case a.directToken != 0 && r.Session > a.directSession:
		// Refused from now on, however late it comes: it names a session that is
		// over. Where answers don't reach the worker this proof comes alone.
		l.detach(a, "the worker's lease expired")
		return none, false
	case a.directToken != 0:
		// Unanswered: it may be carried out minutes later, until the worker
		// has seen a higher token.
		if r.Token <= a.directToken {
			l.raiseFence(m, a.directToken)
			return none, false
		}
		a.directToken = 0
	case a.sentSession != 0 && a.sentSession != r.Session:
		l.detach(a, "the worker's lease expired")
		return none, false
	case a.sentSession != 0 && (!reported || r.Seq <= a.sentSeq):
		// A response of the worker's may be older than the answer that carries
		// the start; only its next report proves that the answer was lost.
		return none, false
	}
	if a.stop || l.n.storeDown() {
		if a.stop {
			l.detach(a, "never started")
		}
		return none, false
	}
	if !reported {
		l.directSoon(m)
		return none, false
	}
	a.sentSession, a.sentSeq = r.Session, r.Seq
	return startOrder(a), true
}

func startOrder(a *attempt) protocol.Order {
	return protocol.Order{Kind: protocol.Start, Job: a.job.ID, Index: a.task, Attempt: a.number}
}

// stopOrder gives the order that ends an attempt, unless it is saving in the
// time it was given.
func (l *lead) stopOrder(a *attempt) (protocol.Order, bool) {
	if a.state == protocol.Saving && a.grace > 0 {
		return protocol.Order{}, false
	}
	return protocol.Order{Kind: protocol.Stop, Job: a.job.ID, Index: a.task, Attempt: a.number, Grace: a.grace}, true
}

// exited takes an exited task of a report and tells whether the worker may
// forget it.
func (l *lead) exited(m *machine, a *attempt, t *protocol.TaskReport) bool {
	j := l.jobs[t.Job]
	if t.Why == protocol.ExitDone && j != nil && t.Index < j.Tasks {
		if a != nil && a.state != 0 {
			m.images.add(j.Image, j.ImageGB, m.cacheGB())
		}
		clear(m.failures)
		if a != nil {
			l.learn(a)
		}
		l.taskDone(j, t.Index)
	}
	if a != nil {
		if t.Why == protocol.ExitError {
			l.failed(m, a)
		}
		if t.Why == protocol.ExitNoRoom || t.Why == protocol.ExitBusy || t.Why == protocol.ExitUnknown {
			l.n.log.Info("start refused", "machine", m.name, "job", t.Job, "task", t.Index, "why", t.Why)
			j.notBefore = l.n.now.Add(500 * time.Millisecond)
			l.n.after(510*time.Millisecond, func() {
				if l.alive() {
					l.askPlace()
				}
			})
		}
		l.detach(a, "exited")
	}
	// A result is recorded before the worker forgets it.
	if t.Why == protocol.ExitDone && j != nil && t.Index < j.Tasks && j.outcome == 0 && !j.task(t.Index).saved {
		return false
	}
	return true
}

// failed notes an attempt that ended in an error, and tells a machine that
// fails everything from a job that fails everywhere: the first fails several
// jobs, the second fails on several machines.
func (l *lead) failed(m *machine, a *attempt) {
	j := a.job
	j.errors++
	j.failedOn[m.name] = struct{}{}
	m.failures[j.ID]++
	l.n.log.Info("task failed", "job", j.ID, "task", a.task, "machine", m.name, "failures", j.errors)
	// A job that never succeeds is tried again, ever more slowly.
	if len(j.failedOn) >= 3 && j.errors >= 4 {
		wait := min(30*time.Second, 250*time.Millisecond<<min(j.errors-3, 8))
		j.notBefore = l.n.now.Add(wait)
		l.n.after(wait+10*time.Millisecond, func() {
			if l.alive() {
				l.askPlace()
			}
		})
	}
	good := 0
	for id := range m.failures {
		if k := l.jobs[id]; k != nil && len(k.failedOn) <= 2 {
			good++
		}
	}
	if !m.sick && (good >= 2 || good == 1 && j.doneCount > 0 && m.failures[j.ID] >= 2) {
		m.sick = true
		l.n.log.Warn("machine fails its tasks", "machine", m.name, "jobs", len(m.failures))
		l.drain(m)
	}
}

// drain takes a machine out of use.
func (l *lead) drain(m *machine) {
	if m.draining {
		return
	}
	m.draining = true
	for _, a := range m.sorted() {
		l.stopAttempt(a, l.saveGrace(a))
	}
}

// drainNoticed saves what can be saved on a machine that will be taken. Tasks
// that can't save go on: they may still complete.
func (l *lead) drainNoticed(m *machine) {
	for _, a := range m.sorted() {
		if a.job.Checkpoint > 0 {
			l.stopAttempt(a, l.saveGrace(a))
		} else if a.job.Kind == protocol.Service {
			l.stopAttempt(a, 0)
		}
	}
}

// saveGrace is the time a stopped attempt needs to save.
func (l *lead) saveGrace(a *attempt) time.Duration {
	if a.job.Checkpoint == 0 || a.state != protocol.Running {
		return 0
	}
	return a.job.Save + 100*time.Millisecond
}

// sendDirect sends a worker what it must do without waiting for its report.
func (l *lead) sendDirect(m *machine) {
	n := l.n
	if !l.alive() || m.directBusy || m.removed || !m.up || m.addr == "" || l.phase == loading || !l.entitled() {
		return
	}
	if n.now.Before(m.directPause) || n.now.Sub(m.heard) > n.cfg.ReportInterval*3/2 {
		return // unreachable: it gets its orders when it reports
	}
	var orders []protocol.Order
	var starts []*attempt
	for _, a := range m.sorted() {
		switch {
		case a.stop && a.seen && a.stopSent.IsZero():
			if o, ok := l.stopOrder(a); ok {
				a.stopSent = n.now
				orders = append(orders, o)
			}
		case !a.stop && a.recorded && l.neverSent(a) && !n.storeDown():
			starts = append(starts, a)
			orders = append(orders, startOrder(a))
		}
	}
	if len(orders) == 0 {
		return
	}
	token, session := l.machineToken(m), m.session
	for _, a := range starts {
		a.direct = true
		a.directToken, a.directSession = token, session
	}
	if len(starts) > 0 {
		m.directToken = token
	}
	m.directBusy = true
	n.call(Worker, m.addr, "POST", protocol.PathOrders, protocol.DirectOrders(token, session, orders), 1200*time.Millisecond,
		func(o Outcome) {
			if !l.alive() {
				return
			}
			m.directBusy = false
			for _, a := range starts {
				a.direct = false
			}
			var r *protocol.Report
			if o.Answered && (o.Status == 200 || o.Status == 409) {
				r, _ = protocol.ParseReport(o.Body)
			}
			if r == nil || r.Machine != m.name {
				// Carried out late, perhaps: directToken stays until the worker
				// has seen a higher one.
				if o.NotSent || o.Answered && o.Status == 400 {
					for _, a := range starts {
						a.directToken = 0
					}
				}
				m.directPause = n.now.Add(n.cfg.ReportInterval)
				return
			}
			for _, a := range starts {
				a.directToken = 0
				if o.Status == 200 {
					a.sentSession, a.sentSeq = session, r.Seq
				}
			}
			if r.Token>>16 > l.term {
				n.stepDown("a worker has seen a later term")
				return
			}
			if !m.removed && (r.Session > m.session || r.Session == m.session && r.Seq > m.seq) {
				l.takeReport(m, r, false)
			}
			if o.Status == 200 {
				l.sendDirect(m)
			}
		})
}

// machineGone ends a machine on proof: all that was on it is gone.
func (l *lead) machineGone(m *machine, why string) {
	if m.removed {
		return
	}
	m.removed = true
	l.n.log.Info("machine gone", "machine", m.name, "why", why, "attempts", len(m.attempts))
	l.gone[m.name] = l.n.now
	delete(l.machines, m.name)
	if i := slices.Index(l.fleetList, m); i >= 0 {
		l.fleetList = slices.Delete(l.fleetList, i, i+1)
	}
	for _, a := range m.sorted() {
		l.detach(a, "machine gone")
	}
	l.journal.remove(bookkeeping.KeyMachine(m.name))
}

// suspectAfter is the silence after which a machine takes nothing new, and
// releaseAfter the one after which it is given up.
func (l *lead) suspectAfter() time.Duration { return l.n.cfg.ReportInterval*5/4 + 700*time.Millisecond }

func (l *lead) releaseAfter() time.Duration {
	return max(l.n.cfg.ReportInterval*2+time.Second, 4*time.Second)
}

// Times of silence after which a worker is asked, and after which it is given
// up if it doesn't answer that either. Reports may be seconds apart; a worker
// that lives answers within milliseconds.
const (
	probeAfter  = 2 * time.Second
	giveUpAfter = 3500 * time.Millisecond
)

// A machine that nothing of ours was seen to reach for this long is asked, and
// given up when that fails for longer still, although its reports arrive.
func (l *lead) reachAfter() time.Duration { return 2*l.n.cfg.ReportInterval + time.Second }
func (l *lead) deafAfter() time.Duration  { return 3*l.n.cfg.ReportInterval + 4*time.Second }

const (
	watchInterval = 250 * time.Millisecond
	probesAtOnce  = 24
	// A worker that has seen a new token reports again within half a second.
	tokenSoon = 700 * time.Millisecond
	// Reports wait unread while the process does nothing, and then all machines
	// seem silent.
	stallAfter = time.Second
)

// watchMachines looks for machines that have fallen silent. Silence proves
// nothing; releasing the machine does, and takes a moment.
func (l *lead) watchMachines() {
	n := l.n
	stalled := n.now.Sub(l.watched) > stallAfter
	l.watched = n.now
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
	zones := map[string]*reach{}
	lost, known := 0, 0
	for _, m := range l.fleetList {
		since := m.heard
		if !m.up {
			if len(m.attempts) == 0 {
				continue
			}
			since = l.settled // it ran tasks for an earlier leader
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
		out := time.Duration(0) // how long nothing of ours was seen to arrive
		if m.up {
			out = n.now.Sub(latest(m.reached, m.firstHeard, l.deaf))
		}
		late := d > l.suspectAfter() || m.probeFails > 0
		z.machines++
		if late {
			z.late++
		}
		if m.up {
			known++
			if m.probeFails >= 2 {
				lost++
			}
		}
		if d > probeAfter || m.up && m.reached.IsZero() || out > l.reachAfter() || m.probeFails > 0 {
			ask = append(ask, m)
		}
		if d > l.releaseAfter() || d > giveUpAfter && m.probeFails >= 3 || out > l.deafAfter() && m.probeFails >= 4 {
			silent = append(silent, m)
		}
	}
	l.probeSome(ask)
	// Only machines that this leader has heard count: when those are lost to it,
	// another node may still reach them. Where it doesn't, it won't have heard them
	// either and stays. Counting all, leaders of a cluster that had lost most
	// machines for good handed over to one another without end. It comes before
	// any release: a leader that an outage kept from seeing it in time returned
	// its whole fleet.
	if known > 2 && lost*2 > known && n.now.Sub(l.settled) > 2*time.Second && len(n.cfg.Peers) > 0 {
		n.resign("most machines are out of reach", 3*time.Second)
		return
	}
	for _, m := range silent {
		if n.now.After(l.silentProof(m)) {
			for _, a := range m.sorted() {
				l.detach(a, "the worker's lease has ended")
			}
		}
		quiet := n.now.Sub(latest(m.heard, m.reached, l.deaf, l.elected))
		if !zones[m.zone].cut() || quiet > n.cfg.WorkerLease {
			l.release(m, "silent")
		}
	}
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

// probeSome asks some of the machines that are to be asked, others the next time:
// asking hundreds at once takes longer than the answers are waited for.
func (l *lead) probeSome(list []*machine) {
	most := probesAtOnce
	if l.n.behind() {
		most /= 3
	}
	for i := range list {
		if most == 0 {
			l.askFrom += i
			return
		}
		if m := list[(l.askFrom+i)%len(list)]; !m.probing {
			l.probe(m)
			most--
		}
	}
}

// probe asks a worker for its state: it may be reporting to another node, its
// reports may be lost, or nothing of ours may reach it.
func (l *lead) probe(m *machine) {
	if m.probing || m.addr == "" || m.releasing || m.removed {
		return
	}
	m.probing = true
	l.n.call(Worker, m.addr, "GET", protocol.PathShow, nil, 800*time.Millisecond, func(o Outcome) {
		if !l.alive() {
			return
		}
		m.probing = false
		if o.Busy || m.removed {
			return // nobody was asked
		}
		var r *protocol.Report
		if o.Answered && o.Status == 200 {
			r, _ = protocol.ParseReport(o.Body)
		}
		switch {
		case r == nil || r.Machine != m.name:
			m.probeFails++
			l.checkHeard()
			// Perhaps only calls fail. A token that the worker hasn't seen yet tells,
			// when a report shows it, whether answers to its reports arrive.
			if m.up && m.token >= l.machineToken(m) {
				l.raiseFence(m, m.token)
			}
		case r.Session < m.session:
			// This answer is fresh, so the worker has lost what it knew: it was
			// started anew and counts from the beginning.
			l.n.log.Warn("worker began anew", "machine", m.name, "session", r.Session, "before", m.session)
			l.drainLost(m)
		case r.Session > m.session || r.Seq > m.seq:
			l.takeReport(m, r, false)
			l.claim(m)
		default:
			l.reached(m, l.n.now) // overtaken by a report of the worker's
		}
	})
}

// claim lets a worker see this leader's token at once, although it reports to
// another node: an earlier leader that lost the state service may still answer it,
// and would hold it until its grace ends.
func (l *lead) claim(m *machine) {
	if !m.tookOver.IsZero() || m.directBusy || l.phase == loading {
		return
	}
	m.directBusy = true
	l.n.call(Worker, m.addr, "POST", protocol.PathOrders, protocol.DirectOrders(l.machineToken(m), m.session, nil), time.Second,
		func(o Outcome) {
			if !l.alive() {
				return
			}
			m.directBusy = false
			if r, err := protocol.ParseReport(o.Body); o.Answered && o.Status == 200 && err == nil && r.Machine == m.name &&
				!m.removed && (r.Session > m.session || r.Session == m.session && r.Seq > m.seq) {
				l.takeReport(m, r, false)
			}
			l.sendDirect(m)
		})
}

// drainLost returns a machine whose worker lost its memory: its sessions and
// numbers say no more which of its messages is the newer one.
func (l *lead) drainLost(m *machine) {
	m.draining = true
	l.release(m, "its worker began anew")
}

func (m *machine) cacheGB() float64 {
	if m.spec == nil {
		return 0
	}
	return m.spec.CacheGB
}

// promise sets room aside that preemption is freeing, until the next
// placement round.
func (m *machine) promise(j *protocol.Job) {
	m.promised.cpus += j.CPUs
	m.promised.gpus += j.GPUs
	m.promisedMem += j.MemGB
}

// stopping is the room of attempts that were told to end.
func (m *machine) stopping() (u usage, mem float64) {
	for _, a := range m.attempts {
		if a.stop {
			u.cpus += a.job.CPUs
			u.gpus += a.job.GPUs
			mem += a.job.MemGB
		}
	}
	return u, mem
}
