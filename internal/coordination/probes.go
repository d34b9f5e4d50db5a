package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// Times of silence after which a worker is asked at the soonest, and after which it is
// given up if it doesn't answer that either. Reports may be seconds apart; a worker
// that lives answers within milliseconds.
const (
	minProbeAfter = 2 * time.Second
	giveUpAfter   = 3500 * time.Millisecond
)

const (
	watchInterval = 250 * time.Millisecond
	probeTimeout  = 800 * time.Millisecond
	claimTimeout  = time.Second
	// Probes sent at a time: a part of the fleet, so that a new leader has asked all
	// of it within the time that it waits for reports, and one that lost its workers
	// finds out before it gives up any of them.
	probesAtLeast = 24
	probesShare   = 6
	// A worker that has seen a new token reports again within half a second.
	tokenSoon = 700 * time.Millisecond
	// Reports wait unread while the process does nothing, and then all machines
	// seem silent.
	stallAfter = time.Second
)

// reached notes that something of ours arrived at the worker, at or after at.
func (o *owner) reached(m *machine, at time.Time) {
	m.probeFails = 0
	o.observer.machineReached(m)
	if at.After(m.reached) {
		m.reached = at
	}
}

// suspectAfter is the silence after which a machine takes nothing new, and
// releaseAfter the one after which it is given up.
func (o *owner) suspectAfter() time.Duration {
	return o.controller.cfg.ReportInterval*5/4 + 700*time.Millisecond
}

func (o *owner) releaseAfter() time.Duration {
	return max(o.controller.cfg.ReportInterval*2+time.Second, 4*time.Second)
}

// probeAfter is the silence after which a worker is asked. Where reports are further
// apart, asking between them took as many calls as there were reports, and finds what
// is dead a second sooner. In a zone where one doesn't answer the others are asked at
// the soonest, or the first would be given up before a cut is seen.
func (o *owner) probeAfter(zone string) time.Duration {
	if o.doubtful[zone] {
		return minProbeAfter
	}
	return max(minProbeAfter, o.controller.cfg.ReportInterval)
}

// A machine that nothing of ours was seen to reach for this long is asked, and
// given up when that fails for longer still, although its reports arrive.
func (o *owner) reachAfter() time.Duration { return 2*o.controller.cfg.ReportInterval + time.Second }
func (o *owner) deafAfter() time.Duration  { return 3*o.controller.cfg.ReportInterval + 4*time.Second }

// lostAfterFails is how many calls in a row a worker leaves unanswered that counts as lost to
// who calls it.
const lostAfterFails = 2

// lostReport is what a report costs that gets no answer: the worker waits for it and tries
// the next controller.
const lostReport = 5 * time.Second

// unreported is how long no report of a machine has been answered, although it may answer
// calls: its worker can't reach any controller.
func (o *owner) unreported(m *machine) time.Duration {
	if !m.up {
		return 0
	}
	return o.controller.now.Sub(latest(m.answered, m.firstHeard, o.deaf))
}

// unreached is how long nothing of ours was seen to arrive at a machine.
func (o *owner) unreached(m *machine) time.Duration {
	if !m.up {
		return 0
	}
	return o.controller.now.Sub(latest(m.reached, m.firstHeard, o.deaf))
}

// stalled reports whether the process did nothing since it last looked at the machines.
func (o *owner) stalled() bool {
	stalled := o.controller.now.Sub(o.watched) > stallAfter
	o.watched = o.controller.now
	return stalled
}

// wantsProbe reports whether a machine is to be asked that was silent for a time.
func (o *owner) wantsProbe(m *machine, silent time.Duration) bool {
	return silent > o.probeAfter(m.Zone) || m.up && m.reached.IsZero() || o.unreached(m) > o.reachAfter() || m.probeFails > 0
}

// endSilent takes the attempts on a machine for gone whose worker's lease has certainly
// run out.
func (o *owner) endSilent(m *machine) {
	if !o.controller.now.After(o.silentProof(m)) {
		return
	}
	for _, a := range m.sorted() {
		o.observer.attemptGone(a, "the worker's lease has ended")
	}
}

// probeSome asks some of the machines that are to be asked, others the next time:
// asking hundreds at once takes longer than the answers are waited for.
func (o *owner) probeSome(list []*machine) {
	most := max(probesAtLeast, len(o.fleetList)/probesShare)
	if o.controller.behind() {
		most /= 3
	}
	for i := range list {
		if most == 0 {
			o.askFrom += i
			return
		}
		if m := list[(o.askFrom+i)%len(list)]; !m.probing {
			o.probe(m)
			most--
		}
	}
}

// probe asks a worker for its state: it may be reporting to another node, its
// reports may be lost, or nothing of ours may reach it.
func (o *owner) probe(m *machine) {
	if m.probing || m.addr == "" || m.releasing && !m.given || m.removed || !o.serves(m) {
		return
	}
	m.probing = true
	session := m.session
	o.controller.call(Worker, m.addr, "GET", protocol.PathShow, nil, probeTimeout, func(out Outcome) {
		if o.alive() {
			m.probing = false
			o.probeAnswered(m, session, out)
		}
	})
}

// probeAnswered takes what came of a probe that was sent when a session was known.
func (o *owner) probeAnswered(m *machine, session uint64, out Outcome) {
	if out.Busy || m.removed || m.tenure == nil {
		return // nobody was asked, or it is no business of ours any more
	}
	var r *protocol.Report
	if out.Answered && out.Status == 200 {
		r, _ = protocol.ParseReport(out.Body)
	}
	switch {
	case r == nil || r.Machine != m.Name:
		m.probeFails++
		o.observer.probeFailed(m)
		// Perhaps only calls fail. A token that the worker hasn't seen yet tells,
		// when a report shows it, whether answers to its reports arrive.
		if m.up && m.token >= o.machineToken(m) {
			o.raiseFence(m, m.token)
		}
	case r.Session < session:
		// This was asked after the newer session was heard of, so the worker has
		// lost what it knew: it was started anew and counts from the beginning.
		o.controller.log.Warn("worker began anew", "machine", m.Name, "session", r.Session, "before", m.session)
		o.observer.beganAnew(m)
	case m.newer(r):
		o.takeReport(m, r, false)
		o.claim(m)
	default:
		o.reached(m, o.controller.now) // overtaken by a report of the worker's
	}
}

// claim lets a worker see this owner's token at once, although it reports to
// another node: an earlier owner that lost the state service may still answer it,
// and would hold it until its grace ends. Those that come by themselves aren't called
// for it: on a small share of a processor that cost a new leader a tenth of its first
// seconds.
func (o *owner) claim(m *machine) {
	if !m.tookOver.IsZero() || m.directBusy || !o.loaded && !m.listed || !o.serves(m) || o.controller.now.Sub(m.tenure.since) < o.controller.comeByThemselves() {
		return
	}
	m.directBusy = true
	body := protocol.DirectOrders(o.machineToken(m), m.session, nil)
	o.controller.call(Worker, m.addr, "POST", protocol.PathOrders, body, claimTimeout, func(out Outcome) {
		if !o.alive() {
			return
		}
		m.directBusy = false
		r, err := protocol.ParseReport(out.Body)
		if out.Answered && out.Status == 200 && err == nil && r.Machine == m.Name && !m.removed && m.newer(r) {
			o.takeReport(m, r, false)
		}
		o.sendDirect(m)
	})
}

// comeByThemselves is when the workers that can have found whoever serves them now: the
// longest interval between reports, and the second that a worker takes to try the next
// node.
func (c *Controller) comeByThemselves() time.Duration {
	return c.cfg.ReportInterval*5/4 + 1200*time.Millisecond
}
