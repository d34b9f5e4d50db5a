package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// agent is the agent of one machine, as PROTOCOL describes it.
type agent struct {
	c            *Cluster
	name         string
	machine      *machine
	spec         *protocol.MachineType
	dead         bool
	hung         bool
	queued       []func() // what arrived while it hung
	failsTasks   bool
	failedTasks  bool // once; the controllers may leave it alone for that
	unheard      bool // its reports reach no controller; it answers direct commands
	incarnation  uint64
	seq          uint64
	fencingToken uint64
	preemptionAt time.Time
	tasks        []*attempt
	images       []string

	target            int
	heartbeatInFlight bool
	heartbeatSeq      uint64 // of the report in flight; older answers are dropped
	lastSent          time.Time
	leaseFrom         time.Time // when the last answered report was sent
	// lastReply is when that answer came.
	lastReply     time.Time
	nextHeartbeat *event
	lease         *event
	changed       bool
}

type attempt struct {
	job        string
	index      int
	number     uint64
	state      protocol.TaskState
	exitReason protocol.ExitReason
	saved      bool
	startedAt  time.Time
	timer      *event
}

func newAgent(c *Cluster, h *machine, spec *protocol.MachineType) *agent {
	w := &agent{c: c, name: h.name, machine: h, spec: spec, incarnation: 1, leaseFrom: c.now, lastReply: c.now, target: c.rng.IntN(3)}
	c.agents[w.name] = w
	w.armLease()
	w.scheduleHeartbeat(0)
	return w
}

// die ends the worker and its tasks.
func (w *agent) die() {
	w.dead = true
	w.c.recordAnswerGap(w.c.now.Sub(w.lastReply)) // that it ended with
	for _, t := range w.tasks {
		w.endPresence(t)
	}
	w.tasks = nil
	delete(w.c.agents, w.name)
}

// reboot ends the worker's tasks at once and starts a new session, as after its
// lease, under what it knew of numbers and tokens.
func (w *agent) reboot() {
	w.leaseFrom = w.c.now.Add(-w.c.settings.WorkerLease)
	w.checkLease()
}

// run does f now, or when the machine goes on.
func (w *agent) run(f func()) {
	if w.dead {
		return
	}
	if w.hung {
		w.queued = append(w.queued, f)
		return
	}
	f()
}

func (w *agent) hang(on bool) {
	w.hung = on
	if on {
		return
	}
	w.checkLease()
	queued := w.queued
	w.queued = nil
	for _, f := range queued {
		w.run(f)
	}
}

func (w *agent) armLease() {
	if w.lease != nil {
		w.lease.run = nil
	}
	d := w.leaseFrom.Add(w.c.settings.WorkerLease).Sub(w.c.now)
	// A machine may go on from a hang only within its lease, so the lease ends
	// its tasks while it hangs, too.
	w.lease = w.c.after(d, w.checkLease)
}

// checkLease ends the session when its lease has expired.
func (w *agent) checkLease() {
	if w.dead || w.c.now.Before(w.leaseFrom.Add(w.c.settings.WorkerLease)) {
		return
	}
	for _, t := range w.tasks {
		w.endPresence(t)
	}
	w.tasks = nil
	w.incarnation++
	w.leaseFrom = w.c.now
	w.armLease()
	w.statusChanged()
}

func (w *agent) statusChanged() {
	w.changed = true
	if !w.heartbeatInFlight {
		w.scheduleHeartbeat(w.lastSent.Add(500 * time.Millisecond).Sub(w.c.now))
	}
}

func (w *agent) scheduleHeartbeat(d time.Duration) {
	if w.nextHeartbeat != nil {
		w.nextHeartbeat.run = nil
	}
	w.nextHeartbeat = w.c.after(d, func() { w.run(w.heartbeat) })
}

func (w *agent) status() *protocol.Heartbeat {
	w.seq++
	r := &protocol.Heartbeat{Machine: w.name, Addr: w.machine.addr, Type: w.machine.typ, Zone: w.machine.zone, Spot: w.machine.spot,
		Incarnation: w.incarnation, Sequence: w.seq, FencingToken: w.fencingToken}
	if !w.preemptionAt.IsZero() {
		r.HasPreemptionNotice, r.PreemptionNotice = true, max(0, w.preemptionAt.Sub(w.c.now))
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Job: t.job, TaskIndex: t.index, Attempt: t.number, State: t.state, Reason: t.exitReason, Checkpointed: t.saved})
	}
	return r
}

// heartbeatTimeout is how long a worker waits for the answer to a report.
const heartbeatTimeout = 4 * time.Second

func (w *agent) heartbeat() {
	c := w.c
	if w.heartbeatInFlight {
		return
	}
	w.heartbeatInFlight, w.changed = true, false
	status := w.status()
	h := &heartbeat{agent: w, to: c.controllers[w.target%len(c.controllers)], body: protocol.EncodeHeartbeat(status),
		incarnation: w.incarnation, sent: c.now}
	w.heartbeatSeq, w.lastSent = status.Sequence, h.sent
	c.after(heartbeatTimeout, func() { w.run(func() { h.finish(h.tryNext) }) })
	if h.to.remote == nil && h.to.core == nil && !h.to.poweredOff {
		// The host refuses the connection.
		c.after(refusalTime, func() { w.run(func() { h.finish(h.tryNext) }) })
		return
	}
	if w.unheard {
		return // nobody takes its connections
	}
	h.from = h.to.incarnation()
	c.keepStaleHeartbeat(w, h.body)
	if c.duplicateHeartbeats > 0 {
		late := time.Second + time.Duration(c.rng.Int64N(int64(c.duplicateHeartbeats)))
		c.after(late, func() { c.send(w.name, h.to.name, func() { h.serve(ignoreResponse) }) })
	}
	c.request(w.name, h.to.name, h.serve, func(status int, body []byte) {
		w.run(func() { h.finish(func() { h.handleReply(status, body) }) })
	})
}

// refusalTime is how long a host without a controller takes to refuse a connection.
const refusalTime = 2 * time.Millisecond

// heartbeat is one report of an agent's that is on its way.
type heartbeat struct {
	agent       *agent
	to          *controllerHost
	body        []byte
	incarnation uint64
	sent        time.Time
	from        string    // the process that answers
	replied     time.Time // when it sent its reply
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

// tryNext lets the agent turn to the next controller.
func (h *heartbeat) tryNext() {
	h.agent.target++
	h.agent.scheduleHeartbeat(time.Second)
}

// serve brings the heartbeat to the controller.
func (h *heartbeat) serve(respond respondFunc) {
	c := h.agent.c
	h.from = h.to.incarnation()
	c.withTriggers(onHeartbeat, []string{h.to.name, h.to.name + "/" + h.agent.name}, func() {
		h.to.request("POST", protocol.PathHeartbeat, h.body, heartbeatTimeout, func(status int, body []byte) {
			h.replied = c.now
			respond(status, body)
		})
	})
}

// handleReply does what the controller's reply asks for.
func (h *heartbeat) handleReply(status int, body []byte) {
	switch status {
	case 200:
		h.agent.acceptReply(h.from, h.incarnation, h.sent, h.replied, body)
		h.agent.scheduleNextHeartbeat()
	case 421:
		h.follow(protocol.ParseRedirect(body))
	default:
		h.tryNext()
	}
}

// follow lets the agent turn to the controller that it was sent to.
func (h *heartbeat) follow(name string) {
	w, c := h.agent, h.agent.c
	for i, peer := range c.controllers {
		if peer.name == name && i != w.target%len(c.controllers) {
			w.target = i
			w.scheduleHeartbeat(time.Duration(c.rng.IntN(500)) * time.Millisecond)
			return
		}
	}
	h.tryNext()
}

// scheduleNextHeartbeat plans the next report.
func (w *agent) scheduleNextHeartbeat() {
	if w.changed {
		w.statusChanged()
		return
	}
	d := w.c.settings.HeartbeatInterval
	w.scheduleHeartbeat(d*3/4 + time.Duration(w.c.rng.Int64N(int64(d/2))))
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
	w.c.checkFencingToken(*token, from)
	w.c.recordAnswerGap(w.c.now.Sub(w.lastReply))
	w.lastReply = w.c.now
	w.leaseFrom = sent
	w.armLease()
	w.execute(orders, replied)
}

// serve answers a controller's request that was sent at a time.
func (w *agent) serve(from, method string, body []byte, sent time.Time, respond respondFunc) {
	w.run(func() {
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
		w.c.checkFencingToken(*token, from)
		if *token > w.fencingToken {
			w.fencingToken = *token
			w.statusChanged()
		}
		w.execute(orders, sent)
		respond(200, protocol.EncodeHeartbeat(w.status()))
	})
}

// task is the attempt at a job's task that runs here, if any.
func (w *agent) task(j *userJob, index int) *attempt {
	for _, t := range w.tasks {
		if t.job == j.spec.ID && t.index == index && t.state == protocol.Running {
			return t
		}
	}
	return nil
}

func (w *agent) find(o protocol.Order) *attempt {
	for _, t := range w.tasks {
		if t.job == o.Job && t.index == o.TaskIndex && t.number == o.Attempt {
			return t
		}
	}
	return nil
}

// execute follows orders that a controller sent at a time.
func (w *agent) execute(orders []protocol.Order, sent time.Time) {
	for _, o := range orders {
		t := w.find(o)
		switch o.Kind {
		case protocol.Start:
			if t == nil {
				w.startAttempt(o, sent)
			}
		case protocol.Stop:
			if t != nil {
				w.stop(t, o.Grace)
			}
		case protocol.Forget:
			if t != nil && t.state == protocol.Exited {
				w.tasks = slices.DeleteFunc(w.tasks, func(x *attempt) bool { return x == t })
			}
		}
	}
}

// startAfterCancel is how long after a confirmed cancellation a start of the job's
// tasks may still be sent by a controller that hasn't heard of it.
const startAfterCancel = 3 * time.Second

func (w *agent) startAttempt(o protocol.Order, sent time.Time) {
	c := w.c
	t := &attempt{job: o.Job, index: o.TaskIndex, number: o.Attempt, state: protocol.Fetching}
	w.tasks = append(w.tasks, t)
	j := c.jobs[o.Job]
	if j == nil || o.TaskIndex >= j.spec.Tasks {
		w.exit(t, protocol.ExitUnknown)
		return
	}
	if !j.cancelled.IsZero() && sent.Sub(j.cancelled) > startAfterCancel {
		c.violate("started_cancelled", "%s on %s, sent %s after its user was told", t, w.name, sent.Sub(j.cancelled).Round(time.Millisecond))
	}
	cpus, mem := j.spec.CPUs, j.spec.MemoryGB
	for _, x := range w.tasks {
		if x == t || x.state == protocol.Exited {
			continue
		}
		if x.job == o.Job && x.index == o.TaskIndex {
			w.exit(t, protocol.ExitBusy)
			return
		}
		cpus += c.jobs[x.job].spec.CPUs
		mem += c.jobs[x.job].spec.MemoryGB
	}
	if cpus > w.spec.CPUs+protocol.Epsilon || mem > w.spec.MemoryGB+protocol.Epsilon {
		w.exit(t, protocol.ExitNoRoom)
		return
	}
	c.checkCeiling(w, j)
	fetch := time.Duration(j.spec.ImageGB / w.spec.FetchGBPerSecond * float64(time.Second))
	if slices.Contains(w.images, j.spec.Image) {
		fetch = 0
		c.placements.onHolders++
	}
	c.placements.all++
	t.timer = c.after(fetch, func() { w.run(func() { w.startTask(t, j) }) })
	w.statusChanged()
}

func (w *agent) startTask(t *attempt, j *userJob) {
	if t.state != protocol.Fetching || !slices.Contains(w.tasks, t) {
		return // killed while the machine hung
	}
	if !slices.Contains(w.images, j.spec.Image) {
		w.images = append(w.images, j.spec.Image)
		w.c.fetchedGB += j.spec.ImageGB
	}
	w.statusChanged()
	w.failedTasks = w.failedTasks || w.failsTasks
	if w.failsTasks || j.alwaysFails {
		j.failures++
		w.exit(t, protocol.ExitError)
		return
	}
	if j.completed[t.index] {
		w.exit(t, protocol.ExitDone)
		return
	}
	t.state, t.startedAt = protocol.Running, w.c.now
	w.c.taskStarted(w, t, j)
	if j.spec.Kind == protocol.Batch {
		t.timer = w.c.after(max(0, j.run-j.progress[t.index]), func() {
			w.run(func() {
				if t.state == protocol.Running {
					last := len(j.completed) == j.spec.Tasks-1 && !j.completed[t.index]
					j.completed[t.index] = true
					w.exit(t, protocol.ExitDone)
					if last {
						w.c.jobCompleted(j)
					}
				}
			})
		})
	}
}

func (w *agent) stop(t *attempt, grace time.Duration) {
	j := w.c.jobs[t.job]
	if t.state == protocol.Fetching || t.state == protocol.Running {
		w.c.migrations.stops++
	}
	switch {
	case t.state == protocol.Exited:
	case t.state == protocol.Running && j.spec.CheckpointInterval > 0 && grace >= j.spec.CheckpointDuration:
		t.state = protocol.Checkpointing
		t.timer.run = nil
		t.timer = w.c.after(j.spec.CheckpointDuration, func() {
			w.run(func() {
				if t.state == protocol.Checkpointing {
					j.progress[t.index] += w.c.now.Sub(t.startedAt) - j.spec.CheckpointDuration
					t.saved = true
					w.exit(t, protocol.ExitStopped)
				}
			})
		})
		w.statusChanged()
	case t.state == protocol.Checkpointing && grace > 0:
	default:
		w.exit(t, protocol.ExitStopped)
	}
}

func (w *agent) exit(t *attempt, why protocol.ExitReason) {
	w.endPresence(t)
	t.state, t.exitReason = protocol.Exited, why
	w.statusChanged()
}

// endPresence ends a task's presence.
func (w *agent) endPresence(t *attempt) {
	if t.timer != nil {
		t.timer.run = nil
	}
	if t.state == protocol.Running || t.state == protocol.Checkpointing {
		w.c.recordWasted(t)
		w.c.taskEnded(w, t)
	}
}

func (t *attempt) String() string { return fmt.Sprintf("%s/%d#%d", t.job, t.index, t.number) }
