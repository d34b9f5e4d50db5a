package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/protocol"
)

// owner serves the workers of machines: it answers their reports, sends them orders, asks
// those that fall silent, and learns which attempts are gone. It places nothing and
// records nothing; what it learns it tells its observer, who places.
type owner struct {
	controller *Controller
	observer   observer
	ended      bool // it serves nobody any more
	loaded     bool // all attempts that may be on its machines are known
	asksNew    bool // workers that report for the first time are asked whether calls reach them

	jobs      map[string]*job // the unfinished ones
	known     time.Time       // all that was recorded of jobs before it is known here; zero: nothing is
	machines  map[string]*machine
	fleetList []*machine // the same, in the order they became known
	lease     lease

	deaf       time.Time       // last time that silence of workers said nothing
	watched    time.Time       // when the machines were last looked at
	askFrom    int             // which of the machines to be asked comes next
	doubtful   map[string]bool // zones where a worker did not answer when it was last asked
	reports    uint64          // taken, to tell which attempts the latest one holds
	stepDirect []*machine      // machines with orders to send at the end of the step
	withheld   []*machine      // machines whose starts wait for fresh knowledge
}

// observer is told what workers show.
type observer interface {
	// machineUp: a machine's worker reports here for the first time.
	machineUp(m *machine)
	// sessionBegan: the worker lost all tasks and images of an earlier session.
	sessionBegan(m *machine)
	// addressChanged: the worker is to be called at another address.
	addressChanged(m *machine)
	// noticeCame: the cloud will take the machine.
	noticeCame(m *machine)
	// tasksCompared: a report of the machine was compared with what is known.
	tasksCompared(m *machine)
	// machineReached: something of ours arrived at the worker.
	machineReached(m *machine)
	// probeFailed: a call to the worker got no answer.
	probeFailed(m *machine)
	// beganAnew: the worker counts its sessions from the beginning again.
	beganAnew(m *machine)
	// stateReported: an attempt's state, which may be the same as before.
	stateReported(a *attempt, s protocol.TaskState)
	// exitReported tells whether the worker may forget an exited task; a is nil for one
	// that isn't known here.
	exitReported(m *machine, a *attempt, t *protocol.TaskReport) (forget bool)
	// attemptGone: it was proven that an attempt is gone and can't start any more.
	attemptGone(a *attempt, why string)
	// strayReported tells whether a task that isn't known here is to be stopped.
	strayReported(m *machine, t *protocol.TaskReport) (stop bool)
	// jobRecorded: there is a record of an unfinished job; live says that it was just
	// written. jobEnded: its outcome is recorded. jobRemoved: its record was removed.
	jobRecorded(id string, value json.RawMessage, live bool)
	jobEnded(j *job, s protocol.JobState)
	jobRemoved(id string)
	// laterToken: a worker has seen a token above those of its machine's tenure.
	laterToken(m *machine)
}

// tenure is the time for which an owner serves machines, under one token.
type tenure struct {
	term  uint64 // of the token
	since time.Time
	// Until when whoever served the machines before may have answered their workers.
	predecessorUntil time.Time
	paused           bool // nothing is answered or sent
}

// serves reports whether a machine's worker is this owner's to answer and to call now.
func (o *owner) serves(m *machine) bool { return m.tenure != nil && !m.tenure.paused }

// token is the lowest token of the tenure; fences make it higher for single workers.
func (t *tenure) token() uint64 { return t.term << fenceBits }

// fenceBits are those of a token below its term.
const fenceBits = 16

// lease is a lease in the state service that an owner's answers rest on.
type lease struct {
	id         uint64
	ttl        time.Duration
	validUntil time.Time // until when no one else can have taken over
}

func newOwner(c *Controller, r lease) owner {
	return owner{controller: c, lease: r, jobs: map[string]*job{}, machines: map[string]*machine{}}
}

func (o *owner) alive() bool { return !o.ended }

// every runs f each d while the owner serves.
func (o *owner) every(d time.Duration, f func()) {
	o.controller.after(d, func() {
		if o.alive() {
			f()
			o.every(d, f)
		}
	})
}

// grace is how long an owner whose lease may have ended goes on answering
// reports, so that an outage of the state service doesn't end every task. Whoever comes
// next waits for its end before it takes silence for a proof. It is never longer than
// lets lease, grace and worker lease together stay within the time a cancellation has;
// what the owner knows bounds it further (answersFor).
func (o *owner) grace() time.Duration { return o.controller.graceAfter(o.lease.ttl) }

// graceAfter is the grace of an owner with a lease of the given time.
func (c *Controller) graceAfter(lease time.Duration) time.Duration {
	settings := c.cfg
	return max(0, settings.CancelWithin-settings.WorkerLease-drift(2*settings.WorkerLease)-lease-2*time.Second)
}

// holdsLease reports whether this owner may still answer workers: it may hold its lease, or
// its grace isn't over, and it knows of every cancellation that is so old that an answer
// now could keep its tasks beyond their time.
func (o *owner) holdsLease() bool {
	if o.known.IsZero() || o.controller.now.After(o.known.Add(o.controller.answersFor())) {
		return false
	}
	return !o.controller.now.After(o.lease.validUntil.Add(o.grace()))
}

// answersFor is how long after an owner last knew of every cancellation it may go on
// answering workers. One that it doesn't know of was confirmed after that; an answer
// renews a worker's lease, counted from when the report was sent, so from before the
// answer. The lease of a leader doesn't stand for what it knows: one that was elected and
// then refused before it had read the records held it, and renewed the leases of tasks
// whose cancellation was older than its term.
//
// Nothing is owed to the delay of the loop: a watch that is read late is as old as when
// it was asked for, and a report that is read late as when it was sent.
func (c *Controller) answersFor() time.Duration {
	settings := c.cfg
	return max(0, settings.CancelWithin-settings.WorkerLease-drift(settings.CancelWithin+settings.WorkerLease)-proofMargin)
}

// startsFor is how long after that it may send starts that were recorded before. The
// tasks of a cancelled job would end in time all the same, but nobody should start them.
const startsFor = 2500 * time.Millisecond

// mayStart reports whether starts may be sent.
func (o *owner) mayStart() bool {
	return !o.known.IsZero() && o.controller.now.Sub(o.known) <= startsFor && !o.controller.storeDown()
}

// learned notes that all that was recorded of jobs before at is known.
func (o *owner) learned(at time.Time) {
	if at.After(o.known) {
		o.known = at
	}
	// An owner that is behind reads its watches late, and is short of fresh knowledge most
	// of the time: what it withheld goes out now, and doesn't wait for the machines' reports.
	if len(o.withheld) > 0 && o.mayStart() {
		for _, m := range o.withheld {
			m.withheld = false
			o.directSoon(m)
		}
		o.withheld = o.withheld[:0]
	}
}

// silentProof is when a machine that has been silent since the tenure began has
// certainly ended its tasks: whoever served it before may have answered it until its
// own grace ended.
func (o *owner) silentProof(m *machine) time.Time {
	c := o.controller.cfg
	last := m.tenure.predecessorUntil
	if !m.tookOver.IsZero() {
		// It has seen our token and takes no other's answer any more. Until then an
		// earlier owner's may have renewed its lease: a token that came with a
		// direct command says nothing of when that was.
		last = m.tookOver
	}
	last = latest(last, m.answered, m.began)
	return last.Add(c.WorkerLease + drift(c.WorkerLease) + proofMargin)
}

// machineToken is the token for one worker.
func (o *owner) machineToken(m *machine) uint64 { return m.tenure.token() | uint64(m.fence) }

// raiseFence makes the worker's token exceed one that it may have seen: that of
// a direct start, or its present one, when only a report with a new token can tell
// whether answers reach it. The fence never wraps: a lower token would be ignored.
func (o *owner) raiseFence(m *machine, above uint64) {
	if o.machineToken(m) > above {
		return
	}
	if m.fence == 1<<fenceBits-1 {
		o.controller.bounds.hit(boundFence)
		return
	}
	m.fence++
	m.tokenSince, m.tokenSeen = o.controller.now, false
}

// sendStep runs at the end of each step: it sends the orders that the step left.
func (o *owner) sendStep() {
	for i := 0; i < len(o.stepDirect); i++ {
		m := o.stepDirect[i]
		m.directAsked = false
		o.sendDirect(m)
	}
	o.stepDirect = o.stepDirect[:0]
}

func (o *owner) directSoon(m *machine) {
	if !m.directAsked {
		m.directAsked = true
		o.stepDirect = append(o.stepDirect, m)
	}
}

// hold adds an attempt to those of its machine, drop takes it out.
func (o *owner) hold(a *attempt) {
	m := a.machine
	m.attempts[taskKey{a.job.ID, a.task}] = a
	a.place = len(m.list)
	m.list = append(m.list, a)
	m.ReportBytes += protocol.TaskReportBytes(a.job.ID)
}

func (o *owner) drop(a *attempt) {
	m := a.machine
	m.ReportBytes -= protocol.TaskReportBytes(a.job.ID)
	delete(m.attempts, taskKey{a.job.ID, a.task})
	last := m.list[len(m.list)-1]
	m.list[a.place], last.place = last, a.place
	m.list[len(m.list)-1] = nil
	m.list = m.list[:len(m.list)-1]
}
