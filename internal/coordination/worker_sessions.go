package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// workerSessions serves the workers of machines, for a leader or for the owner of shards: it
// answers their heartbeats, sends them orders, probes those that fall silent, and learns
// which attempts are terminated. It places nothing and records nothing; what it learns it
// tells its listener, who places.
type workerSessions struct {
	controller *Controller
	listener   sessionListener
	ended      bool // it serves nobody any more
	loaded     bool // all attempts that may be on its machines are known
	// probesNewWorkers: workers that register are asked whether calls reach them.
	probesNewWorkers bool

	jobs        map[string]*job // the unfinished ones
	jobsKnownAt time.Time       // all that was recorded of jobs before it is known here; zero: nothing is
	machines    map[string]*machine
	fleetList   []*machine // the same, in the order they became known
	lease       leadership.Lease

	detector       sessions.Detector
	heartbeatCount uint64     // taken, responses included, to tell which attempts the latest one holds
	ordersDue      []*machine // machines with orders to send at the end of the step
	deferredStarts []*machine // machines whose starts wait for fresh knowledge of jobs
}

// sessionListener is told what workers show.
type sessionListener interface {
	// workerRegistered: a machine's worker sends a heartbeat here for the first time.
	workerRegistered(m *machine)
	// incarnationBegan: the worker lost all tasks and images of an earlier incarnation.
	incarnationBegan(m *machine)
	// incarnationReset: the worker counts its incarnations from the beginning again.
	incarnationReset(m *machine)
	// addressChanged: the worker is to be called at another address.
	addressChanged(m *machine)
	// preemptionNoticed: the cloud will take the machine.
	preemptionNoticed(m *machine)
	// tasksReconciled: the tasks that the worker holds were compared with what is known.
	tasksReconciled(m *machine)
	// workerReached: something that was sent arrived at the worker.
	workerReached(m *machine)
	// probeFailed: a probe of the worker got no answer.
	probeFailed(m *machine)
	// newerTokenSeen: the worker has seen a token of a later epoch than its machine's.
	newerTokenSeen(m *machine)
	// taskStateReported: an attempt's state, which may be the same as before.
	taskStateReported(a *attempt, s protocol.TaskState)
	// taskExitReported tells whether the worker may forget an exited task; a is nil for one
	// that isn't known here.
	taskExitReported(m *machine, a *attempt, t *protocol.TaskStatus) (forget bool)
	// orphanReported tells whether a task that isn't known here is to be stopped.
	orphanReported(m *machine, t *protocol.TaskStatus) (stop bool)
	// attemptTerminated: it was proven that an attempt is gone and can't start any more.
	attemptTerminated(a *attempt, reason string)
	// jobRecorded: there is a record of an unfinished job; live says that it was just
	// written. jobEnded: its outcome is recorded. jobRemoved: its record was removed.
	jobRecorded(id string, value json.RawMessage, live bool)
	jobEnded(j *job, s protocol.JobState)
	jobRemoved(id string)
}

// serves reports whether a machine's worker is this owner's to answer and to call now.
func (s *workerSessions) serves(m *machine) bool { return m.session.Served() }

// newWorkerSessions serves nobody until machines are added and jobs are known.
func newWorkerSessions(c *Controller, r leadership.Lease) workerSessions {
	return workerSessions{controller: c, lease: r, jobs: map[string]*job{}, machines: map[string]*machine{}}
}

// alive reports whether the owner still serves.
func (s *workerSessions) alive() bool { return !s.ended }

// every runs f each d while the owner serves.
func (s *workerSessions) every(d time.Duration, f func()) {
	s.controller.after(d, func() {
		if s.alive() {
			f()
			s.every(d, f)
		}
	})
}

// gracePeriod is how long an owner whose lease may have ended goes on answering
// heartbeats, so that an outage of the state service doesn't end every task. Whoever comes
// next waits for its end before it takes silence for a proof. It is never longer than
// lets lease, grace and worker lease together stay within the time a cancellation has;
// what the owner knows bounds it further (maxAnswerStaleness).
func (s *workerSessions) gracePeriod() time.Duration {
	return s.controller.gracePeriodForLease(s.lease.TTL)
}

// gracePeriodForLease is the grace period of an owner with a lease of the given time.
func (c *Controller) gracePeriodForLease(lease time.Duration) time.Duration {
	settings := c.cfg
	return max(0, settings.CancelWithin-settings.WorkerLease-leadership.MaxClockDrift(2*settings.WorkerLease)-lease-2*time.Second)
}

// holdsLease reports whether this owner may still answer workers: it may hold its lease, or
// its grace isn't over, and it knows of every cancellation that is so old that an answer
// now could keep its tasks beyond their time.
func (s *workerSessions) holdsLease() bool {
	if s.jobsKnownAt.IsZero() || s.controller.now.After(s.jobsKnownAt.Add(s.controller.maxAnswerStaleness())) {
		return false
	}
	return !s.controller.now.After(s.lease.ValidUntil.Add(s.gracePeriod()))
}

// maxAnswerStaleness is how long after an owner last knew of every cancellation it may go on
// answering workers. One that it doesn't know of was confirmed after that; an answer
// renews a worker's lease, counted from when the heartbeat was sent, so from before the
// answer. The lease of a leader doesn't stand for what it knows: one that was elected and
// then refused before it had read the records held it, and renewed the leases of tasks
// whose cancellation was older than its term.
//
// Nothing is owed to the delay of the loop: a watch that is read late is as old as when
// it was asked for, and a heartbeat that is read late as when it was sent.
func (c *Controller) maxAnswerStaleness() time.Duration {
	settings := c.cfg
	return max(0, settings.CancelWithin-settings.WorkerLease-leadership.MaxClockDrift(settings.CancelWithin+settings.WorkerLease)-deadlineMargin)
}

// maxStartStaleness is how long after that it may send starts that were recorded before. The
// tasks of a cancelled job would end in time all the same, but nobody should start them.
const maxStartStaleness = 2500 * time.Millisecond

// startsAllowed reports whether starts may be sent.
func (s *workerSessions) startsAllowed() bool {
	return !s.jobsKnownAt.IsZero() && s.controller.now.Sub(s.jobsKnownAt) <= maxStartStaleness && !s.controller.store.Unavailable()
}

// noteJobsKnown notes that all that was recorded of jobs before at is known.
func (s *workerSessions) noteJobsKnown(at time.Time) {
	if at.After(s.jobsKnownAt) {
		s.jobsKnownAt = at
	}
	// An owner that is behind reads its watches late, and is short of fresh knowledge most
	// of the time: what it deferred goes out now, and doesn't wait for the machines' heartbeats.
	if len(s.deferredStarts) > 0 && s.startsAllowed() {
		for _, m := range s.deferredStarts {
			m.orders.startsDeferred = false
			s.scheduleOrders(m)
		}
		s.deferredStarts = s.deferredStarts[:0]
	}
}

// terminationProofAt is when a machine that stays silent has certainly ended its tasks.
func (s *workerSessions) terminationProofAt(m *machine) time.Time {
	lease := s.controller.cfg.WorkerLease
	return m.session.TerminationProofAt(lease + leadership.MaxClockDrift(lease) + deadlineMargin)
}

// raiseFencingToken makes the worker's token exceed one that it may have seen.
func (s *workerSessions) raiseFencingToken(m *machine, above uint64) {
	if err := m.session.RaiseToken(above, s.controller.now); err != nil {
		s.controller.limits.Reached(limits.FencingTokenRaises)
	}
}

// timing derives the failure detector's times from the settings.
func (c *Controller) timing() sessions.Timing {
	return sessions.Timing{HeartbeatInterval: c.cfg.HeartbeatInterval, WorkerLease: c.cfg.WorkerLease}
}

// unansweredFor is how long no heartbeat of a machine has been answered, and unreachedFor how
// long nothing sent was seen to arrive there.
func (s *workerSessions) unansweredFor(m *machine) time.Duration {
	return s.detector.Unanswered(&m.session, s.controller.now)
}

func (s *workerSessions) unreachedFor(m *machine) time.Duration {
	return s.detector.Unreached(&m.session, s.controller.now)
}

// flushOrders sends the orders that a step left, at its end.
func (s *workerSessions) flushOrders() {
	for i := 0; i < len(s.ordersDue); i++ {
		m := s.ordersDue[i]
		m.orders.due = false
		s.sendOrders(m)
	}
	s.ordersDue = s.ordersDue[:0]
}

// scheduleOrders wants a machine's orders sent at the end of the step.
func (s *workerSessions) scheduleOrders(m *machine) {
	if !m.orders.due {
		m.orders.due = true
		s.ordersDue = append(s.ordersDue, m)
	}
}

// track adds an attempt to those of its machine, untrack takes it out.
func (s *workerSessions) track(a *attempt) {
	m := a.machine
	m.attempts[taskKey{a.job.ID, a.taskIndex}] = a
	a.listIndex = len(m.attemptList)
	m.attemptList = append(m.attemptList, a)
	m.ReportBytes += protocol.TaskStatusBytes(a.job.ID)
}

func (s *workerSessions) untrack(a *attempt) {
	m := a.machine
	m.ReportBytes -= protocol.TaskStatusBytes(a.job.ID)
	delete(m.attempts, taskKey{a.job.ID, a.taskIndex})
	last := m.attemptList[len(m.attemptList)-1]
	m.attemptList[a.listIndex], last.listIndex = last, a.listIndex
	m.attemptList[len(m.attemptList)-1] = nil
	m.attemptList = m.attemptList[:len(m.attemptList)-1]
}
