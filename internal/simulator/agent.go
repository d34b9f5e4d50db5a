package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// agent simulates the worker agent of one machine. It sends heartbeats to the controllers,
// runs task attempts, and discards its tasks when its lease expires.
type agent struct {
	cluster        *Cluster
	name           string
	machine        *machine
	spec           *protocol.MachineType
	dead           bool     // its machine was terminated or failed
	hung           bool     // it does nothing, except that its lease can expire
	queued         []func() // work deferred until the hang ends
	failsAllTasks  bool
	hasFailedTask  bool // controllers may have quarantined the machine for it
	heartbeatsLost bool // heartbeats reach no controller, but direct commands are answered
	incarnation    uint64
	seq            uint64
	fencingToken   uint64
	preemptionAt   time.Time
	tasks          []*attempt
	images         []string

	target            int // index of the controller that gets the next heartbeat
	heartbeatInFlight bool
	heartbeatSeq      uint64 // sequence number of the last heartbeat sent
	lastSent          time.Time
	leaseStart        time.Time // send time of the last accepted heartbeat, or the start of this incarnation if that is later
	lastReply         time.Time // arrival of the reply to that heartbeat
	nextHeartbeat     *event
	lease             *event // lease expiry
	changed           bool   // the status changed after the last heartbeat
}

// attempt is one execution of a task on an agent's machine.
type attempt struct {
	job          string
	taskIndex    int
	number       uint64
	state        protocol.TaskState
	exitReason   protocol.ExitReason
	checkpointed bool // a checkpoint was written before it stopped
	startedAt    time.Time
	timer        *event // end of the current state
}

func newAgent(c *Cluster, m *machine, spec *protocol.MachineType) *agent {
	a := &agent{cluster: c, name: m.name, machine: m, spec: spec, incarnation: 1, leaseStart: c.now, lastReply: c.now, target: c.rng.IntN(3)}
	c.agents[a.name] = a
	a.armLease()
	a.scheduleHeartbeat(0)
	return a
}

// terminate ends the agent and its tasks.
func (a *agent) terminate() {
	a.dead = true
	a.cluster.recordReplyInterval(a.cluster.now.Sub(a.lastReply)) // the last, incomplete interval counts too
	for _, t := range a.tasks {
		a.endExecution(t)
	}
	a.tasks = nil
	delete(a.cluster.agents, a.name)
}

// reboot ends the agent's tasks and starts a new incarnation, as an expired lease does. Sequence
// numbers and the fencing token are kept.
func (a *agent) reboot() {
	a.leaseStart = a.cluster.now.Add(-a.cluster.settings.WorkerLease)
	a.checkLease()
}

// runUnlessHung runs f now, or once the machine no longer hangs. f is dropped if the agent is
// dead.
func (a *agent) runUnlessHung(f func()) {
	if a.dead {
		return
	}
	if a.hung {
		a.queued = append(a.queued, f)
		return
	}
	f()
}

// setHung makes the machine hang, or ends the hang and runs the deferred work.
func (a *agent) setHung(on bool) {
	a.hung = on
	if on {
		return
	}
	a.checkLease()
	queued := a.queued
	a.queued = nil
	for _, f := range queued {
		a.runUnlessHung(f)
	}
}

// armLease schedules the expiry of the lease.
func (a *agent) armLease() {
	if a.lease != nil {
		a.lease.run = nil
	}
	d := a.leaseStart.Add(a.cluster.settings.WorkerLease).Sub(a.cluster.now)
	// The lease also expires during a hang, so that no task survives a hang that outlasts
	// the lease.
	a.lease = a.cluster.after(d, a.checkLease)
}

// checkLease ends all tasks and starts a new incarnation if the lease has expired.
func (a *agent) checkLease() {
	if a.dead || a.cluster.now.Before(a.leaseStart.Add(a.cluster.settings.WorkerLease)) {
		return
	}
	for _, t := range a.tasks {
		a.endExecution(t)
	}
	a.tasks = nil
	a.incarnation++
	a.leaseStart = a.cluster.now
	a.armLease()
	a.statusChanged()
}

// statusChanged schedules a heartbeat for the changed status, at least 500 ms after the previous
// heartbeat. If a heartbeat is in flight, the next one is scheduled once that has been answered.
func (a *agent) statusChanged() {
	a.changed = true
	if !a.heartbeatInFlight {
		a.scheduleHeartbeat(a.lastSent.Add(500 * time.Millisecond).Sub(a.cluster.now))
	}
}

func (a *agent) scheduleHeartbeat(d time.Duration) {
	if a.nextHeartbeat != nil {
		a.nextHeartbeat.run = nil
	}
	a.nextHeartbeat = a.cluster.after(d, func() { a.runUnlessHung(a.heartbeat) })
}

// status returns a heartbeat with the next sequence number.
func (a *agent) status() *protocol.Heartbeat {
	a.seq++
	r := &protocol.Heartbeat{Machine: a.name, Addr: a.machine.addr, Type: a.machine.machineType, Zone: a.machine.zone, Spot: a.machine.spot,
		Incarnation: a.incarnation, Sequence: a.seq, FencingToken: a.fencingToken}
	if !a.preemptionAt.IsZero() {
		r.HasPreemptionNotice, r.PreemptionNotice = true, max(0, a.preemptionAt.Sub(a.cluster.now))
	}
	for _, t := range a.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Job: t.job, TaskIndex: t.taskIndex, Attempt: t.number, State: t.state, Reason: t.exitReason, Checkpointed: t.checkpointed})
	}
	return r
}

// heartbeatTimeout is how long an agent waits for the reply to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// heartbeat sends a heartbeat to the target controller unless one is in flight.
func (a *agent) heartbeat() {
	c := a.cluster
	if a.heartbeatInFlight {
		return
	}
	a.heartbeatInFlight, a.changed = true, false
	status := a.status()
	h := &heartbeat{agent: a, to: c.controllers[a.target%len(c.controllers)], body: protocol.EncodeHeartbeat(status),
		incarnation: a.incarnation, sentAt: c.now}
	a.heartbeatSeq, a.lastSent = status.Sequence, h.sentAt
	c.after(heartbeatTimeout, func() { a.runUnlessHung(func() { h.finish(h.tryNextController) }) })
	if h.to.remote == nil && h.to.core == nil && !h.to.poweredOff {
		// The host is up but no controller listens: it refuses the connection.
		c.after(connectionRefusedDelay, func() { a.runUnlessHung(func() { h.finish(h.tryNextController) }) })
		return
	}
	if a.heartbeatsLost {
		return // the connection is never accepted
	}
	h.responder = h.to.incarnationID()
	c.keepStaleHeartbeat(a, h.body)
	if c.duplicateHeartbeatDelay > 0 {
		delay := time.Second + time.Duration(c.rng.Int64N(int64(c.duplicateHeartbeatDelay)))
		c.after(delay, func() { c.send(a.name, h.to.name, func() { h.deliver(ignoreResponse) }) })
	}
	c.request(a.name, h.to.name, h.deliver, func(status int, body []byte) {
		a.runUnlessHung(func() { h.finish(func() { h.handleReply(status, body) }) })
	})
}

// connectionRefusedDelay is how long a host without a running controller takes to refuse a
// connection.
const connectionRefusedDelay = 2 * time.Millisecond

// heartbeat is a heartbeat request in flight.
type heartbeat struct {
	agent       *agent
	to          *controllerHost
	body        []byte
	incarnation uint64
	sentAt      time.Time
	responder   string    // incarnation ID of the controller that replies
	repliedAt   time.Time // when the controller sent its reply
	finished    bool
}

// finish runs f unless the heartbeat was already answered or has timed out.
func (h *heartbeat) finish(f func()) {
	if !h.finished && !h.agent.dead {
		h.finished = true
		h.agent.heartbeatInFlight = false
		f()
	}
}

// tryNextController makes the agent send its next heartbeat to the next controller, one second
// from now.
func (h *heartbeat) tryNextController() {
	h.agent.target++
	h.agent.scheduleHeartbeat(time.Second)
}

// deliver passes the heartbeat to the controller and the controller's reply to respond.
func (h *heartbeat) deliver(respond respondFunc) {
	c := h.agent.cluster
	h.responder = h.to.incarnationID()
	c.withTriggers(onHeartbeat, []string{h.to.name, h.to.name + "/" + h.agent.name}, func() {
		h.to.request("POST", protocol.PathHeartbeat, h.body, heartbeatTimeout, func(status int, body []byte) {
			h.repliedAt = c.now
			respond(status, body)
		})
	})
}

// handleReply handles the controller's reply: accepted, redirected or failed.
func (h *heartbeat) handleReply(status int, body []byte) {
	switch status {
	case 200:
		h.agent.acceptReply(h.responder, h.incarnation, h.sentAt, h.repliedAt, body)
		h.agent.scheduleNextHeartbeat()
	case 421:
		h.followRedirect(protocol.ParseRedirect(body))
	default:
		h.tryNextController()
	}
}

// followRedirect makes the agent send its next heartbeat to the named controller. If that one is
// unknown or the one that redirected, it tries the next controller.
func (h *heartbeat) followRedirect(name string) {
	a, c := h.agent, h.agent.cluster
	for i, peer := range c.controllers {
		if peer.name == name && i != a.target%len(c.controllers) {
			a.target = i
			a.scheduleHeartbeat(time.Duration(c.rng.IntN(500)) * time.Millisecond)
			return
		}
	}
	h.tryNextController()
}

// scheduleNextHeartbeat schedules the heartbeat after an accepted one: soon if the status has
// changed, otherwise after 3/4 to 5/4 of the heartbeat interval.
func (a *agent) scheduleNextHeartbeat() {
	if a.changed {
		a.statusChanged()
		return
	}
	d := a.cluster.settings.HeartbeatInterval
	a.scheduleHeartbeat(d*3/4 + time.Duration(a.cluster.rng.Int64N(int64(d/2))))
}

// acceptReply renews the lease and executes the orders of a reply. It ignores replies that are
// malformed, have an old fencing token, or belong to an earlier incarnation. sent and replied are
// the times at which the heartbeat and the reply were sent.
func (a *agent) acceptReply(from string, incarnation uint64, sent, replied time.Time, body []byte) {
	token, _, orders, err := protocol.ParseOrders(body)
	if err != nil || token == nil || *token < a.fencingToken || incarnation != a.incarnation {
		return
	}
	if *token > a.fencingToken {
		a.fencingToken = *token
		a.changed = true
	}
	a.cluster.checkFencingToken(*token, from)
	a.cluster.recordReplyInterval(a.cluster.now.Sub(a.lastReply))
	a.lastReply = a.cluster.now
	a.leaseStart = sent
	a.armLease()
	a.execute(orders, replied)
}

// serve answers a controller's direct request: a status query (GET) or orders. sent is when the
// controller sent it.
func (a *agent) serve(from, method string, body []byte, sent time.Time, respond respondFunc) {
	a.runUnlessHung(func() {
		if method == "GET" {
			respond(200, protocol.EncodeHeartbeat(a.status()))
			return
		}
		token, incarnation, orders, err := protocol.ParseOrders(body)
		if err != nil || token == nil || incarnation == nil {
			respond(400, nil)
			return
		}
		if *token < a.fencingToken || *incarnation != a.incarnation {
			respond(409, protocol.EncodeHeartbeat(a.status()))
			return
		}
		a.cluster.checkFencingToken(*token, from)
		if *token > a.fencingToken {
			a.fencingToken = *token
			a.statusChanged()
		}
		a.execute(orders, sent)
		respond(200, protocol.EncodeHeartbeat(a.status()))
	})
}

// runningAttempt returns the attempt of a task that is in state Running on this machine, or nil.
func (a *agent) runningAttempt(j *userJob, index int) *attempt {
	for _, t := range a.tasks {
		if t.job == j.spec.ID && t.taskIndex == index && t.state == protocol.Running {
			return t
		}
	}
	return nil
}

// findAttempt returns the attempt that an order names, or nil.
func (a *agent) findAttempt(o protocol.Order) *attempt {
	for _, t := range a.tasks {
		if t.job == o.Job && t.taskIndex == o.TaskIndex && t.number == o.Attempt {
			return t
		}
	}
	return nil
}

// execute carries out orders that a controller sent at the given time.
func (a *agent) execute(orders []protocol.Order, sent time.Time) {
	for _, o := range orders {
		t := a.findAttempt(o)
		switch o.Kind {
		case protocol.Start:
			if t == nil {
				a.startAttempt(o, sent)
			}
		case protocol.Stop:
			if t != nil {
				a.stopAttempt(t, o.Grace)
			}
		case protocol.Forget:
			if t != nil && t.state == protocol.Exited {
				a.tasks = slices.DeleteFunc(a.tasks, func(x *attempt) bool { return x == t })
			}
		}
	}
}

// maxStartAfterCancel is how long after the user was told of a cancellation a controller that has
// not learned of it yet may still send orders to start the job's tasks.
const maxStartAfterCancel = 3 * time.Second

// startAttempt creates an attempt and starts fetching its image, or refuses the start. It checks
// that no task of a cancelled job is started.
func (a *agent) startAttempt(o protocol.Order, sent time.Time) {
	c := a.cluster
	t := &attempt{job: o.Job, taskIndex: o.TaskIndex, number: o.Attempt, state: protocol.Fetching}
	a.tasks = append(a.tasks, t)
	j := c.jobs[o.Job]
	if j == nil || o.TaskIndex >= j.spec.Tasks {
		a.exitAttempt(t, protocol.ExitUnknownTask)
		return
	}
	if !j.cancelledAt.IsZero() && sent.Sub(j.cancelledAt) > maxStartAfterCancel {
		c.reportViolation("started_cancelled", "%s starts on %s by an order sent %s after the user was told of the cancellation", t, a.name, sent.Sub(j.cancelledAt).Round(time.Millisecond))
	}
	cpus, mem := j.spec.CPUs, j.spec.MemoryGB
	for _, x := range a.tasks {
		if x == t || x.state == protocol.Exited {
			continue
		}
		if x.job == o.Job && x.taskIndex == o.TaskIndex {
			a.exitAttempt(t, protocol.ExitAlreadyRunning)
			return
		}
		cpus += c.jobs[x.job].spec.CPUs
		mem += c.jobs[x.job].spec.MemoryGB
	}
	if cpus > a.spec.CPUs+protocol.Epsilon || mem > a.spec.MemoryGB+protocol.Epsilon {
		a.exitAttempt(t, protocol.ExitNoCapacity)
		return
	}
	c.checkCeiling(a, j)
	fetch := time.Duration(j.spec.ImageGB / a.spec.FetchGBPerSecond * float64(time.Second))
	if slices.Contains(a.images, j.spec.Image) {
		fetch = 0
		c.placements.imageHits++
	}
	c.placements.starts++
	t.timer = c.after(fetch, func() { a.runUnlessHung(func() { a.startTask(t, j) }) })
	a.statusChanged()
}

// startTask runs an attempt whose image has been fetched. A task that already completed elsewhere
// exits at once.
func (a *agent) startTask(t *attempt, j *userJob) {
	if t.state != protocol.Fetching || !slices.Contains(a.tasks, t) {
		return // stopped while the machine hung
	}
	if !slices.Contains(a.images, j.spec.Image) {
		a.images = append(a.images, j.spec.Image)
		a.cluster.fetchedGB += j.spec.ImageGB
	}
	a.statusChanged()
	a.hasFailedTask = a.hasFailedTask || a.failsAllTasks
	if a.failsAllTasks || j.alwaysFails {
		j.failures++
		a.exitAttempt(t, protocol.ExitError)
		return
	}
	if j.completed[t.taskIndex] {
		a.exitAttempt(t, protocol.ExitDone)
		return
	}
	t.state, t.startedAt = protocol.Running, a.cluster.now
	a.cluster.taskStarted(a, t, j)
	if j.spec.Kind == protocol.Batch {
		t.timer = a.cluster.after(max(0, j.runTime-j.progress[t.taskIndex]), func() {
			a.runUnlessHung(func() {
				if t.state == protocol.Running {
					last := len(j.completed) == j.spec.Tasks-1 && !j.completed[t.taskIndex]
					j.completed[t.taskIndex] = true
					a.exitAttempt(t, protocol.ExitDone)
					if last {
						a.cluster.jobCompleted(j)
					}
				}
			})
		})
	}
}

// stopAttempt stops an attempt. If the job writes checkpoints and the grace period is long enough,
// a running attempt writes one first.
func (a *agent) stopAttempt(t *attempt, grace time.Duration) {
	j := a.cluster.jobs[t.job]
	if t.state == protocol.Fetching || t.state == protocol.Running {
		a.cluster.migrations.stops++
	}
	switch {
	case t.state == protocol.Exited:
	case t.state == protocol.Running && j.spec.CheckpointInterval > 0 && grace >= j.spec.CheckpointDuration:
		t.state = protocol.Checkpointing
		t.timer.run = nil
		t.timer = a.cluster.after(j.spec.CheckpointDuration, func() {
			a.runUnlessHung(func() {
				if t.state == protocol.Checkpointing {
					j.progress[t.taskIndex] += a.cluster.now.Sub(t.startedAt) - j.spec.CheckpointDuration
					t.checkpointed = true
					a.exitAttempt(t, protocol.ExitStopped)
				}
			})
		})
		a.statusChanged()
	case t.state == protocol.Checkpointing && grace > 0: // it may complete its checkpoint
	default:
		a.exitAttempt(t, protocol.ExitStopped)
	}
}

// exitAttempt ends an attempt for the given reason.
func (a *agent) exitAttempt(t *attempt, reason protocol.ExitReason) {
	a.endExecution(t)
	t.state, t.exitReason = protocol.Exited, reason
	a.statusChanged()
}

// endExecution cancels an attempt's timer and records that it no longer runs.
func (a *agent) endExecution(t *attempt) {
	if t.timer != nil {
		t.timer.run = nil
	}
	if t.state == protocol.Running || t.state == protocol.Checkpointing {
		a.cluster.recordWastedWork(t)
		a.cluster.taskEnded(a, t)
	}
}

func (t *attempt) String() string { return fmt.Sprintf("%s/%d#%d", t.job, t.taskIndex, t.number) }
