package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// ordersTimeout is how long a worker has to answer orders.
const ordersTimeout = 1200 * time.Millisecond

// startOrder is the order that starts an attempt.
func startOrder(a *attempt) protocol.Order {
	return protocol.Order{Kind: protocol.Start, Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number}
}

// stopOrder gives the order that ends an attempt, unless it is saving in the
// time it was given.
func (s *workerSessions) stopOrder(a *attempt) (protocol.Order, bool) {
	if a.state == protocol.Checkpointing && a.stopGrace > 0 {
		return protocol.Order{}, false
	}
	return protocol.Order{Kind: protocol.Stop, Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number, Grace: a.stopGrace}, true
}

// acceptsOrders reports whether orders can be sent to a worker without waiting for its heartbeat.
func (s *workerSessions) acceptsOrders(m *machine) bool {
	if !s.alive() || m.orders.inFlight || m.removed || !m.session.Registered || m.addr == "" || !s.loaded && !m.attemptsKnown || !s.serves(m) || !s.holdsLease() {
		return false
	}
	// One that is unreachable gets its orders with its next heartbeat.
	return !s.controller.now.Before(m.orders.pausedUntil) && s.controller.now.Sub(m.session.LastSeen) <= s.controller.cfg.HeartbeatInterval*3/2
}

// sendOrders sends a worker what it must do without waiting for its heartbeat.
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

// pendingOrders are the stops and starts that a worker hasn't been sent, as far as one
// message holds them: the others go out once it is answered.
func (s *workerSessions) pendingOrders(m *machine) (orders []protocol.Order, starts []*attempt) {
	mayStart := s.startsAllowed()
	room := protocol.NewOrderBudget()
	for _, a := range m.sortedAttempts() {
		order, wanted := s.pendingOrder(a)
		switch {
		case !wanted:
			continue
		case order.Kind == protocol.Start && !mayStart:
			s.deferStarts(m)
			continue
		case !room.Reserve(a.job.ID):
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

// pendingOrder is what a worker is to be sent about an attempt without waiting for its
// heartbeat, if anything is.
func (s *workerSessions) pendingOrder(a *attempt) (order protocol.Order, wanted bool) {
	switch {
	case a.stopRequested && a.delivery.Reported && a.stopSentAt.IsZero():
		return s.stopOrder(a)
	case a.stopRequested || !a.recorded || !a.delivery.NeverSent():
		return protocol.Order{}, false
	}
	return startOrder(a), true
}

// deferStarts keeps a machine's starts until knowledge is fresh.
func (s *workerSessions) deferStarts(m *machine) {
	if !m.orders.startsDeferred {
		m.orders.startsDeferred = true
		s.deferredStarts = append(s.deferredStarts, m)
	}
}

// ordersAnswered takes what came of orders that were sent.
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
		return // its shard went to another owner meanwhile
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

// ordersUnanswered takes that orders got no answer. They may be carried out late, so a
// start's token stays until the worker has seen a higher one, unless the orders were
// never sent or were refused.
func (s *workerSessions) ordersUnanswered(m *machine, starts []*attempt, out Outcome) {
	if out.NotSent || out.Answered && out.Status == 400 {
		for _, a := range starts {
			a.delivery.MarkDirectAnswered()
		}
	}
	m.orders.pausedUntil = s.controller.now.Add(s.controller.cfg.HeartbeatInterval)
}
