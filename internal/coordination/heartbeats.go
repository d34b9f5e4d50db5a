package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// heartbeatMessage returns the position of a heartbeat among the worker's messages.
func heartbeatMessage(r *protocol.Heartbeat) sessions.Message {
	return sessions.Message{Incarnation: r.Incarnation, Sequence: r.Sequence, Token: r.FencingToken, Heartbeat: true}
}

// responseMessage returns the position of a worker's response to a call among its messages.
func responseMessage(r *protocol.Heartbeat) sessions.Message {
	return sessions.Message{Incarnation: r.Incarnation, Sequence: r.Sequence, Token: r.FencingToken}
}

// answerHeartbeat responds to a heartbeat of a machine that this owner serves. A stale heartbeat (a
// duplicate, or one that the worker has abandoned) is refused. An overtaken heartbeat, which arrived
// after a newer response of the worker to a call, gets no orders but the stops for tasks of ended
// jobs.
func (s *workerSessions) answerHeartbeat(m *machine, id uint64, r *protocol.Heartbeat) {
	c := s.controller
	arrival := m.session.ClassifyHeartbeat(heartbeatMessage(r))
	if arrival == sessions.Stale {
		c.reply(id, 503, protocol.EncodeError("a newer report came before"))
		return
	}
	m.session.LastAnswered = c.now
	if arrival == sessions.Overtaken {
		// The heartbeat's task list is outdated, so orders derived from it could be wrong. But the
		// response renews the worker's lease, so it carries the stop orders for tasks of ended
		// jobs.
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

// applyHeartbeat updates the state of a machine from its newest heartbeat, and returns the
// orders for the heartbeat response.
func (s *workerSessions) applyHeartbeat(m *machine, r *protocol.Heartbeat) []protocol.Order {
	return s.applyStatus(m, r, heartbeatMessage(r))
}

// applyResponse updates the state of a machine from the status in a worker's response to a
// call. Resulting orders are sent by another call or with the next heartbeat response.
func (s *workerSessions) applyResponse(m *machine, r *protocol.Heartbeat) {
	s.applyStatus(m, r, responseMessage(r))
}

// applyStatus updates the state of a machine from a status, and returns the orders to send with the
// response if the status came with a heartbeat.
func (s *workerSessions) applyStatus(m *machine, r *protocol.Heartbeat, message sessions.Message) []protocol.Order {
	s.updateWorker(m, r, message)
	s.updateReachability(m, message)
	if r.HasPreemptionNotice && !m.lifecycle.preemptionNoticed() {
		m.lifecycle.preemptionAt = s.controller.now.Add(r.PreemptionNotice)
		s.controller.logSampled("machine preemption noticed", "machine", m.Name, "duration", r.PreemptionNotice)
		s.listener.preemptionNoticed(m)
	}
	if !s.loaded && !m.attemptsKnown {
		// It isn't known yet which attempts belong on the machine. But the response renews the
		// worker's lease, so it carries the stop orders for tasks of ended jobs. The next
		// heartbeat repeats the status.
		return s.stopOrdersForEndedJobs(r)
	}
	if !m.session.Reconciled {
		m.session.Reconciled = true
		s.listener.tasksReconciled(m)
	}
	orphans, forgets := s.reconcileReportedTasks(m, r, message.Heartbeat)
	budget := protocol.NewOrderBudget()
	orders := s.fitOrders(&budget, orphans)
	orders = append(orders, s.reconcileAbsentAttempts(m, message, budget)...)
	if !message.Heartbeat {
		return nil
	}
	budget = protocol.NewOrderBudget()
	return s.fitOrders(&budget, slices.Concat(orders, s.stopOrders(m), s.forgetOrders(m, r, forgets)))
}

// fitOrders drops the orders that don't fit into one message. They are created again when the
// worker's next heartbeat is applied.
func (s *workerSessions) fitOrders(budget *protocol.OrderBudget, orders []protocol.Order) []protocol.Order {
	fit, cut := budget.Fit(orders)
	if cut {
		s.controller.limits.Reached(limits.OrdersPerMessage)
	}
	return fit
}

// updateWorker updates a worker's registration, message order and address from a message.
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
		s.listener.workerRestarted(m)
	}
}

// updateReachability records it if a worker's message proves that a message of this controller has
// reached the worker. When a heartbeat comes from a worker that nothing has reached yet, it probes the
// worker, unless new workers are not probed yet (probesNewWorkers).
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

// recordReached records that a message of this controller reached the worker at the given time or
// later.
func (s *workerSessions) recordReached(m *machine, at time.Time) {
	m.session.FailedProbes = 0
	s.listener.workerReached(m)
	m.session.RecordReached(at)
}

// reconcileReportedTasks compares the tasks that a worker reports with the known attempts on its
// machine. It returns the stops of orphaned tasks, which only a heartbeat response may carry, and the
// orders to forget exited tasks, which may need a raised token first (forgetOrders).
func (s *workerSessions) reconcileReportedTasks(m *machine, r *protocol.Heartbeat, heartbeat bool) (orphans, forgets []protocol.Order) {
	s.statusCount++
	for i := range r.Tasks {
		t := &r.Tasks[i]
		a := m.attempts[taskKey{t.Job, t.TaskIndex}]
		if a != nil && a.number != t.Attempt {
			a = nil
		}
		if a != nil {
			a.lastListedStatus = s.statusCount
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

// taskOrder returns an order for a task that a worker reported.
func taskOrder(kind protocol.OrderKind, t *protocol.TaskStatus) protocol.Order {
	return protocol.Order{Kind: kind, Job: t.Job, TaskIndex: t.TaskIndex, Attempt: t.Attempt}
}

// reconcileAbsentAttempts handles the known attempts that a message doesn't report, in a fixed
// order, and returns the starts to send with a heartbeat response. Attempts whose placement isn't
// recorded yet are skipped. Stops have precedence: space for
// them in the message is reserved before that for starts.
func (s *workerSessions) reconcileAbsentAttempts(m *machine, message sessions.Message, budget protocol.OrderBudget) []protocol.Order {
	for _, a := range m.attemptList {
		if a.stopRequested {
			budget.Reserve(a.job.ID)
		}
	}
	var absent []*attempt
	for _, a := range m.attemptList {
		if a.lastListedStatus != s.statusCount {
			absent = append(absent, a)
		}
	}
	slices.SortFunc(absent, compareAttempts)
	var starts []protocol.Order
	for _, a := range absent {
		if a.recorded && s.reconcileAbsentAttempt(m, a, message) && s.startWithHeartbeat(m, a, message, &budget) {
			starts = append(starts, startOrder(a))
		}
	}
	return starts
}

// reconcileAbsentAttempt handles an attempt that a message doesn't report, and returns whether
// its start should be sent.
func (s *workerSessions) reconcileAbsentAttempt(m *machine, a *attempt, message sessions.Message) (start bool) {
	switch verdict, reason := a.delivery.EvaluateAbsence(message, m.session.Epoch.BaseToken()); {
	case verdict == sessions.Terminated:
		s.listener.attemptTerminated(a, reason)
	case verdict == sessions.Unfenced:
		// A direct start may still arrive. A worker that has seen the raised token refuses it.
		s.raiseFencingToken(m, a.delivery.DirectToken)
	case verdict == sessions.NotStarted && a.stopRequested:
		s.listener.attemptTerminated(a, "never started")
	case verdict == sessions.NotStarted:
		return s.startsAllowed()
	}
	return false
}

// startWithHeartbeat reports whether a start is sent with the heartbeat response, which is the case
// if the response has space for it. If the status came with a response to a call, the start is
// instead sent by a call at the end of the step.
func (s *workerSessions) startWithHeartbeat(m *machine, a *attempt, message sessions.Message, budget *protocol.OrderBudget) (sent bool) {
	if !message.Heartbeat {
		s.scheduleOrders(m)
		return false
	}
	if !budget.Reserve(a.job.ID) {
		s.controller.limits.Reached(limits.OrdersPerMessage)
		return false // the next heartbeat won't list the attempt either, and the start is tried again then
	}
	a.delivery.MarkSent(message.Incarnation, message.Sequence)
	return true
}

// stopOrders returns the stops for attempts that the latest status lists and whose stop was
// requested.
func (s *workerSessions) stopOrders(m *machine) []protocol.Order {
	if m.stopRequestedCount == 0 {
		return nil
	}
	var orders []protocol.Order
	for _, a := range m.sortedAttempts() {
		if a.lastListedStatus != s.statusCount || !a.stopRequested {
			continue
		}
		if order, ok := s.stopOrder(a); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// forgetOrders returns the orders to forget exited tasks once that is safe. A worker no longer
// knows a forgotten attempt, so a delayed duplicate of its direct start would start it again.
// Workers refuse orders below the highest token they have seen: the token is raised first, and
// the orders are sent once a message shows that the worker has seen the raised token. If no direct
// start was sent to the machine, the orders are safe at once.
func (s *workerSessions) forgetOrders(m *machine, r *protocol.Heartbeat, forgets []protocol.Order) []protocol.Order {
	if len(forgets) == 0 || m.session.DirectStartToken == 0 || r.FencingToken > m.session.DirectStartToken {
		return forgets
	}
	s.raiseFencingToken(m, m.session.DirectStartToken)
	return nil
}

// stopOrdersForEndedJobs returns the stops for reported tasks whose jobs have ended. The
// orders name attempts, so they are correct however old the heartbeat is.
func (s *workerSessions) stopOrdersForEndedJobs(r *protocol.Heartbeat) []protocol.Order {
	var orders []protocol.Order
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if j := s.jobs[t.Job]; t.State != protocol.Exited && j != nil && j.finalState != 0 {
			orders = append(orders, taskOrder(protocol.Stop, t))
		}
	}
	budget := protocol.NewOrderBudget()
	return s.fitOrders(&budget, orders)
}
