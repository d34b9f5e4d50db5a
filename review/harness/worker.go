package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in of a machine's worker.
type Worker struct {
	mu       sync.Mutex
	cluster  *Cluster
	rec      *Record
	Name     string
	machine  *Machine
	kind     MachineType
	addr     string
	watch    uint64
	logSeq   uint64
	helm     uint64
	tasks    []*Task
	images   map[string]bool
	target   int
	ended    bool
	sick     bool // every task that starts fails
	inFlight bool
	changed  bool
	sent     time.Time // when the latest report was sent
	next     time.Time // when the next report is due
	leased   time.Time // when the last answered report was sent, or the session began
	raised   time.Time // when a higher token last counted as a change
	client   *http.Client
}

// Task is one attempt of a task on a worker.
type Task struct {
	Name    string
	Attempt uint64
	State   string
	Cause   string
	Kept    bool
	job     *Job
	due     time.Time // end of the current state
}

func newWorker(c *Cluster, m *Machine, t MachineType) (*Worker, error) {
	w := &Worker{cluster: c, rec: c.Rec, Name: m.Name, machine: m, kind: t, watch: 1, images: map[string]bool{},
		target: rand.IntN(len(c.Controllers)), leased: time.Now(), client: &http.Client{Transport: &http.Transport{}}}
	addr, err := serve(w.handle)
	if err != nil {
		return nil, err
	}
	w.addr = addr
	go w.run()
	return w, nil
}

// run ends the lease, the states of tasks and the pauses between reports when they are due.
func (w *Worker) run() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		w.checkLease(now)
		w.advance(now)
		early := w.changed && now.Sub(w.sent) >= 500*time.Millisecond
		if !w.inFlight && !now.Before(w.next) || !w.inFlight && early {
			w.inFlight, w.changed, w.sent = true, false, now
			spread := 0.75 + rand.Float64()/2
			w.next = now.Add(time.Duration(float64(w.cluster.Settings.Report) * spread))
			go w.report(w.target, w.watch, w.status(), now)
		}
		w.mu.Unlock()
	}
}

func (w *Worker) checkLease(now time.Time) {
	if now.Sub(w.leased) <= w.cluster.Settings.Lease {
		return
	}
	for _, t := range w.tasks {
		w.exit(t, "killed: the lease has ended")
	}
	w.tasks = nil
	w.watch++
	w.leased, w.changed = now, true
	w.rec.Logf("%s: session %d begins", w.Name, w.watch)
}

// exit records the end of a task that is on the machine.
func (w *Worker) exit(t *Task, reason string) {
	if t.State == "running" || t.State == "saving" {
		w.rec.Logf("%s: task %s launch %d ends: %s", w.Name, t.Name, t.Attempt, reason)
		w.cluster.taskEnded(w, t, reason)
	}
}

// advance ends the states of tasks that are due.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		if t.due.IsZero() || now.Before(t.due) {
			continue
		}
		w.changed = true
		t.due = time.Time{}
		switch t.State {
		case "fetching":
			w.images[t.job.Image] = true
			t.State = "running"
			if runs := t.runs(); runs > 0 {
				t.due = now.Add(runs)
			}
			w.rec.Logf("%s: task %s launch %d starts", w.Name, t.Name, t.Attempt)
			w.cluster.taskStarted(w, t)
			if w.sick {
				w.exit(t, "error")
				t.State, t.Cause, t.due = "exited", "error", time.Time{}
			}
		case "running":
			w.exit(t, "done")
			t.State, t.Cause = "exited", "done"
		case "saving":
			w.exit(t, "halted")
			t.State, t.Cause, t.Kept = "exited", "halted", true
		}
	}
}

// runs returns how long the task runs; 0: until it is stopped.
func (t *Task) runs() time.Duration {
	if t.job.FirstRuns > 0 && strings.HasSuffix(t.Name, "/0") {
		return t.job.FirstRuns
	}
	return t.job.Runs
}

// end ends the worker and its tasks, as its machine is gone.
func (w *Worker) end(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for _, t := range w.tasks {
		w.exit(t, reason)
	}
	w.tasks = nil
}

// SetSick makes every task that starts fail, or ends that.
func (w *Worker) SetSick(sick bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sick = sick
	w.rec.Logf("%s: fails every task that it starts: %v", w.Name, sick)
}

// OnMachine returns the names of the tasks that are on the machine.
func (w *Worker) OnMachine() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for _, t := range w.tasks {
		if t.State == "running" || t.State == "saving" {
			names = append(names, t.Name)
		}
	}
	return names
}

// Room returns the CPUs and the memory that no task on the machine takes, fetching ones included.
func (w *Worker) Room() (cpus, memGB float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cpus, memGB = w.kind.CPUs, w.kind.MemGB
	for _, t := range w.tasks {
		if t.State != "exited" {
			cpus, memGB = cpus-t.job.CPUs, memGB-t.job.MemGB
		}
	}
	return cpus, memGB
}

// status returns a report with the next number.
func (w *Worker) status() []byte {
	w.logSeq++
	tasks := []object{}
	for _, t := range w.tasks {
		o := object{"oar": t.Name, "launch": t.Attempt, "bearing": t.State}
		if t.State == "exited" {
			o["wreckCause"] = t.Cause
			if t.Kept {
				o["kept"] = true
			}
		}
		tasks = append(tasks, o)
	}
	raw, err := json.Marshal(object{"deck": w.Name, "endpoint": w.addr, "hullForm": w.machine.Type, "harbour": w.machine.Zone,
		"driftwood": w.machine.Spot, "watch": w.watch, "logSeq": w.logSeq, "helm": w.helm, "recallS": nil, "oars": tasks})
	if err != nil {
		panic(err)
	}
	return raw
}

type command struct {
	Kind    string  `json:"orderKind"`
	Task    string  `json:"oar"`
	Attempt uint64  `json:"launch"`
	SlackS  float64 `json:"slackS"`
}

type commands struct {
	Helm     *uint64   `json:"helm"`
	Watch    *uint64   `json:"watch"`
	Orders   []command `json:"orders"`
	Flagship string    `json:"flagship"`
}

// report sends a report and handles its response.
func (w *Worker) report(target int, watch uint64, body []byte, sent time.Time) {
	to := w.cluster.Controllers[target]
	status, reply := w.post("http://"+to.PublicAddr+"/v1/report", body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight = false
	if w.ended {
		return
	}
	var c commands
	if status != 0 {
		_ = json.Unmarshal(reply, &c) // an unreadable body holds no commands
	}
	switch status {
	case 200:
		if watch != w.watch || c.Helm == nil || *c.Helm < w.helm {
			w.rec.Logf("%s: drops the response of %s", w.Name, to.Name)
			return
		}
		w.leased = sent
		w.see(*c.Helm)
		w.execute(c.Orders, "response of "+to.Name)
	case 421:
		if i := w.cluster.index(c.Flagship); i >= 0 && i != target {
			w.target, w.next = i, time.Now()
			return
		}
		fallthrough
	default:
		w.target = (target + 1) % len(w.cluster.Controllers)
		w.next = time.Now().Add(time.Second)
	}
}

// post sends a request with a time limit of 4 s. The status is 0 without a response.
func (w *Worker) post(url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// see notes a token. A higher one counts as a change once in half of a lease at most.
func (w *Worker) see(helm uint64) {
	if helm <= w.helm {
		return
	}
	w.helm = helm
	if now := time.Now(); now.Sub(w.raised) >= w.cluster.Settings.Lease/2 {
		w.raised, w.changed = now, true
	}
}

func (w *Worker) execute(orders []command, from string) {
	for _, o := range orders {
		w.rec.Logf("%s: command %s %s launch %d, %s", w.Name, o.Kind, o.Task, o.Attempt, from)
		i := slices.IndexFunc(w.tasks, func(t *Task) bool { return t.Name == o.Task && t.Attempt == o.Attempt })
		switch {
		case o.Kind == "run" && i < 0:
			w.tasks = append(w.tasks, w.start(o))
		case o.Kind == "stop" && i >= 0:
			w.stop(w.tasks[i], o.SlackS)
		case o.Kind == "clear" && i >= 0 && w.tasks[i].State == "exited":
			w.tasks = slices.Delete(w.tasks, i, i+1)
		default:
			continue
		}
		w.changed = true
	}
}

// start begins an attempt or refuses it.
func (w *Worker) start(o command) *Task {
	id, _, _ := strings.Cut(o.Task, "/")
	t := &Task{Name: o.Task, Attempt: o.Attempt, State: "exited", job: w.cluster.job(id)}
	if t.job == nil {
		t.Cause = "unknown"
		return t
	}
	cpus, mem := t.job.CPUs, t.job.MemGB
	for _, other := range w.tasks {
		if other.State == "exited" {
			continue
		}
		if other.Name == t.Name {
			t.Cause = "busy"
			return t
		}
		cpus, mem = cpus+other.job.CPUs, mem+other.job.MemGB
	}
	if cpus > w.kind.CPUs+1e-6 || mem > w.kind.MemGB+1e-6 {
		t.Cause = "no_room"
		return t
	}
	t.State, t.due = "fetching", time.Now()
	if !w.images[t.job.Image] {
		t.due = t.due.Add(time.Duration(t.job.PullGB / w.kind.FetchGBs * float64(time.Second)))
	}
	return t
}

func (w *Worker) stop(t *Task, slack float64) {
	switch {
	case t.State == "running" && t.job.MooringS > 0 && slack >= t.job.StowS && slack > 0:
		t.State, t.due = "saving", time.Now().Add(time.Duration(t.job.StowS*float64(time.Second)))
	case t.State == "saving" && slack > 0, t.State == "exited":
	default:
		w.exit(t, "halted")
		t.State, t.Cause, t.due = "exited", "halted", time.Time{}
	}
}

// handle serves the direct requests of controllers.
func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	var c commands
	if r.Method == http.MethodPost && readBody(r, &c) != nil {
		answer(rw, 400, object{"error": "malformed"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		panic(http.ErrAbortHandler)
	}
	w.checkLease(time.Now())
	status := 200
	switch {
	case r.URL.Path == "/show":
	case c.Helm == nil || c.Watch == nil:
		answer(rw, 400, object{"error": "helm or watch is missing"})
		return
	case *c.Helm < w.helm || *c.Watch != w.watch:
		status = 409
		w.rec.Logf("%s: refuses direct commands with token %d, session %d (has %d, %d)", w.Name, *c.Helm, *c.Watch, w.helm, w.watch)
	default:
		w.see(*c.Helm)
		w.execute(c.Orders, fmt.Sprintf("direct with token %d", *c.Helm))
	}
	body := w.status()
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}
