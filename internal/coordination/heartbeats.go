package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// heartbeatMessage is the place of a worker's heartbeat among its messages, and
// responseMessage that of the status in a response of the worker's to a call.
func heartbeatMessage(r *protocol.Heartbeat) sessions.Message {
	return sessions.Message{Incarnation: r.Incarnation, Sequence: r.Sequence, Token: r.FencingToken, Heartbeat: true}
}

func responseMessage(r *protocol.Heartbeat) sessions.Message {
	return sessions.Message{Incarnation: r.Incarnation, Sequence: r.Sequence, Token: r.FencingToken}
}

// answerHeartbeat answers a heartbeat of a machine that this owner serves.
func (s *workerSessions) answerHeartbeat(m *machine, id uint64, r *protocol.Heartbeat) {
	c := s.controller
	arrival := m.session.ClassifyHeartbeat(heartbeatMessage(r))
	if arrival == sessions.Stale {
		c.reply(id, 503, protocol.EncodeError("a newer report came before"))
		return
	}
	m.session.LastAnswered = c.now
	if arrival == sessions.Overtaken {
		// Orders in its answer would be judged by the wrong list of tasks. But the answer
		// renews the worker's lease all the same, so it ends what must not go on.
		m.session.HeartbeatSequence = r.Sequence
		c.reply(id, 200, protocol.EncodeHeartbeatResponse(m.session.Token(), s.stopOrdersForEndedJobs(r)))
		return
	}
	orders := s.applyHeartbeat(m, r)
	c.reply(id, 200, protocol.EncodeHeartbeatResponse(m.session.Token(), orders))
	if len(orders) > 0 {
		c.log.Debug("orders sent with a heartbeat's answer", "machine", m.Name, "count", len(orders), "sequence", r.Sequence)
	}
}

// applyHeartbeat brings what is known of a machine up to its newest heartbeat, and returns
// the orders for its answer.
func (s *workerSessions) applyHeartbeat(m *machine, r *protocol.Heartbeat) []protocol.Order {
	return s.applyStatus(m, r, heartbeatMessage(r))
}

// applyResponse does so from the status in a response of the worker's to a call. That carries
// no orders: those that are wanted go out by another call, or with the next heartbeat.
func (s *workerSessions) applyResponse(m *machine, r *protocol.Heartbeat) {
	s.applyStatus(m, r, responseMessage(r))
}

func (s *workerSessions) applyStatus(m *machine, r *protocol.Heartbeat, message sessions.Message) []protocol.Order {
	s.updateWorker(m, r, message)
	s.updateReachability(m, message)
	if r.HasPreemptionNotice && !m.lifecycle.preemptionNoticed() {
		m.lifecycle.preemptionAt = s.controller.now.Add(r.PreemptionNotice)
		s.controller.logSampled("machine preemption noticed", "machine", m.Name, "duration", r.PreemptionNotice)
		s.listener.preemptionNoticed(m)
	}
	if !s.loaded && !m.attemptsKnown {
		// Whether a task belongs here isn't known yet; the answer renews the lease,
		// and ends what must not go on. The same status will come again.
		return s.stopOrdersForEndedJobs(r)
	}
	if !m.session.Reconciled {
		m.session.Reconciled = true
		s.listener.tasksReconciled(m)
	}
	orphans, forgets := s.reconcileReportedTasks(m, r, message.Heartbeat)
	room := protocol.NewOrderBudget()
	orders := s.fitOrders(&room, orphans)
	orders = append(orders, s.reconcileAbsentAttempts(m, message, room)...)
	if !message.Heartbeat {
		return nil
	}
	room = protocol.NewOrderBudget()
	return s.fitOrders(&room, slices.Concat(orders, s.stopOrders(m), s.forgetOrders(m, r, forgets)))
}

// fitOrders leaves out what one message can't hold. All of it is found wanting again by the
// worker's next heartbeat.
func (s *workerSessions) fitOrders(room *protocol.OrderBudget, orders []protocol.Order) []protocol.Order {
	fit, cut := room.Fit(orders)
	if cut {
		s.controller.limits.Reached(limits.OrdersPerMessage)
	}
	return fit
}

// updateWorker takes what a message tells of the worker itself.
func (s *workerSessions) updateWorker(m *machine, r *protocol.Heartbeat, message sessions.Message) {
	c := s.controller
	if !m.session.Registered {
		m.session.Registered = true
		m.Zone, m.Type, m.Spot = r.Zone, r.Type, r.Spot
		m.session.RegisteredAt = c.now
		c.log.Debug("worker registered", "machine", m.Name, "type", m.Type, "zone", m.Zone, "incarnation", r.Incarnation)
		s.listener.workerRegistered(m)
	}
	began := m.session.Apply(message, c.now)
	if r.Addr != "" && r.Addr != m.addr {
		m.addr = r.Addr
		s.listener.addressChanged(m)
	}
	if began {
		s.listener.incarnationBegan(m)
	}
}

// updateReachability takes what a message proves of what was sent to the worker.
func (s *workerSessions) updateReachability(m *machine, message sessions.Message) {
	if at, proven := m.session.ProvesReached(message, s.controller.now); proven {
		s.recordReached(m, at)
	}
	if !message.Heartbeat {
		return
	}
	m.session.RecordAnswer(message.Sequence, s.controller.now)
	if m.session.LastReached.IsZero() && s.probesNewWorkers {
		s.probe(m)
	}
}

// recordReached notes that something sent arrived at the worker, at a time or after it.
func (s *workerSessions) recordReached(m *machine, at time.Time) {
	m.session.FailedProbes = 0
	s.listener.workerReached(m)
	m.session.RecordReached(at)
}

// reconcileReportedTasks takes the tasks that a worker holds. It returns orders that stop orphans, which
// only a heartbeat's answer may carry, and those that let the worker forget exited tasks,
// which need a token of their own.
func (s *workerSessions) reconcileReportedTasks(m *machine, r *protocol.Heartbeat, heartbeat bool) (orphans, forgets []protocol.Order) {
	s.heartbeatCount++
	for i := range r.Tasks {
		t := &r.Tasks[i]
		a := m.attempts[taskKey{t.Job, t.TaskIndex}]
		if a != nil && a.number != t.Attempt {
			a = nil
		}
		if a != nil {
			a.lastHeartbeat = s.heartbeatCount
			a.delivery.Reported = true
		}
		switch {
		case t.State == protocol.Exited:
			if s.listener.taskExitReported(m, a, t) {
				forgets = append(forgets, taskOrder(protocol.Forget, t))
			}
		case a != nil:
			s.listener.taskStateReported(a, t.State)
		case heartbeat && s.listener.orphanReported(m, t):
			orphans = append(orphans, taskOrder(protocol.Stop, t))
		}
	}
	return orphans, forgets
}

// taskOrder is an order for a task as its worker reported it.
func taskOrder(kind protocol.OrderKind, t *protocol.TaskStatus) protocol.Order {
	return protocol.Order{Kind: kind, Job: t.Job, TaskIndex: t.TaskIndex, Attempt: t.Attempt}
}

// reconcileAbsentAttempts judges the attempts that a message lacks, in a fixed order. Starts are sent as
// far as there is room beside the stops, which go first.
func (s *workerSessions) reconcileAbsentAttempts(m *machine, message sessions.Message, room protocol.OrderBudget) []protocol.Order {
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
	var starts []protocol.Order
	for _, a := range absent {
		if a.recorded && s.reconcileAbsentAttempt(m, a, message) && s.startWithHeartbeat(m, a, message, &room) {
			starts = append(starts, startOrder(a))
		}
	}
	return starts
}

// reconcileAbsentAttempt judges an attempt that a message lacks, and reports whether its start is to be
// sent.
func (s *workerSessions) reconcileAbsentAttempt(m *machine, a *attempt, message sessions.Message) (start bool) {
	switch verdict, reason := a.delivery.EvaluateAbsence(message, m.session.Epoch.BaseToken()); {
	case verdict == sessions.Terminated:
		s.listener.attemptTerminated(a, reason)
	case verdict == sessions.Unfenced:
		s.raiseFencingToken(m, a.delivery.DirectToken)
	case verdict == sessions.NotStarted && a.stopRequested:
		s.listener.attemptTerminated(a, "never started")
	case verdict == sessions.NotStarted:
		return s.startsAllowed()
	}
	return false
}

// startWithHeartbeat sends a start with the answer of a heartbeat, if there is room for it, or by
// a call of its own at the end of the step if there is no heartbeat to answer.
func (s *workerSessions) startWithHeartbeat(m *machine, a *attempt, message sessions.Message, room *protocol.OrderBudget) (sent bool) {
	if !message.Heartbeat {
		s.scheduleOrders(m)
		return false
	}
	if !room.Reserve(a.job.ID) {
		s.controller.limits.Reached(limits.OrdersPerMessage)
		return false // the next heartbeat lacks it, too
	}
	a.delivery.MarkSent(message.Incarnation, message.Sequence)
	return true
}

// stopOrders end the tasks of the latest message that are to end.
func (s *workerSessions) stopOrders(m *machine) []protocol.Order {
	if m.stopRequestedCount == 0 {
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

// forgetOrders let the worker forget exited tasks. A forgotten attempt is unknown to the
// worker, so that a late copy of its direct start would start it once more. Copies below
// the worker's token are refused: raise it, and forget once the worker is seen to know.
func (s *workerSessions) forgetOrders(m *machine, r *protocol.Heartbeat, forgets []protocol.Order) []protocol.Order {
	if len(forgets) == 0 || m.session.DirectStartToken == 0 || r.FencingToken > m.session.DirectStartToken {
		return forgets
	}
	s.raiseFencingToken(m, m.session.DirectStartToken)
	return nil
}

// stopOrdersForEndedJobs are the orders that end the tasks of a heartbeat whose jobs are over. They
// name attempts, so they are right however old the heartbeat is.
func (s *workerSessions) stopOrdersForEndedJobs(r *protocol.Heartbeat) []protocol.Order {
	var orders []protocol.Order
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if j := s.jobs[t.Job]; t.State != protocol.Exited && j != nil && j.finalState != 0 {
			orders = append(orders, taskOrder(protocol.Stop, t))
		}
	}
	room := protocol.NewOrderBudget()
	return s.fitOrders(&room, orders)
}
