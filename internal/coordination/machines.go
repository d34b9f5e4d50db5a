package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// machine is one rented machine and what is known of it.
type machine struct {
	name, addr string
	typ, zone  string
	spot       bool
	spec       *protocol.MachineType
	rented     time.Time
	inherited  bool   // known from an earlier leader's record
	recorded   bool   // a record that names it is written: placements may name it
	group      *group // whose record that is
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
	began      time.Time // when its session was first heard of; it began no later
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
	list            []*attempt // the same, in no order
	cpus, gpus, mem float64    // taken by them
	services        float64    // CPUs taken by replicas
	replicas        int
	fixed           float64                        // CPUs taken by work that may not use spot machines
	kept            [protocol.Critical + 1]float64 // CPUs taken, by priority
	stops           int                            // attempts that were told to end
	ending          usage                          // what they take
	endingMem       float64
	emptySince      time.Time
	promised        usage // room that preemption frees for others
	promisedMem     float64
	images          imageCache
	wanted          imageCounts // images of the attempts on it

	fence       uint16 // raises the token for this worker alone
	directToken uint64 // of the last direct start: late copies of it die above it
	directBusy  bool
	directAsked bool
	withheld    bool // starts wait until the leader's knowledge is fresh
	directPause time.Time
	probing     bool
	probeFails  int // probes in a row without an answer

	failures  map[string]int // failed attempts by job since the last success
	sick      bool
	emptying  bool // takes new tasks only when no other has room
	draining  bool // to be returned: takes nothing more
	releasing bool // its release was asked for
	given     bool // for its silence alone, and no such call can have been carried out
	inRelease bool // the call is under way
	releaseAt time.Time
	missing   time.Time // since when lists that should show it don't
}

func (l *lead) newMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{name: name, typ: typ, zone: zone, spot: spot, spec: l.n.types[typ], rented: l.n.now,
		attempts: map[taskKey]*attempt{}, emptySince: l.n.now, failures: map[string]int{}}
	l.machines[name] = m
	l.fleetList = append(l.fleetList, m)
	return m
}

// adopt takes in a machine that no record tells of: rented by a request whose
// answer was lost, or by one that was carried out late.
func (l *lead) adopt(name, typ, zone string, spot bool, age time.Duration) *machine {
	m := l.newMachine(name, typ, zone, spot)
	m.rented = l.n.now.Add(-age)
	if l.phase != loading { // else its record may be read yet
		l.n.log.Info("unexpected machine adopted", "machine", name, "type", typ, "zone", zone, "spot", spot)
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
	if (l == nil && n.leaderDoubtful() || l != nil && l.known.IsZero()) && !n.storeDown() {
		n.holdForLeader(id, body)
		return
	}
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
		// renews the lease all the same, so it ends what must not go on.
		m.answered, m.reportSeq = n.now, r.Seq
		n.reply(id, 200, protocol.ReportAnswer(l.machineToken(m), l.stopsOfEnded(r)))
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
	if r.Addr != "" && r.Addr != m.addr {
		m.addr = r.Addr
		l.journal.changeGroup(m.group)
	}
	if m.tookOver.IsZero() && r.Token >= l.token() {
		m.tookOver = n.now
	}
	m.missing = time.Time{}
	if newSession {
		m.images.reset()
		m.reportSeq = 0
		// A session has its whole lease from its beginning, which was no later than now,
		// whether or not a report of it is ever answered. A machine whose reports reach
		// nobody gets its work by direct starts all the same, session after session; when
		// it then fell silent, its tasks were taken for ended long before they were.
		m.began = n.now
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
		// Whether a task belongs here isn't known yet; the answer renews the lease,
		// and ends what must not go on. The same report's content will come again.
		m.seq = r.Seq
		return l.stopsOfEnded(r)
	}
	if !m.reconciled {
		m.reconciled = true
		l.checkHeard()
	}
	var orders []protocol.Order
	l.reports++
	present := 0
	var clears []protocol.Order
	for i := range r.Tasks {
		t := &r.Tasks[i]
		a := m.attempts[taskKey{t.Job, t.Index}]
		if a != nil && a.number != t.Attempt {
			a = nil
		}
		if a != nil {
			if a.report != l.reports {
				a.report = l.reports
				present++
			}
			a.seen = true
		}
		if t.State == protocol.Exited {
			if a != nil {
				present--
			}
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
			m.images.add(a.job.image, a.job.ImageGB, m.cacheGB())
		}
		l.setState(a, t.State)
	}
	// Absent attempts, in a fixed order.
	if present < len(m.list) {
		absent := make([]*attempt, 0, len(m.list)-present)
		for _, a := range m.list {
			if a.report != l.reports {
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
	if m.stops > 0 {
		for _, a := range m.sorted() {
			if a.report == l.reports && a.stop {
				if o, ok := l.stopOrder(a); ok {
					orders = append(orders, o)
				}
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

// stopsOfEnded are the orders that end the tasks of a report whose jobs are over. They
// name attempts, so they are right however old the report is.
func (l *lead) stopsOfEnded(r *protocol.Report) []protocol.Order {
	var orders []protocol.Order
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if j := l.jobs[t.Job]; t.State != protocol.Exited && j != nil && j.outcome != 0 {
			orders = append(orders, protocol.Order{Kind: protocol.Stop, Job: t.Job, Index: t.Index, Attempt: t.Attempt})
		}
	}
	return orders
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
		if l.alive() && l.phase == settling && l.enoughHeard() {
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
	list := slices.Clone(m.list)
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
	if a.stop || !l.mayStart() {
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

// exited takes an exited task of a report and tells whether the worker may
// forget it.
func (l *lead) exited(m *machine, a *attempt, t *protocol.TaskReport) bool {
	j := l.jobs[t.Job]
	if t.Why == protocol.ExitDone && j != nil && t.Index < j.Tasks {
		if a != nil && a.state != 0 {
			m.images.add(j.image, j.ImageGB, m.cacheGB())
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
	l.journal.removeMachine(m)
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
