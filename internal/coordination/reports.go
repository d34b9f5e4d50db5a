package coordination

import (
	"slices"

	"brasskeel/internal/protocol"
)

// answer answers a report of a machine that this owner serves.
func (o *owner) answer(m *machine, id uint64, r *protocol.Report) {
	c := o.controller
	if m.up && (r.Session < m.session || r.Session == m.session && r.Seq <= m.reportSeq) {
		// A copy, or a report that was held up: a worker has one report in flight,
		// so it has given this one up, and no answer of it can renew the lease.
		c.reply(id, 503, protocol.ErrorAnswer("a newer report came before"))
		return
	}
	m.answered = c.now
	if m.up && r.Session == m.session && r.Seq <= m.seq {
		// Overtaken by a response of the worker's. It tells nothing new, and orders
		// in its answer would be judged by the wrong list of tasks. But the answer
		// renews the lease all the same, so it ends what must not go on.
		m.reportSeq = r.Seq
		c.reply(id, 200, protocol.ReportAnswer(o.machineToken(m), o.stopsOfEnded(r)))
		return
	}
	orders := o.takeReport(m, r, true)
	c.reply(id, 200, protocol.ReportAnswer(o.machineToken(m), orders))
	if len(orders) > 0 {
		c.log.Debug("orders", "machine", m.Name, "count", len(orders), "seq", r.Seq)
	}
}

// takeReport brings what is known of a machine up to a newer report. With
// reported set it came as a report, whose answer may carry orders; otherwise
// as the body of a response of the worker's.
func (o *owner) takeReport(m *machine, r *protocol.Report, reported bool) []protocol.Order {
	o.noteWorker(m, r)
	o.noteReached(m, r, reported)
	if r.HasNotice && m.noticeAt.IsZero() {
		m.noticeAt = o.controller.now.Add(r.Notice)
		o.controller.logEach("machine will be taken", "machine", m.Name, "in", r.Notice)
		o.observer.noticeCame(m)
	}
	if !o.loaded && !m.listed {
		// Whether a task belongs here isn't known yet; the answer renews the lease,
		// and ends what must not go on. The same report's content will come again.
		return o.stopsOfEnded(r)
	}
	if !m.reconciled {
		m.reconciled = true
		o.observer.tasksCompared(m)
	}
	strays, clears := o.takeTasks(m, r, reported)
	room := protocol.NewOrderRoom()
	orders := o.fitOrders(&room, strays)
	orders = append(orders, o.takeAbsent(m, r, reported, room)...)
	if !reported {
		return nil
	}
	room = protocol.NewOrderRoom()
	return o.fitOrders(&room, slices.Concat(orders, o.stopOrders(m), o.clearOrders(m, r, clears)))
}

// fitOrders leaves out what one message can't hold. All of it is found wanting again by the
// worker's next report.
func (o *owner) fitOrders(room *protocol.OrderRoom, orders []protocol.Order) []protocol.Order {
	fit, cut := room.Cut(orders)
	if cut {
		o.controller.bounds.hit(boundOrders)
	}
	return fit
}

// noteWorker takes what a report tells of the worker itself.
func (o *owner) noteWorker(m *machine, r *protocol.Report) {
	c := o.controller
	if !m.up {
		m.up = true
		m.Zone, m.Type, m.Spot = r.Zone, r.Type, r.Spot
		m.firstHeard = c.now
		c.log.Debug("machine reports", "machine", m.Name, "type", m.Type, "zone", m.Zone, "session", r.Session)
		o.observer.machineUp(m)
	}
	newSession := r.Session != m.session
	m.session, m.seq, m.token, m.heard = r.Session, r.Seq, r.Token, c.now
	if r.Addr != "" && r.Addr != m.addr {
		m.addr = r.Addr
		o.observer.addressChanged(m)
	}
	if m.tookOver.IsZero() && r.Token >= m.tenure.token() {
		m.tookOver = c.now
	}
	if newSession {
		m.reportSeq = 0
		// A session has its whole lease from its beginning, which was no later than now,
		// whether or not a report of it is ever answered. A machine whose reports reach
		// nobody gets its work by direct starts all the same, session after session; when
		// it then fell silent, its tasks were taken for ended long before they were.
		m.began = c.now
		o.observer.sessionBegan(m)
	}
}

// noteReached takes what a report proves of what we sent: a response of the worker's
// proves a call, and a report that shows a token we raised proves an answer.
func (o *owner) noteReached(m *machine, r *protocol.Report, reported bool) {
	switch {
	case !reported:
		o.reached(m, o.controller.now)
	case !m.tokenSeen && !m.tokenSince.IsZero() && r.Token >= o.machineToken(m):
		m.tokenSeen = true
		o.reached(m, m.tokenSince)
	}
	if !reported {
		return
	}
	m.reportSeq = r.Seq
	if m.tokenSince.IsZero() { // its answer is the first of this owner's
		m.tokenSince = o.controller.now
	}
	if m.reached.IsZero() && o.asksNew {
		o.probe(m)
	}
}

// takeTasks takes the tasks of a report. It returns orders, and those that let the worker
// forget exited tasks, which need a token of their own.
func (o *owner) takeTasks(m *machine, r *protocol.Report, reported bool) (orders, clears []protocol.Order) {
	o.reports++
	for i := range r.Tasks {
		t := &r.Tasks[i]
		a := m.attempts[taskKey{t.Job, t.Index}]
		if a != nil && a.number != t.Attempt {
			a = nil
		}
		if a != nil {
			a.report = o.reports
			a.seen = true
		}
		switch {
		case t.State == protocol.Exited:
			if o.observer.exitReported(m, a, t) {
				clears = append(clears, protocol.Order{Kind: protocol.Forget, Job: t.Job, Index: t.Index, Attempt: t.Attempt})
			}
		case a != nil:
			o.observer.stateReported(a, t.State)
		case reported && o.observer.strayReported(m, t):
			orders = append(orders, protocol.Order{Kind: protocol.Stop, Job: t.Job, Index: t.Index, Attempt: t.Attempt})
		}
	}
	return orders, clears
}

// takeAbsent judges the attempts that a report lacks, in a fixed order. Starts are sent as
// far as there is room beside the stops, which go first.
func (o *owner) takeAbsent(m *machine, r *protocol.Report, reported bool, room protocol.OrderRoom) []protocol.Order {
	for _, a := range m.list {
		if a.stop {
			room.Take(a.job.ID)
		}
	}
	var absent []*attempt
	for _, a := range m.list {
		if a.report != o.reports {
			absent = append(absent, a)
		}
	}
	slices.SortFunc(absent, compareAttempts)
	var orders []protocol.Order
	for _, a := range absent {
		if order, ok := o.absent(m, a, r, reported, &room); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// stopOrders end the tasks of the latest report that are to end.
func (o *owner) stopOrders(m *machine) []protocol.Order {
	if m.stops == 0 {
		return nil
	}
	var orders []protocol.Order
	for _, a := range m.sorted() {
		if a.report != o.reports || !a.stop {
			continue
		}
		if order, ok := o.stopOrder(a); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// clearOrders let the worker forget exited tasks. A cleared attempt is unknown to the
// worker, so that a late copy of its direct start would start it once more. Copies below
// the worker's token are refused: raise it, and clear once the worker is seen to know.
func (o *owner) clearOrders(m *machine, r *protocol.Report, clears []protocol.Order) []protocol.Order {
	if len(clears) == 0 || m.directToken == 0 || r.Token > m.directToken {
		return clears
	}
	o.raiseFence(m, m.directToken)
	return nil
}

// stopsOfEnded are the orders that end the tasks of a report whose jobs are over. They
// name attempts, so they are right however old the report is.
func (o *owner) stopsOfEnded(r *protocol.Report) []protocol.Order {
	var orders []protocol.Order
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if j := o.jobs[t.Job]; t.State != protocol.Exited && j != nil && j.outcome != 0 {
			orders = append(orders, protocol.Order{Kind: protocol.Stop, Job: t.Job, Index: t.Index, Attempt: t.Attempt})
		}
	}
	room := protocol.NewOrderRoom()
	return o.fitOrders(&room, orders)
}

// absent judges an attempt that a newer report lacks. Absence is proof only
// once nothing that was sent can still start it. One that is to be started now takes its
// order's room.
func (o *owner) absent(m *machine, a *attempt, r *protocol.Report, reported bool, room *protocol.OrderRoom) (protocol.Order, bool) {
	none := protocol.Order{}
	if !a.recorded {
		return none, false
	}
	switch {
	case a.seen:
		o.observer.attemptGone(a, "no longer reported")
		return none, false
	case a.inherited:
		// An earlier leader may have sent the start, directly too. A worker
		// that has seen our token refuses it.
		if r.Token >= m.tenure.token() {
			o.observer.attemptGone(a, "not held by the worker")
		}
		return none, false
	case a.direct:
		return none, false // its response is on the way
	case a.directToken != 0 && r.Session > a.directSession:
		// Refused from now on, however late it comes: it names a session that is
		// over. Where answers don't reach the worker this proof comes alone.
		o.observer.attemptGone(a, "the worker's lease expired")
		return none, false
	case a.directToken != 0:
		// Unanswered: it may be carried out minutes later, until the worker
		// has seen a higher token.
		if r.Token <= a.directToken {
			o.raiseFence(m, a.directToken)
			return none, false
		}
		a.directToken = 0
	case a.sentSession != 0 && a.sentSession != r.Session:
		o.observer.attemptGone(a, "the worker's lease expired")
		return none, false
	case a.sentSession != 0 && (!reported || r.Seq <= a.sentSeq):
		// A response of the worker's may be older than the answer that carries
		// the start; only its next report proves that the answer was lost.
		return none, false
	}
	if a.stop || !o.mayStart() {
		if a.stop {
			o.observer.attemptGone(a, "never started")
		}
		return none, false
	}
	if !reported {
		o.directSoon(m)
		return none, false
	}
	if !room.Take(a.job.ID) {
		o.controller.bounds.hit(boundOrders)
		return none, false // the next report lacks it, too
	}
	a.sentSession, a.sentSeq = r.Session, r.Seq
	return startOrder(a), true
}
