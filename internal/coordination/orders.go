package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

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
	mayStart := l.mayStart()
	for _, a := range m.sorted() {
		switch {
		case a.stop && a.seen && a.stopSent.IsZero():
			if o, ok := l.stopOrder(a); ok {
				a.stopSent = n.now
				orders = append(orders, o)
			}
		case !a.stop && a.recorded && l.neverSent(a) && !mayStart:
			if !m.withheld {
				m.withheld = true
				l.withheld = append(l.withheld, m)
			}
		case !a.stop && a.recorded && l.neverSent(a):
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
