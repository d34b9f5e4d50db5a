package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// directTimeout is how long a worker has to answer orders.
const directTimeout = 1200 * time.Millisecond

func startOrder(a *attempt) protocol.Order {
	return protocol.Order{Kind: protocol.Start, Job: a.job.ID, Index: a.task, Attempt: a.number}
}

// stopOrder gives the order that ends an attempt, unless it is saving in the
// time it was given.
func (o *owner) stopOrder(a *attempt) (protocol.Order, bool) {
	if a.state == protocol.Saving && a.grace > 0 {
		return protocol.Order{}, false
	}
	return protocol.Order{Kind: protocol.Stop, Job: a.job.ID, Index: a.task, Attempt: a.number, Grace: a.grace}, true
}

// neverSent reports whether no start of an attempt can be on its way.
func (a *attempt) neverSent() bool {
	return !a.inherited && !a.told && !a.seen && a.sentSession == 0 && !a.direct && a.directToken == 0
}

// callable reports whether orders can be sent to a worker without waiting for its report.
func (o *owner) callable(m *machine) bool {
	if !o.alive() || m.directBusy || m.removed || !m.up || m.addr == "" || !o.loaded && !m.listed || !o.serves(m) || !o.holdsLease() {
		return false
	}
	// One that is unreachable gets its orders when it reports.
	return !o.controller.now.Before(m.directPause) && o.controller.now.Sub(m.heard) <= o.controller.cfg.ReportInterval*3/2
}

// sendDirect sends a worker what it must do without waiting for its report.
func (o *owner) sendDirect(m *machine) {
	if !o.callable(m) {
		return
	}
	orders, starts := o.directOrders(m)
	if len(orders) == 0 {
		return
	}
	token, session := o.machineToken(m), m.session
	for _, a := range starts {
		a.direct = true
		a.directToken, a.directSession = token, session
	}
	if len(starts) > 0 {
		m.directToken = token
	}
	m.directBusy = true
	body := protocol.DirectOrders(token, session, orders)
	o.controller.call(Worker, m.addr, "POST", protocol.PathOrders, body, directTimeout, func(out Outcome) {
		if o.alive() {
			o.directAnswered(m, session, starts, out)
		}
	})
}

// directOrders are the stops and starts that a worker hasn't been sent, as far as one
// message holds them: the others go out once it is answered.
func (o *owner) directOrders(m *machine) (orders []protocol.Order, starts []*attempt) {
	mayStart := o.mayStart()
	room := protocol.NewOrderRoom()
	for _, a := range m.sorted() {
		order, wanted := o.directOrder(a)
		switch {
		case !wanted:
			continue
		case order.Kind == protocol.Start && !mayStart:
			o.withhold(m)
			continue
		case !room.Take(a.job.ID):
			o.controller.bounds.hit(boundOrders)
			return orders, starts
		case order.Kind == protocol.Start:
			starts = append(starts, a)
		default:
			a.stopSent = o.controller.now
		}
		orders = append(orders, order)
	}
	return orders, starts
}

// directOrder is what a worker is to be sent about an attempt without waiting for its
// report, if anything is.
func (o *owner) directOrder(a *attempt) (order protocol.Order, wanted bool) {
	switch {
	case a.stop && a.seen && a.stopSent.IsZero():
		return o.stopOrder(a)
	case a.stop || !a.recorded || !a.neverSent():
		return protocol.Order{}, false
	}
	return startOrder(a), true
}

// withhold keeps a machine's starts until knowledge is fresh.
func (o *owner) withhold(m *machine) {
	if !m.withheld {
		m.withheld = true
		o.withheld = append(o.withheld, m)
	}
}

// directAnswered takes what came of orders that were sent.
func (o *owner) directAnswered(m *machine, session uint64, starts []*attempt, out Outcome) {
	m.directBusy = false
	for _, a := range starts {
		a.direct = false
	}
	var r *protocol.Report
	if out.Answered && (out.Status == 200 || out.Status == 409) {
		r, _ = protocol.ParseReport(out.Body)
	}
	if r == nil || r.Machine != m.Name {
		o.directUnanswered(m, starts, out)
		return
	}
	for _, a := range starts {
		a.directToken = 0
		if out.Status == 200 {
			a.sentSession, a.sentSeq = session, r.Seq
		}
	}
	if m.tenure == nil {
		return // its shard went to another owner meanwhile
	}
	if r.Token>>fenceBits > m.tenure.term {
		o.observer.laterToken(m)
		return
	}
	if !m.removed && m.newer(r) {
		o.takeReport(m, r, false)
	}
	if out.Status == 200 {
		o.sendDirect(m)
	}
}

// directUnanswered takes that orders got no answer. They may be carried out late, so a
// start's token stays until the worker has seen a higher one, unless the orders were
// never sent or were refused.
func (o *owner) directUnanswered(m *machine, starts []*attempt, out Outcome) {
	if out.NotSent || out.Answered && out.Status == 400 {
		for _, a := range starts {
			a.directToken = 0
		}
	}
	m.directPause = o.controller.now.Add(o.controller.cfg.ReportInterval)
}

// newer reports whether a report is newer than what is known of the machine.
func (m *machine) newer(r *protocol.Report) bool {
	return r.Session > m.session || r.Session == m.session && r.Seq > m.seq
}
