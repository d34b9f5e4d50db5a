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
	dead           bool
	hung           bool
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
	leaseStart        time.Time // send time of the last accepted heartbeat
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

func newAgent(c *Cluster, h *machine, spec *protocol.MachineType) *agent {
	w := &agent{cluster: c, name: h.name, machine: h, spec: spec, incarnation: 1, leaseStart: c.now, lastReply: c.now, target: c.rng.IntN(3)}
	c.agents[w.name] = w
	w.armLease()
	w.scheduleHeartbeat(0)
	return w
}

// terminate ends the agent and its tasks.
func (w *agent) terminate() {
	w.dead = true
	w.cluster.recordReplyInterval(w.cluster.now.Sub(w.lastReply)) // the last, incomplete interval counts too
	for _, t := range w.tasks {
		w.endExecution(t)
	}
	w.tasks = nil
	delete(w.cluster.agents, w.name)
}

// reboot ends the agent's tasks and starts a new incarnation, as an expired lease does. Sequence
// numbers and the fencing token are kept.
func (w *agent) reboot() {
	w.leaseStart = w.cluster.now.Add(-w.cluster.settings.WorkerLease)
	w.checkLease()
}

// runUnlessHung runs f now, or once the machine no longer hangs. f is dropped if the agent is
// dead.
func (w *agent) runUnlessHung(f func()) {
	if w.dead {
		return
	}
	if w.hung {
		w.queued = append(w.queued, f)
		return
	}
	f()
}

// setHung makes the machine hang, or ends the hang and runs the deferred work.
func (w *agent) setHung(on bool) {
	w.hung = on
	if on {
		return
	}
	w.checkLease()
	queued := w.queued
	w.queued = nil
	for _, f := range queued {
		w.runUnlessHung(f)
	}
}

// armLease schedules the expiry of the lease.
func (w *agent) armLease() {
	if w.lease != nil {
		w.lease.run = nil
	}
	d := w.leaseStart.Add(w.cluster.settings.WorkerLease).Sub(w.cluster.now)
	// The lease also expires during a hang, so that no task survives a hang that outlasts
	// the lease.
	w.lease = w.cluster.after(d, w.checkLease)
}

// checkLease ends all tasks and starts a new incarnation if the lease has expired.
func (w *agent) checkLease() {
	if w.dead || w.cluster.now.Before(w.leaseStart.Add(w.cluster.settings.WorkerLease)) {
		return
	}
	for _, t := range w.tasks {
		w.endExecution(t)
	}
	w.tasks = nil
	w.incarnation++
	w.leaseStart = w.cluster.now
	w.armLease()
	w.statusChanged()
}

// statusChanged schedules a heartbeat for the changed status, at least 500 ms after the previous
// heartbeat.
func (w *agent) statusChanged() {
	w.changed = true
	if !w.heartbeatInFlight {
		w.scheduleHeartbeat(w.lastSent.Add(500 * time.Millisecond).Sub(w.cluster.now))
	}
}

func (w *agent) scheduleHeartbeat(d time.Duration) {
	if w.nextHeartbeat != nil {
		w.nextHeartbeat.run = nil
	}
	w.nextHeartbeat = w.cluster.after(d, func() { w.runUnlessHung(w.heartbeat) })
}

// status returns a heartbeat with the next sequence number.
func (w *agent) status() *protocol.Heartbeat {
	w.seq++
	r := &protocol.Heartbeat{Machine: w.name, Addr: w.machine.addr, Type: w.machine.machineType, Zone: w.machine.zone, Spot: w.machine.spot,
		Incarnation: w.incarnation, Sequence: w.seq, FencingToken: w.fencingToken}
	if !w.preemptionAt.IsZero() {
		r.HasPreemptionNotice, r.PreemptionNotice = true, max(0, w.preemptionAt.Sub(w.cluster.now))
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Job: t.job, TaskIndex: t.taskIndex, Attempt: t.number, State: t.state, Reason: t.exitReason, Checkpointed: t.checkpointed})
	}
	return r
}

// heartbeatTimeout is how long an agent waits for the reply to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// heartbeat sends a heartbeat to the target controller unless one is in flight.
func (w *agent) heartbeat() {
	c := w.cluster
	if w.heartbeatInFlight {
		return
	}
	w.heartbeatInFlight, w.changed = true, false
	status := w.status()
	h := &heartbeat{agent: w, to: c.controllers[w.target%len(c.controllers)], body: protocol.EncodeHeartbeat(status),
		incarnation: w.incarnation, sentAt: c.now}
	w.heartbeatSeq, w.lastSent = status.Sequence, h.sentAt
	c.after(heartbeatTimeout, func() { w.runUnlessHung(func() { h.finish(h.tryNextController) }) })
	if h.to.remote == nil && h.to.core == nil && !h.to.poweredOff {
		// The host is up but no controller listens: it refuses the connection.
		c.after(connectionRefusedDelay, func() { w.runUnlessHung(func() { h.finish(h.tryNextController) }) })
		return
	}
	if w.heartbeatsLost {
		return // the connection is never accepted
	}
	h.responder = h.to.incarnationID()
	c.keepStaleHeartbeat(w, h.body)
	if c.duplicateHeartbeatDelay > 0 {
		delay := time.Second + time.Duration(c.rng.Int64N(int64(c.duplicateHeartbeatDelay)))
		c.after(delay, func() { c.send(w.name, h.to.name, func() { h.deliver(ignoreResponse) }) })
	}
	c.request(w.name, h.to.name, h.deliver, func(status int, body []byte) {
		w.runUnlessHung(func() { h.finish(func() { h.handleReply(status, body) }) })
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
	w, c := h.agent, h.agent.cluster
	for i, peer := range c.controllers {
		if peer.name == name && i != w.target%len(c.controllers) {
			w.target = i
			w.scheduleHeartbeat(time.Duration(c.rng.IntN(500)) * time.Millisecond)
			return
		}
	}
	h.tryNextController()
}

// scheduleNextHeartbeat schedules the heartbeat after an accepted one: soon if the status has
// changed, otherwise after 3/4 to 5/4 of the heartbeat interval.
func (w *agent) scheduleNextHeartbeat() {
	if w.changed {
		w.statusChanged()
		return
	}
	d := w.cluster.settings.HeartbeatInterval
	w.scheduleHeartbeat(d*3/4 + time.Duration(w.cluster.rng.Int64N(int64(d/2))))
}

// acceptReply renews the lease and executes the orders of a reply. It ignores replies that are
// malformed, have an old fencing token, or belong to an earlier incarnation. sent and replied are
// the times at which the heartbeat and the reply were sent.
func (w *agent) acceptReply(from string, incarnation uint64, sent, replied time.Time, body []byte) {
	token, _, orders, err := protocol.ParseOrders(body)
	if err != nil || token == nil || *token < w.fencingToken || incarnation != w.incarnation {
		return
	}
	if *token > w.fencingToken {
		w.fencingToken = *token
		w.changed = true
	}
	w.cluster.checkFencingToken(*token, from)
	w.cluster.recordReplyInterval(w.cluster.now.Sub(w.lastReply))
	w.lastReply = w.cluster.now
	w.leaseStart = sent
	w.armLease()
	w.execute(orders, replied)
}

// serve answers a controller's direct request: a status query (GET) or orders. sent is when the
// controller sent it.
func (w *agent) serve(from, method string, body []byte, sent time.Time, respond respondFunc) {
	w.runUnlessHung(func() {
		if method == "GET" {
			respond(200, protocol.EncodeHeartbeat(w.status()))
			return
		}
		token, incarnation, orders, err := protocol.ParseOrders(body)
		if err != nil || token == nil || incarnation == nil {
			respond(400, nil)
			return
		}
		if *token < w.fencingToken || *incarnation != w.incarnation {
			respond(409, protocol.EncodeHeartbeat(w.status()))
			return
		}
		w.cluster.checkFencingToken(*token, from)
		if *token > w.fencingToken {
			w.fencingToken = *token
			w.statusChanged()
		}
		w.execute(orders, sent)
		respond(200, protocol.EncodeHeartbeat(w.status()))
	})
}

// runningAttempt returns the attempt of a task that is in state Running on this machine, or nil.
func (w *agent) runningAttempt(j *userJob, index int) *attempt {
	for _, t := range w.tasks {
		if t.job == j.spec.ID && t.taskIndex == index && t.state == protocol.Running {
			return t
		}
	}
	return nil
}

// findAttempt returns the attempt that an order names, or nil.
func (w *agent) findAttempt(o protocol.Order) *attempt {
	for _, t := range w.tasks {
		if t.job == o.Job && t.taskIndex == o.TaskIndex && t.number == o.Attempt {
			return t
		}
	}
	return nil
}

// execute carries out orders that a controller sent at the given time.
func (w *agent) execute(orders []protocol.Order, sent time.Time) {
	for _, o := range orders {
		t := w.findAttempt(o)
		switch o.Kind {
		case protocol.Start:
			if t == nil {
				w.startAttempt(o, sent)
			}
		case protocol.Stop:
			if t != nil {
				w.stopAttempt(t, o.Grace)
			}
		case protocol.Forget:
			if t != nil && t.state == protocol.Exited {
				w.tasks = slices.DeleteFunc(w.tasks, func(x *attempt) bool { return x == t })
			}
		}
	}
}

// maxStartAfterCancel is how long after the user was told of a cancellation a controller that has
// not learned of it yet may still send orders to start the job's tasks.
const maxStartAfterCancel = 3 * time.Second

// startAttempt creates an attempt and starts fetching its image, or refuses the start. It checks
// that no task of a cancelled job is started.
func (w *agent) startAttempt(o protocol.Order, sent time.Time) {
	c := w.cluster
	t := &attempt{job: o.Job, taskIndex: o.TaskIndex, number: o.Attempt, state: protocol.Fetching}
	w.tasks = append(w.tasks, t)
	j := c.jobs[o.Job]
	if j == nil || o.TaskIndex >= j.spec.Tasks {
		w.exitAttempt(t, protocol.ExitUnknownTask)
		return
	}
	if !j.cancelledAt.IsZero() && sent.Sub(j.cancelledAt) > maxStartAfterCancel {
		c.reportViolation("started_cancelled", "%s starts on %s by an order sent %s after the user was told of the cancellation", t, w.name, sent.Sub(j.cancelledAt).Round(time.Millisecond))
	}
	cpus, mem := j.spec.CPUs, j.spec.MemoryGB
	for _, x := range w.tasks {
		if x == t || x.state == protocol.Exited {
			continue
		}
		if x.job == o.Job && x.taskIndex == o.TaskIndex {
			w.exitAttempt(t, protocol.ExitAlreadyRunning)
			return
		}
		cpus += c.jobs[x.job].spec.CPUs
		mem += c.jobs[x.job].spec.MemoryGB
	}
	if cpus > w.spec.CPUs+protocol.Epsilon || mem > w.spec.MemoryGB+protocol.Epsilon {
		w.exitAttempt(t, protocol.ExitNoCapacity)
		return
	}
	c.checkCeiling(w, j)
	fetch := time.Duration(j.spec.ImageGB / w.spec.FetchGBPerSecond * float64(time.Second))
	if slices.Contains(w.images, j.spec.Image) {
		fetch = 0
		c.placements.imageHits++
	}
	c.placements.starts++
	t.timer = c.after(fetch, func() { w.runUnlessHung(func() { w.startTask(t, j) }) })
	w.statusChanged()
}

// startTask runs an attempt whose image has been fetched. A task that already completed elsewhere
// exits at once.
func (w *agent) startTask(t *attempt, j *userJob) {
	if t.state != protocol.Fetching || !slices.Contains(w.tasks, t) {
		return // stopped while the machine hung
	}
	if !slices.Contains(w.images, j.spec.Image) {
		w.images = append(w.images, j.spec.Image)
		w.cluster.fetchedGB += j.spec.ImageGB
	}
	w.statusChanged()
	w.hasFailedTask = w.hasFailedTask || w.failsAllTasks
	if w.failsAllTasks || j.alwaysFails {
		j.failures++
		w.exitAttempt(t, protocol.ExitError)
		return
	}
	if j.completed[t.taskIndex] {
		w.exitAttempt(t, protocol.ExitDone)
		return
	}
	t.state, t.startedAt = protocol.Running, w.cluster.now
	w.cluster.taskStarted(w, t, j)
	if j.spec.Kind == protocol.Batch {
		t.timer = w.cluster.after(max(0, j.runTime-j.progress[t.taskIndex]), func() {
			w.runUnlessHung(func() {
				if t.state == protocol.Running {
					last := len(j.completed) == j.spec.Tasks-1 && !j.completed[t.taskIndex]
					j.completed[t.taskIndex] = true
					w.exitAttempt(t, protocol.ExitDone)
					if last {
						w.cluster.jobCompleted(j)
					}
				}
			})
		})
	}
}

// stopAttempt stops an attempt. If the job writes checkpoints and the grace period is long enough,
// a running attempt writes one first.
func (w *agent) stopAttempt(t *attempt, grace time.Duration) {
	j := w.cluster.jobs[t.job]
	if t.state == protocol.Fetching || t.state == protocol.Running {
		w.cluster.migrations.stops++
	}
	switch {
	case t.state == protocol.Exited:
	case t.state == protocol.Running && j.spec.CheckpointInterval > 0 && grace >= j.spec.CheckpointDuration:
		t.state = protocol.Checkpointing
		t.timer.run = nil
		t.timer = w.cluster.after(j.spec.CheckpointDuration, func() {
			w.runUnlessHung(func() {
				if t.state == protocol.Checkpointing {
					j.progress[t.taskIndex] += w.cluster.now.Sub(t.startedAt) - j.spec.CheckpointDuration
					t.checkpointed = true
					w.exitAttempt(t, protocol.ExitStopped)
				}
			})
		})
		w.statusChanged()
	case t.state == protocol.Checkpointing && grace > 0:
	default:
		w.exitAttempt(t, protocol.ExitStopped)
	}
}

// exitAttempt ends an attempt for the given reason.
func (w *agent) exitAttempt(t *attempt, reason protocol.ExitReason) {
	w.endExecution(t)
	t.state, t.exitReason = protocol.Exited, reason
	w.statusChanged()
}

// endExecution cancels an attempt's timer and records that it no longer runs.
func (w *agent) endExecution(t *attempt) {
	if t.timer != nil {
		t.timer.run = nil
	}
	if t.state == protocol.Running || t.state == protocol.Checkpointing {
		w.cluster.recordWastedWork(t)
		w.cluster.taskEnded(w, t)
	}
}

func (t *attempt) String() string { return fmt.Sprintf("%s/%d#%d", t.job, t.taskIndex, t.number) }
