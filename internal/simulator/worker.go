package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// worker is the agent of one machine, as PROTOCOL describes it.
type worker struct {
	c       *Cluster
	name    string
	host    *host
	spec    *protocol.MachineType
	dead    bool
	hung    bool
	queued  []func() // what arrived while it hung
	sick    bool
	wasSick bool // once; the controllers may leave it alone for that
	mute    bool // its reports reach no controller; it answers direct commands
	session uint64
	seq     uint64
	token   uint64
	notice  time.Time
	tasks   []*runningTask
	images  []string

	node      int
	reporting bool
	reportSeq uint64 // of the report in flight; older answers are dropped
	lastSent  time.Time
	answered  time.Time // when the last answered report was sent
	// lastAnswer is when that answer came.
	lastAnswer time.Time
	next       *event
	lease      *event
	changed    bool
}

type runningTask struct {
	job     string
	index   int
	attempt uint64
	state   protocol.TaskState
	why     protocol.ExitReason
	saved   bool
	began   time.Time
	timer   *event
}

func newWorker(c *Cluster, h *host, spec *protocol.MachineType) *worker {
	w := &worker{c: c, name: h.name, host: h, spec: spec, session: 1, answered: c.now, lastAnswer: c.now, node: c.rng.IntN(3)}
	c.workers[w.name] = w
	w.armLease()
	w.reportIn(0)
	return w
}

// die ends the worker and its tasks.
func (w *worker) die() {
	w.dead = true
	w.c.noteGap(w.c.now.Sub(w.lastAnswer)) // that it ended with
	for _, t := range w.tasks {
		w.leaveMachine(t)
	}
	w.tasks = nil
	delete(w.c.workers, w.name)
}

// reboot ends the worker's tasks at once and starts a new session, as after its
// lease, under what it knew of numbers and tokens.
func (w *worker) reboot() {
	w.answered = w.c.now.Add(-w.c.settings.WorkerLease)
	w.checkLease()
}

// run does f now, or when the machine goes on.
func (w *worker) run(f func()) {
	if w.dead {
		return
	}
	if w.hung {
		w.queued = append(w.queued, f)
		return
	}
	f()
}

func (w *worker) hang(on bool) {
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

func (w *worker) armLease() {
	if w.lease != nil {
		w.lease.run = nil
	}
	d := w.answered.Add(w.c.settings.WorkerLease).Sub(w.c.now)
	// A machine may go on from a hang only within its lease, so the lease ends
	// its tasks while it hangs, too.
	w.lease = w.c.after(d, w.checkLease)
}

// checkLease ends the session when its lease has expired.
func (w *worker) checkLease() {
	if w.dead || w.c.now.Before(w.answered.Add(w.c.settings.WorkerLease)) {
		return
	}
	for _, t := range w.tasks {
		w.leaveMachine(t)
	}
	w.tasks = nil
	w.session++
	w.answered = w.c.now
	w.armLease()
	w.change()
}

func (w *worker) change() {
	w.changed = true
	if !w.reporting {
		w.reportIn(w.lastSent.Add(500 * time.Millisecond).Sub(w.c.now))
	}
}

func (w *worker) reportIn(d time.Duration) {
	if w.next != nil {
		w.next.run = nil
	}
	w.next = w.c.after(d, func() { w.run(w.report) })
}

func (w *worker) content() *protocol.Heartbeat {
	w.seq++
	r := &protocol.Heartbeat{Machine: w.name, Addr: w.host.addr, Type: w.host.typ, Zone: w.host.zone, Spot: w.host.spot,
		Incarnation: w.session, Sequence: w.seq, FencingToken: w.token}
	if !w.notice.IsZero() {
		r.HasPreemptionNotice, r.PreemptionNotice = true, max(0, w.notice.Sub(w.c.now))
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Job: t.job, TaskIndex: t.index, Attempt: t.attempt, State: t.state, Reason: t.why, Checkpointed: t.saved})
	}
	return r
}

// reportTimeout is how long a worker waits for the answer to a report.
const reportTimeout = 4 * time.Second

func (w *worker) report() {
	c := w.c
	if w.reporting {
		return
	}
	w.reporting, w.changed = true, false
	r := w.content()
	seq, session, sent := r.Sequence, w.session, c.now
	w.reportSeq, w.lastSent = seq, sent
	n := c.nodes[w.node%len(c.nodes)]
	body := protocol.EncodeHeartbeat(r)
	finished := false
	finish := func(f func()) {
		if !finished && !w.dead {
			finished = true
			w.reporting = false
			f()
		}
	}
	tryNext := func() { w.node++; w.reportIn(time.Second) }
	c.after(reportTimeout, func() { w.run(func() { finish(tryNext) }) })
	if n.remote == nil && n.core == nil && !n.silent {
		// The host refuses the connection.
		c.after(2*time.Millisecond, func() { w.run(func() { finish(tryNext) }) })
		return
	}
	if w.mute {
		return // nobody takes its connections
	}
	var replied time.Time // when the controller sent its answer
	from := n.life()
	serve := func(respond func(int, []byte)) {
		from = n.life() // the process that answers
		c.around(onReport, []string{n.name, n.name + "/" + w.name}, func() {
			n.request("POST", protocol.PathHeartbeat, body, reportTimeout, func(status int, body []byte) {
				replied = c.now
				respond(status, body)
			})
		})
	}
	c.keep(w, body)
	if c.reportCopies > 0 {
		late := time.Second + time.Duration(c.rng.Int64N(int64(c.reportCopies)))
		c.after(late, func() { c.send(w.name, n.name, func() { serve(func(int, []byte) {}) }) })
	}
	c.request(w.name, n.name, serve, func(status int, body []byte) {
		w.run(func() {
			finish(func() {
				switch status {
				case 200:
					w.accept(from, session, sent, replied, body)
					w.again()
				case 421:
					leader := protocol.ParseRedirect(body)
					for i, o := range c.nodes {
						if o.name == leader && i != w.node%len(c.nodes) {
							w.node = i
							w.reportIn(time.Duration(c.rng.IntN(500)) * time.Millisecond)
							return
						}
					}
					tryNext()
				default:
					tryNext()
				}
			})
		})
	})
}

// again plans the next report.
func (w *worker) again() {
	if w.changed {
		w.change()
		return
	}
	d := w.c.settings.ReportInterval
	w.reportIn(d*3/4 + time.Duration(w.c.rng.Int64N(int64(d/2))))
}

// accept takes the answer to a report that was sent and replied to at these times.
func (w *worker) accept(from string, session uint64, sent, replied time.Time, body []byte) {
	token, _, orders, err := protocol.ParseOrders(body)
	if err != nil || token == nil || *token < w.token || session != w.session {
		return
	}
	if *token > w.token {
		w.token = *token
		w.changed = true
	}
	w.c.served(*token, from)
	w.c.noteGap(w.c.now.Sub(w.lastAnswer))
	w.lastAnswer = w.c.now
	w.answered = sent
	w.armLease()
	w.execute(orders, replied)
}

// serve answers a controller's request that was sent at a time.
func (w *worker) serve(from, method, target string, body []byte, sent time.Time, respond func(int, []byte)) {
	w.run(func() {
		if method == "GET" {
			respond(200, protocol.EncodeHeartbeat(w.content()))
			return
		}
		token, session, orders, err := protocol.ParseOrders(body)
		if err != nil || token == nil || session == nil {
			respond(400, nil)
			return
		}
		if *token < w.token || *session != w.session {
			respond(409, protocol.EncodeHeartbeat(w.content()))
			return
		}
		w.c.served(*token, from)
		if *token > w.token {
			w.token = *token
			w.change()
		}
		w.execute(orders, sent)
		respond(200, protocol.EncodeHeartbeat(w.content()))
	})
}

// task is the attempt at a job's task that runs here, if any.
func (w *worker) task(j *userJob, index int) *runningTask {
	for _, t := range w.tasks {
		if t.job == j.spec.ID && t.index == index && t.state == protocol.Running {
			return t
		}
	}
	return nil
}

func (w *worker) find(o protocol.Order) *runningTask {
	for _, t := range w.tasks {
		if t.job == o.Job && t.index == o.TaskIndex && t.attempt == o.Attempt {
			return t
		}
	}
	return nil
}

// execute follows orders that a controller sent at a time.
func (w *worker) execute(orders []protocol.Order, sent time.Time) {
	for _, o := range orders {
		t := w.find(o)
		switch o.Kind {
		case protocol.Start:
			if t == nil {
				w.begin(o, sent)
			}
		case protocol.Stop:
			if t != nil {
				w.stop(t, o.Grace)
			}
		case protocol.Forget:
			if t != nil && t.state == protocol.Exited {
				w.tasks = slices.DeleteFunc(w.tasks, func(x *runningTask) bool { return x == t })
			}
		}
	}
}

// startAfterCancel is how long after a confirmed cancellation a start of the job's
// tasks may still be sent by a controller that hasn't heard of it.
const startAfterCancel = 3 * time.Second

func (w *worker) begin(o protocol.Order, sent time.Time) {
	c := w.c
	t := &runningTask{job: o.Job, index: o.TaskIndex, attempt: o.Attempt, state: protocol.Fetching}
	w.tasks = append(w.tasks, t)
	j := c.jobs[o.Job]
	if j == nil || o.TaskIndex >= j.spec.Tasks {
		w.exit(t, protocol.ExitUnknown)
		return
	}
	if !j.cancelled.IsZero() && sent.Sub(j.cancelled) > startAfterCancel {
		c.breaks("started_cancelled", "%s on %s, sent %s after its user was told", t, w.name, sent.Sub(j.cancelled).Round(time.Millisecond))
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
	w.change()
}

func (w *worker) startTask(t *runningTask, j *userJob) {
	if t.state != protocol.Fetching || !slices.Contains(w.tasks, t) {
		return // killed while the machine hung
	}
	if !slices.Contains(w.images, j.spec.Image) {
		w.images = append(w.images, j.spec.Image)
		w.c.fetched += j.spec.ImageGB
	}
	w.change()
	w.wasSick = w.wasSick || w.sick
	if w.sick || j.bad {
		j.failures++
		w.exit(t, protocol.ExitError)
		return
	}
	if j.completed[t.index] {
		w.exit(t, protocol.ExitDone)
		return
	}
	t.state, t.began = protocol.Running, w.c.now
	w.c.taskStarts(w, t, j)
	if j.spec.Kind == protocol.Batch {
		t.timer = w.c.after(max(0, j.run-j.progress[t.index]), func() {
			w.run(func() {
				if t.state == protocol.Running {
					last := len(j.completed) == j.spec.Tasks-1 && !j.completed[t.index]
					j.completed[t.index] = true
					w.exit(t, protocol.ExitDone)
					if last {
						w.c.jobEnds(j)
					}
				}
			})
		})
	}
}

func (w *worker) stop(t *runningTask, grace time.Duration) {
	j := w.c.jobs[t.job]
	if t.state == protocol.Fetching || t.state == protocol.Running {
		w.c.moves.stops++
	}
	switch {
	case t.state == protocol.Exited:
	case t.state == protocol.Running && j.spec.CheckpointInterval > 0 && grace >= j.spec.CheckpointDuration:
		t.state = protocol.Checkpointing
		t.timer.run = nil
		t.timer = w.c.after(j.spec.CheckpointDuration, func() {
			w.run(func() {
				if t.state == protocol.Checkpointing {
					j.progress[t.index] += w.c.now.Sub(t.began) - j.spec.CheckpointDuration
					t.saved = true
					w.exit(t, protocol.ExitStopped)
				}
			})
		})
		w.change()
	case t.state == protocol.Checkpointing && grace > 0:
	default:
		w.exit(t, protocol.ExitStopped)
	}
}

func (w *worker) exit(t *runningTask, why protocol.ExitReason) {
	w.leaveMachine(t)
	t.state, t.why = protocol.Exited, why
	w.change()
}

// leaveMachine ends a task's presence.
func (w *worker) leaveMachine(t *runningTask) {
	if t.timer != nil {
		t.timer.run = nil
	}
	if t.state == protocol.Running || t.state == protocol.Checkpointing {
		w.c.noteWasted(t)
		w.c.taskLeaves(w, t)
	}
}

func (t *runningTask) String() string { return fmt.Sprintf("%s/%d#%d", t.job, t.index, t.attempt) }
