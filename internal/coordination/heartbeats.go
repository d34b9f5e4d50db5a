package coordination

import (
	"slices"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/protocol"
)

// answerHeartbeat answers a report of a machine that this owner serves.
func (s *workerSessions) answerHeartbeat(m *machine, id uint64, r *protocol.Heartbeat) {
	c := s.controller
	if m.registered && (r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Sequence <= m.heartbeatSeq) {
		// A copy, or a report that was held up: a worker has one report in flight,
		// so it has given this one up, and no answer of it can renew the lease.
		c.reply(id, 503, protocol.EncodeError("a newer report came before"))
		return
	}
	m.lastAnswered = c.now
	if m.registered && r.Incarnation == m.incarnation && r.Sequence <= m.sequence {
		// Overtaken by a response of the worker's. It tells nothing new, and orders
		// in its answer would be judged by the wrong list of tasks. But the answer
		// renews the lease all the same, so it ends what must not go on.
		m.heartbeatSeq = r.Sequence
		c.reply(id, 200, protocol.EncodeHeartbeatResponse(s.fencingToken(m), s.stopsOfEnded(r)))
		return
	}
	orders := s.takeHeartbeat(m, r, true)
	c.reply(id, 200, protocol.EncodeHeartbeatResponse(s.fencingToken(m), orders))
	if len(orders) > 0 {
		c.log.Debug("orders", "machine", m.Name, "count", len(orders), "seq", r.Sequence)
	}
}

// takeHeartbeat brings what is known of a machine up to a newer report. With
// reported set it came as a report, whose answer may carry orders; otherwise
// as the body of a response of the worker's.
func (s *workerSessions) takeHeartbeat(m *machine, r *protocol.Heartbeat, reported bool) []protocol.Order {
	s.noteWorker(m, r)
	s.noteDelivery(m, r, reported)
	if r.HasPreemptionNotice && m.preemptionAt.IsZero() {
		m.preemptionAt = s.controller.now.Add(r.PreemptionNotice)
		s.controller.logSampled("machine will be taken", "machine", m.Name, "in", r.PreemptionNotice)
		s.listener.preemptionNoticed(m)
	}
	if !s.loaded && !m.attemptsKnown {
		// Whether a task belongs here isn't known yet; the answer renews the lease,
		// and ends what must not go on. The same report's content will come again.
		return s.stopsOfEnded(r)
	}
	if !m.reconciled {
		m.reconciled = true
		s.listener.tasksReconciled(m)
	}
	orphanStops, forgets := s.takeTasks(m, r, reported)
	room := protocol.NewOrderBudget()
	orders := s.fitOrders(&room, orphanStops)
	orders = append(orders, s.takeAbsent(m, r, reported, room)...)
	if !reported {
		return nil
	}
	room = protocol.NewOrderBudget()
	return s.fitOrders(&room, slices.Concat(orders, s.stopOrders(m), s.forgetOrders(m, r, forgets)))
}

// fitOrders leaves out what one message can't hold. All of it is found wanting again by the
// worker's next report.
func (s *workerSessions) fitOrders(room *protocol.OrderBudget, orders []protocol.Order) []protocol.Order {
	fit, cut := room.Fit(orders)
	if cut {
		s.controller.limits.Reached(limits.OrdersPerMessage)
	}
	return fit
}

// noteWorker takes what a report tells of the worker itself.
func (s *workerSessions) noteWorker(m *machine, r *protocol.Heartbeat) {
	c := s.controller
	if !m.registered {
		m.registered = true
		m.Zone, m.Type, m.Spot = r.Zone, r.Type, r.Spot
		m.registeredAt = c.now
		c.log.Debug("machine reports", "machine", m.Name, "type", m.Type, "zone", m.Zone, "session", r.Incarnation)
		s.listener.workerRegistered(m)
	}
	newIncarnation := r.Incarnation != m.incarnation
	m.incarnation, m.sequence, m.seenToken, m.lastSeen = r.Incarnation, r.Sequence, r.FencingToken, c.now
	if r.Addr != "" && r.Addr != m.addr {
		m.addr = r.Addr
		s.listener.addressChanged(m)
	}
	if m.epochSeenAt.IsZero() && r.FencingToken >= m.epoch.fencingToken() {
		m.epochSeenAt = c.now
	}
	if newIncarnation {
		m.heartbeatSeq = 0
		// A session has its whole lease from its beginning, which was no later than now,
		// whether or not a report of it is ever answered. A machine whose reports reach
		// nobody gets its work by direct starts all the same, session after session; when
		// it then fell silent, its tasks were taken for ended long before they were.
		m.incarnationSince = c.now
		s.listener.incarnationBegan(m)
	}
}

// noteDelivery takes what a report proves of what we sent: a response of the worker's
// proves a call, and a report that shows a token we raised proves an answer.
func (s *workerSessions) noteDelivery(m *machine, r *protocol.Heartbeat, reported bool) {
	switch {
	case !reported:
		s.confirmReached(m, s.controller.now)
	case !m.tokenConfirmed && !m.tokenSentSince.IsZero() && r.FencingToken >= s.fencingToken(m):
		m.tokenConfirmed = true
		s.confirmReached(m, m.tokenSentSince)
	}
	if !reported {
		return
	}
	m.heartbeatSeq = r.Sequence
	if m.tokenSentSince.IsZero() { // its answer is the first of this owner's
		m.tokenSentSince = s.controller.now
	}
	if m.lastReached.IsZero() && s.probesNewWorkers {
		s.probe(m)
	}
}

// takeTasks takes the tasks of a report. It returns orders, and those that let the worker
// forget exited tasks, which need a token of their own.
func (s *workerSessions) takeTasks(m *machine, r *protocol.Heartbeat, reported bool) (orders, forgets []protocol.Order) {
	s.heartbeatCount++
	for i := range r.Tasks {
		t := &r.Tasks[i]
		a := m.attempts[taskKey{t.Job, t.TaskIndex}]
		if a != nil && a.number != t.Attempt {
			a = nil
		}
		if a != nil {
			a.lastHeartbeat = s.heartbeatCount
			a.reported = true
		}
		switch {
		case t.State == protocol.Exited:
			if s.listener.taskExitReported(m, a, t) {
				forgets = append(forgets, protocol.Order{Kind: protocol.Forget, Job: t.Job, TaskIndex: t.TaskIndex, Attempt: t.Attempt})
			}
		case a != nil:
			s.listener.taskStateReported(a, t.State)
		case reported && s.listener.orphanReported(m, t):
			orders = append(orders, protocol.Order{Kind: protocol.Stop, Job: t.Job, TaskIndex: t.TaskIndex, Attempt: t.Attempt})
		}
	}
	return orders, forgets
}

// takeAbsent judges the attempts that a report lacks, in a fixed order. Starts are sent as
// far as there is room beside the stops, which go first.
func (s *workerSessions) takeAbsent(m *machine, r *protocol.Heartbeat, reported bool, room protocol.OrderBudget) []protocol.Order {
	for _, a := range m.attemptList {
		if a.stopRequested {
			room.Reserve(a.job.ID)
		}
	}
	var absent []*attempt
	for _, a := range m.attemptList {
		if a.lastHeartbeat != s.heartbeatCount {
			absent = append(absent, a)
		}
	}
	slices.SortFunc(absent, compareAttempts)
	var orders []protocol.Order
	for _, a := range absent {
		if order, ok := s.judgeAbsent(m, a, r, reported, &room); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// stopOrders end the tasks of the latest report that are to end.
func (s *workerSessions) stopOrders(m *machine) []protocol.Order {
	if m.stopCount == 0 {
		return nil
	}
	var orders []protocol.Order
	for _, a := range m.sortedAttempts() {
		if a.lastHeartbeat != s.heartbeatCount || !a.stopRequested {
			continue
		}
		if order, ok := s.stopOrder(a); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// forgetOrders let the worker forget exited tasks. A cleared attempt is unknown to the
// worker, so that a late copy of its direct start would start it once more. Copies below
// the worker's token are refused: raise it, and clear once the worker is seen to know.
func (s *workerSessions) forgetOrders(m *machine, r *protocol.Heartbeat, forgets []protocol.Order) []protocol.Order {
	if len(forgets) == 0 || m.directStartToken == 0 || r.FencingToken > m.directStartToken {
		return forgets
	}
	s.raiseFencingToken(m, m.directStartToken)
	return nil
}

// stopsOfEnded are the orders that end the tasks of a report whose jobs are over. They
// name attempts, so they are right however old the report is.
func (s *workerSessions) stopsOfEnded(r *protocol.Heartbeat) []protocol.Order {
	var orders []protocol.Order
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if j := s.jobs[t.Job]; t.State != protocol.Exited && j != nil && j.finalState != 0 {
			orders = append(orders, protocol.Order{Kind: protocol.Stop, Job: t.Job, TaskIndex: t.TaskIndex, Attempt: t.Attempt})
		}
	}
	room := protocol.NewOrderBudget()
	return s.fitOrders(&room, orders)
}

// judgeAbsent judges an attempt that a newer report lacks. Absence is proof only
// once nothing that was sent can still start it. One that is to be started now takes its
// order's room.
func (s *workerSessions) judgeAbsent(m *machine, a *attempt, r *protocol.Heartbeat, reported bool, room *protocol.OrderBudget) (protocol.Order, bool) {
	none := protocol.Order{}
	if !a.recorded {
		return none, false
	}
	switch {
	case a.reported:
		s.listener.attemptTerminated(a, "no longer reported")
		return none, false
	case a.inherited:
		// An earlier leader may have sent the start, directly too. A worker
		// that has seen our token refuses it.
		if r.FencingToken >= m.epoch.fencingToken() {
			s.listener.attemptTerminated(a, "not held by the worker")
		}
		return none, false
	case a.directPending:
		return none, false // its response is on the way
	case a.directToken != 0 && r.Incarnation > a.directIncarnation:
		// Refused from now on, however late it comes: it names a session that is
		// over. Where answers don't reach the worker this proof comes alone.
		s.listener.attemptTerminated(a, "the worker's lease expired")
		return none, false
	case a.directToken != 0:
		// Unanswered: it may be carried out minutes later, until the worker
		// has seen a higher token.
		if r.FencingToken <= a.directToken {
			s.raiseFencingToken(m, a.directToken)
			return none, false
		}
		a.directToken = 0
	case a.sentIncarnation != 0 && a.sentIncarnation != r.Incarnation:
		s.listener.attemptTerminated(a, "the worker's lease expired")
		return none, false
	case a.sentIncarnation != 0 && (!reported || r.Sequence <= a.sentSequence):
		// A response of the worker's may be older than the answer that carries
		// the start; only its next report proves that the answer was lost.
		return none, false
	}
	if a.stopRequested || !s.startsAllowed() {
		if a.stopRequested {
			s.listener.attemptTerminated(a, "never started")
		}
		return none, false
	}
	if !reported {
		s.scheduleOrders(m)
		return none, false
	}
	if !room.Reserve(a.job.ID) {
		s.controller.limits.Reached(limits.OrdersPerMessage)
		return none, false // the next report lacks it, too
	}
	a.sentIncarnation, a.sentSequence = r.Incarnation, r.Sequence
	return startOrder(a), true
}
