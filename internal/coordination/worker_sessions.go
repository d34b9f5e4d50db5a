package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// workerSessions manages the workers of a leader's or a shard owner's machines: it responds to
// their heartbeats, sends orders, probes workers from which no messages arrive, and determines
// which attempts have terminated. It neither places tasks nor writes records. It reports events to its
// listener, which does. The leader or shard owner that it belongs to is called the owner below.
type workerSessions struct {
	controller *Controller
	listener   sessionListener
	ended      bool // the owner no longer serves any worker
	loaded     bool // all attempts that may be on its machines are known
	// probesNewWorkers: workers that register are probed to find out whether calls reach them.
	probesNewWorkers bool

	jobs        map[string]*job // unfinished jobs
	jobsKnownAt time.Time       // all job records written before this time are known here; zero if none are
	machines    map[string]*machine
	fleetList   []*machine // the same machines, in the order in which they became known
	lease       leadership.Lease

	detector       sessions.Detector
	statusCount    uint64     // statuses applied, including those in call responses; listed attempts are marked with it
	ordersDue      []*machine // machines with orders to send at the end of the step
	deferredStarts []*machine // machines whose starts wait for a recent read of the job records
}

// sessionListener is notified of events in worker sessions.
type sessionListener interface {
	// workerRegistered: the first status of a machine's worker was received in this epoch.
	workerRegistered(m *machine)
	// workerRestarted: the worker began a new incarnation and lost all earlier tasks and images.
	workerRestarted(m *machine)
	// incarnationReset: the worker lost its state and restarted its incarnation numbers.
	incarnationReset(m *machine)
	// addressChanged: the worker's address has changed.
	addressChanged(m *machine)
	// preemptionNoticed: the cloud announced that it will preempt the machine.
	preemptionNoticed(m *machine)
	// tasksReconciled: the worker's tasks are about to be compared with the known attempts for
	// the first time.
	tasksReconciled(m *machine)
	// workerReached: it was proven that something sent has reached the worker.
	workerReached(m *machine)
	// probeFailed: a probe of the worker got no valid response.
	probeFailed(m *machine)
	// newerTokenSeen: the worker has seen a fencing token of a later epoch than this one.
	newerTokenSeen(m *machine)
	// taskStateReported: the worker reported an attempt's state, which may be unchanged.
	taskStateReported(a *attempt, s protocol.TaskState)
	// taskExitReported: the worker reported an exited task; a is nil if the attempt is unknown
	// here. It returns whether the worker may forget the task.
	taskExitReported(m *machine, a *attempt, t *protocol.TaskStatus) (forget bool)
	// orphanReported: the worker reported a task that is unknown here. It returns whether to
	// stop the task.
	orphanReported(m *machine, t *protocol.TaskStatus) (stop bool)
	// attemptTerminated: it was proven that an attempt has ended and can no longer be started.
	attemptTerminated(a *attempt, reason string)
	// jobRecorded: a record of an unfinished job was read. justWritten means that a watch delivered
	// it, so that it is new. jobEnded: the job's outcome is recorded. jobRemoved: its record was
	// removed.
	jobRecorded(id string, value json.RawMessage, justWritten bool)
	jobEnded(j *job, s protocol.JobState)
	jobRemoved(id string)
}

// serves reports whether this owner currently responds to the heartbeats of a machine's worker and
// calls the worker.
func (s *workerSessions) serves(m *machine) bool { return m.session.Served() }

// newWorkerSessions returns sessions without machines and jobs.
func newWorkerSessions(c *Controller, ownerLease leadership.Lease) workerSessions {
	return workerSessions{controller: c, lease: ownerLease, jobs: map[string]*job{}, machines: map[string]*machine{}}
}

// alive reports whether the owner still serves workers.
func (s *workerSessions) alive() bool { return !s.ended }

// every runs f at the interval d while the owner serves workers.
func (s *workerSessions) every(d time.Duration, f func()) {
	s.controller.after(d, func() {
		if s.alive() {
			f()
			s.every(d, f)
		}
	})
}

// gracePeriod is how long an owner keeps responding to heartbeats after its lease may have
// expired, so that an outage of the state service doesn't end every task. The next owner waits
// for its end before it treats missing messages of a worker as proof that the tasks have ended. It is
// short enough that lease, grace period and worker lease together fit into the time in which
// a cancellation must take effect (gracePeriodForLease). maxAnswerStaleness further bounds how long
// heartbeats are answered.
func (s *workerSessions) gracePeriod() time.Duration {
	return s.controller.gracePeriodForLease(s.lease.TTL)
}

// gracePeriodForLease is the grace period of an owner whose lease has the given TTL: what the lease,
// the worker lease, clock drift and a margin of two seconds leave of CancelDeadline.
func (c *Controller) gracePeriodForLease(lease time.Duration) time.Duration {
	settings := c.cfg
	return max(0, settings.CancelDeadline-settings.WorkerLease-leadership.MaxClockDrift(2*settings.WorkerLease)-lease-2*time.Second)
}

// holdsLease reports whether this owner may still respond to workers: its lease or grace period
// hasn't ended, and it knows of every cancellation whose tasks a response now could keep
// running past the cancellation deadline.
func (s *workerSessions) holdsLease() bool {
	if s.jobsKnownAt.IsZero() || s.controller.now.After(s.jobsKnownAt.Add(s.controller.maxAnswerStaleness())) {
		return false
	}
	return !s.controller.now.After(s.lease.ValidUntil.Add(s.gracePeriod()))
}

// maxAnswerStaleness is how long an owner may keep responding to workers after it last knew of
// every cancellation. A cancellation that it doesn't know of was confirmed after that time, and
// a heartbeat response renews the worker's lease from when the heartbeat was sent, which is
// before the response. Holding the leader's lease doesn't imply this knowledge: a leader that
// was elected, and was then refused by the state service before it had read the records, held
// the lease and renewed worker leases for tasks that were cancelled before its term.
//
// Delays of the event loop need no allowance: a watch response that is read late counts from
// when the watch was requested, and a heartbeat that is read late from when it was sent.
func (c *Controller) maxAnswerStaleness() time.Duration {
	settings := c.cfg
	return max(0, settings.CancelDeadline-settings.WorkerLease-leadership.MaxClockDrift(settings.CancelDeadline+settings.WorkerLease)-deadlineMargin)
}

// maxStartStaleness is how long an owner may send recorded starts after it last knew of every
// cancellation. The tasks of a cancelled job would still end in time, but they shouldn't be
// started at all.
const maxStartStaleness = 2500 * time.Millisecond

// startsAllowed reports whether starts may be sent: every cancellation was known within
// maxStartStaleness, and the state service is available.
func (s *workerSessions) startsAllowed() bool {
	return !s.jobsKnownAt.IsZero() && s.controller.now.Sub(s.jobsKnownAt) <= maxStartStaleness && !s.controller.store.Unavailable()
}

// noteJobsKnown records that all job records written before the given time are known, and
// schedules deferred starts that are allowed again.
func (s *workerSessions) noteJobsKnown(at time.Time) {
	if at.After(s.jobsKnownAt) {
		s.jobsKnownAt = at
	}
	// An overloaded owner reads the responses to its watches late, so starts are not allowed
	// most of the time. Deferred starts are sent now rather than with the machines' next
	// heartbeats.
	if len(s.deferredStarts) > 0 && s.startsAllowed() {
		for _, m := range s.deferredStarts {
			m.orders.startsDeferred = false
			s.scheduleOrders(m)
		}
		s.deferredStarts = s.deferredStarts[:0]
	}
}

// terminationProofAt returns the time at which all tasks on a machine have certainly ended if contact
// with its worker isn't resumed before.
func (s *workerSessions) terminationProofAt(m *machine) time.Time {
	lease := s.controller.cfg.WorkerLease
	return m.session.TerminationProofAt(lease + leadership.MaxClockDrift(lease) + deadlineMargin)
}

// raiseFencingToken raises the worker's token above one that it may have seen.
func (s *workerSessions) raiseFencingToken(m *machine, above uint64) {
	if err := m.session.RaiseToken(above, s.controller.now); err != nil {
		s.controller.limits.Reached(limits.FencingTokenRaises)
	}
}

// timing returns the settings from which the failure detector's timeouts are derived.
func (c *Controller) timing() sessions.Timing {
	return sessions.Timing{HeartbeatInterval: c.cfg.HeartbeatInterval, WorkerLease: c.cfg.WorkerLease}
}

// unansweredFor returns for how long no heartbeat of a machine has been answered.
func (s *workerSessions) unansweredFor(m *machine) time.Duration {
	return s.detector.Unanswered(&m.session, s.controller.now)
}

// unreachedFor returns for how long there has been no proof that anything sent reaches a machine.
func (s *workerSessions) unreachedFor(m *machine) time.Duration {
	return s.detector.Unreached(&m.session, s.controller.now)
}

// flushOrders sends the scheduled orders at the end of a step.
func (s *workerSessions) flushOrders() {
	for i := 0; i < len(s.ordersDue); i++ {
		m := s.ordersDue[i]
		m.orders.due = false
		s.sendOrders(m)
	}
	s.ordersDue = s.ordersDue[:0]
}

// scheduleOrders schedules a machine's pending orders to be sent at the end of the step.
func (s *workerSessions) scheduleOrders(m *machine) {
	if !m.orders.due {
		m.orders.due = true
		s.ordersDue = append(s.ordersDue, m)
	}
}

// track adds an attempt to its machine.
func (s *workerSessions) track(a *attempt) {
	m := a.machine
	m.attempts[taskKey{a.job.ID, a.taskIndex}] = a
	a.listIndex = len(m.attemptList)
	m.attemptList = append(m.attemptList, a)
	m.HeartbeatBytes += protocol.MaxTaskStatusBytes(a.job.ID)
}

// untrack removes an attempt from its machine.
func (s *workerSessions) untrack(a *attempt) {
	m := a.machine
	m.HeartbeatBytes -= protocol.MaxTaskStatusBytes(a.job.ID)
	delete(m.attempts, taskKey{a.job.ID, a.taskIndex})
	last := m.attemptList[len(m.attemptList)-1]
	m.attemptList[a.listIndex], last.listIndex = last, a.listIndex
	m.attemptList[len(m.attemptList)-1] = nil
	m.attemptList = m.attemptList[:len(m.attemptList)-1]
}
