package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// ordersTimeout is how long a worker has to respond to a call with orders.
const ordersTimeout = 1200 * time.Millisecond

// startOrder returns the order that starts an attempt.
func startOrder(a *attempt) protocol.Order {
	return protocol.Order{Kind: protocol.Start, Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number}
}

// stopOrder returns the order that stops an attempt, or false while the attempt is saving a
// checkpoint within its grace time.
func (s *workerSessions) stopOrder(a *attempt) (protocol.Order, bool) {
	if a.state == protocol.Checkpointing && a.stopGrace > 0 {
		return protocol.Order{}, false
	}
	return protocol.Order{Kind: protocol.Stop, Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number, Grace: a.stopGrace}, true
}

// acceptsOrders reports whether orders can be sent to a worker by a call, without waiting for
// its next heartbeat.
func (s *workerSessions) acceptsOrders(m *machine) bool {
	if !s.alive() || m.orders.inFlight || m.removed || !m.session.Registered || m.addr == "" || !s.loaded && !m.attemptsKnown || !s.serves(m) || !s.holdsLease() {
		return false
	}
	// A worker that calls don't reach, or whose heartbeats are overdue, gets its orders with its next
	// heartbeat response.
	return !s.controller.now.Before(m.orders.pausedUntil) && s.controller.now.Sub(m.session.LastSeen) <= s.controller.cfg.HeartbeatInterval*3/2
}

// sendOrders sends a worker its pending orders by a call, without waiting for its heartbeat.
func (s *workerSessions) sendOrders(m *machine) {
	if !s.acceptsOrders(m) {
		return
	}
	orders, starts := s.pendingOrders(m)
	if len(orders) == 0 {
		return
	}
	token, incarnation := m.session.Token(), m.session.Incarnation
	for _, a := range starts {
		a.delivery.MarkDirectSent(token, incarnation)
	}
	if len(starts) > 0 {
		m.session.DirectStartToken = token
	}
	m.orders.inFlight = true
	body := protocol.EncodeDirectOrders(token, incarnation, orders)
	s.controller.call(Worker, m.addr, "POST", protocol.PathOrders, body, ordersTimeout, func(out Outcome) {
		if s.alive() {
			s.ordersAnswered(m, incarnation, starts, out)
		}
	})
}

// pendingOrders returns the unsent stops and starts for a worker, as many as one message
// holds. The remaining ones are sent once that message is answered.
func (s *workerSessions) pendingOrders(m *machine) (orders []protocol.Order, starts []*attempt) {
	mayStart := s.startsAllowed()
	budget := protocol.NewOrderBudget()
	for _, a := range m.sortedAttempts() {
		order, wanted := s.pendingOrder(a)
		switch {
		case !wanted:
			continue
		case order.Kind == protocol.Start && !mayStart:
			s.deferStarts(m)
			continue
		case !budget.Reserve(a.job.ID):
			s.controller.limits.Reached(limits.OrdersPerMessage)
			return orders, starts
		case order.Kind == protocol.Start:
			starts = append(starts, a)
		default:
			a.stopSentAt = s.controller.now
		}
		orders = append(orders, order)
	}
	return orders, starts
}

// pendingOrder returns the order for an attempt to be sent without waiting for a heartbeat, if
// there is one.
func (s *workerSessions) pendingOrder(a *attempt) (order protocol.Order, wanted bool) {
	switch {
	case a.stopRequested && a.delivery.Reported && a.stopSentAt.IsZero():
		return s.stopOrder(a)
	case a.stopRequested || !a.recorded || !a.delivery.NeverSent():
		return protocol.Order{}, false
	}
	return startOrder(a), true
}

// deferStarts defers a machine's starts until a recent read of the job records allows them.
func (s *workerSessions) deferStarts(m *machine) {
	if !m.orders.startsDeferred {
		m.orders.startsDeferred = true
		s.deferredStarts = append(s.deferredStarts, m)
	}
}

// ordersAnswered handles the outcome of a call with orders.
func (s *workerSessions) ordersAnswered(m *machine, incarnation uint64, starts []*attempt, out Outcome) {
	m.orders.inFlight = false
	for _, a := range starts {
		a.delivery.DirectPending = false
	}
	var r *protocol.Heartbeat
	if out.Answered && (out.Status == 200 || out.Status == 409) {
		r, _ = protocol.ParseHeartbeat(out.Body)
	}
	if r == nil || r.Machine != m.Name {
		s.ordersUnanswered(m, starts, out)
		return
	}
	for _, a := range starts {
		a.delivery.MarkDirectAnswered()
		if out.Status == 200 {
			a.delivery.MarkSent(incarnation, r.Sequence)
		}
	}
	if m.session.Epoch == nil {
		return // its shard has moved to another owner
	}
	if sessions.TermOf(r.FencingToken) > m.session.Epoch.Term {
		s.listener.newerTokenSeen(m)
		return
	}
	if !m.removed && m.session.IsNewer(responseMessage(r)) {
		s.applyResponse(m, r)
	}
	if out.Status == 200 {
		s.sendOrders(m)
	}
}

// ordersUnanswered handles a call with orders that got no valid response. The worker may carry the
// orders out later. So the token of a direct start, one sent by such a call, is kept until the worker
// has seen a higher one, unless the orders were never sent or were refused. No further call with
// orders is made for a heartbeat interval.
func (s *workerSessions) ordersUnanswered(m *machine, starts []*attempt, out Outcome) {
	if out.NotSent || out.Answered && out.Status == 400 {
		for _, a := range starts {
			a.delivery.MarkDirectAnswered()
		}
	}
	m.orders.pausedUntil = s.controller.now.Add(s.controller.cfg.HeartbeatInterval)
}
