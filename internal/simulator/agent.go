package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// agent is the agent of one machine, as PROTOCOL describes it.
type agent struct {
	cluster        *Cluster
	name           string
	machine        *machine
	spec           *protocol.MachineType
	dead           bool
	hung           bool
	queued         []func() // what arrived while it hung
	failsAllTasks  bool
	hasFailedTask  bool // once; the controllers may leave it alone for that
	heartbeatsLost bool // its reports reach no controller; it answers direct commands
	incarnation    uint64
	seq            uint64
	fencingToken   uint64
	preemptionAt   time.Time
	tasks          []*attempt
	images         []string

	target            int
	heartbeatInFlight bool
	heartbeatSeq      uint64 // of the report in flight; older answers are dropped
	lastSent          time.Time
	leaseStart        time.Time // when the last answered report was sent
	// lastReply is when that answer came.
	lastReply     time.Time
	nextHeartbeat *event
	lease         *event
	changed       bool
}

type attempt struct {
	job          string
	taskIndex    int
	number       uint64
	state        protocol.TaskState
	exitReason   protocol.ExitReason
	checkpointed bool
	startedAt    time.Time
	timer        *event
}

func newAgent(c *Cluster, h *machine, spec *protocol.MachineType) *agent {
	w := &agent{cluster: c, name: h.name, machine: h, spec: spec, incarnation: 1, leaseStart: c.now, lastReply: c.now, target: c.rng.IntN(3)}
	c.agents[w.name] = w
	w.armLease()
	w.scheduleHeartbeat(0)
	return w
}

// terminate ends the worker and its tasks.
func (w *agent) terminate() {
	w.dead = true
	w.cluster.recordReplyInterval(w.cluster.now.Sub(w.lastReply)) // that it ended with
	for _, t := range w.tasks {
		w.endExecution(t)
	}
	w.tasks = nil
	delete(w.cluster.agents, w.name)
}

// reboot ends the worker's tasks at once and starts a new session, as after its
// lease, under what it knew of numbers and tokens.
func (w *agent) reboot() {
	w.leaseStart = w.cluster.now.Add(-w.cluster.settings.WorkerLease)
	w.checkLease()
}

// runUnlessHung does f now, or when the machine goes on.
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

func (w *agent) armLease() {
	if w.lease != nil {
		w.lease.run = nil
	}
	d := w.leaseStart.Add(w.cluster.settings.WorkerLease).Sub(w.cluster.now)
	// A machine may go on from a hang only within its lease, so the lease ends
	// its tasks while it hangs, too.
	w.lease = w.cluster.after(d, w.checkLease)
}

// checkLease ends the session when its lease has expired.
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

// heartbeatTimeout is how long a worker waits for the answer to a report.
const heartbeatTimeout = 4 * time.Second

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
		// The host refuses the connection.
		c.after(connectionRefusedDelay, func() { w.runUnlessHung(func() { h.finish(h.tryNextController) }) })
		return
	}
	if w.heartbeatsLost {
		return // nobody takes its connections
	}
	h.responder = h.to.incarnationID()
	c.keepStaleHeartbeat(w, h.body)
	if c.duplicateHeartbeatDelay > 0 {
		late := time.Second + time.Duration(c.rng.Int64N(int64(c.duplicateHeartbeatDelay)))
		c.after(late, func() { c.send(w.name, h.to.name, func() { h.deliver(ignoreResponse) }) })
	}
	c.request(w.name, h.to.name, h.deliver, func(status int, body []byte) {
		w.runUnlessHung(func() { h.finish(func() { h.handleReply(status, body) }) })
	})
}

// connectionRefusedDelay is how long a host without a controller takes to refuse a connection.
const connectionRefusedDelay = 2 * time.Millisecond

// heartbeat is one report of an agent's that is on its way.
type heartbeat struct {
	agent       *agent
	to          *controllerHost
	body        []byte
	incarnation uint64
	sentAt      time.Time
	responder   string    // the process that answers
	repliedAt   time.Time // when it sent its reply
	finished    bool
}

// finish runs f unless the heartbeat has been replied to, or given up, before.
func (h *heartbeat) finish(f func()) {
	if !h.finished && !h.agent.dead {
		h.finished = true
		h.agent.heartbeatInFlight = false
		f()
	}
}

// tryNextController lets the agent turn to the next controller.
func (h *heartbeat) tryNextController() {
	h.agent.target++
	h.agent.scheduleHeartbeat(time.Second)
}

// deliver brings the heartbeat to the controller.
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

// handleReply does what the controller's reply asks for.
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

// followRedirect lets the agent turn to the controller that it was sent to.
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

// scheduleNextHeartbeat plans the next report.
func (w *agent) scheduleNextHeartbeat() {
	if w.changed {
		w.statusChanged()
		return
	}
	d := w.cluster.settings.HeartbeatInterval
	w.scheduleHeartbeat(d*3/4 + time.Duration(w.cluster.rng.Int64N(int64(d/2))))
}

// acceptReply takes the answer to a report that was sent and replied to at these times.
func (w *agent) acceptReply(from string, session uint64, sent, replied time.Time, body []byte) {
	token, _, orders, err := protocol.ParseOrders(body)
	if err != nil || token == nil || *token < w.fencingToken || session != w.incarnation {
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

// serve answers a controller's request that was sent at a time.
func (w *agent) serve(from, method string, body []byte, sent time.Time, respond respondFunc) {
	w.runUnlessHung(func() {
		if method == "GET" {
			respond(200, protocol.EncodeHeartbeat(w.status()))
			return
		}
		token, session, orders, err := protocol.ParseOrders(body)
		if err != nil || token == nil || session == nil {
			respond(400, nil)
			return
		}
		if *token < w.fencingToken || *session != w.incarnation {
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

// runningAttempt is the attempt at a job's task that runs here, if any.
func (w *agent) runningAttempt(j *userJob, index int) *attempt {
	for _, t := range w.tasks {
		if t.job == j.spec.ID && t.taskIndex == index && t.state == protocol.Running {
			return t
		}
	}
	return nil
}

func (w *agent) findAttempt(o protocol.Order) *attempt {
	for _, t := range w.tasks {
		if t.job == o.Job && t.taskIndex == o.TaskIndex && t.number == o.Attempt {
			return t
		}
	}
	return nil
}

// execute follows orders that a controller sent at a time.
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

// maxStartAfterCancel is how long after a confirmed cancellation a start of the job's
// tasks may still be sent by a controller that hasn't heard of it.
const maxStartAfterCancel = 3 * time.Second

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
		c.reportViolation("started_cancelled", "%s on %s, sent %s after its user was told", t, w.name, sent.Sub(j.cancelledAt).Round(time.Millisecond))
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

func (w *agent) startTask(t *attempt, j *userJob) {
	if t.state != protocol.Fetching || !slices.Contains(w.tasks, t) {
		return // killed while the machine hung
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

func (w *agent) exitAttempt(t *attempt, why protocol.ExitReason) {
	w.endExecution(t)
	t.state, t.exitReason = protocol.Exited, why
	w.statusChanged()
}

// endExecution ends a task's presence.
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
