package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// Settings are those of a small deployment.
type Settings struct {
	Zones                 []string // of the controllers, in turn
	Report, Lease, Cancel time.Duration
	Types                 []MachineType
	Teams                 []Team
	StateRPS, StateWrites float64
	ListLag               time.Duration
}

// Team is a team with its guarantee and its limit.
type Team struct {
	Name            string
	CPUs, CPUsLimit float64
}

// Job is a job that a user submits.
type Job struct {
	ID, Class, Team, Rig, Precedence string
	Tasks                            int
	CPUs, MemGB                      float64
	Image                            string
	PullGB                           float64
	Runs                             time.Duration // how long a task runs; 0: until it is stopped
	MooringS, StowS                  float64
	Spot                             bool
	Types                            []string      // allowed machine types; nil: any
	FirstRuns                        time.Duration // how long task 0 runs, if not 0
}

// Cluster is a deployment: controllers as processes, and stand-ins of all else.
type Cluster struct {
	Rec         *Record
	Settings    Settings
	State       *State
	Cloud       *Cloud
	Controllers []*Controller

	// PeerProxies are the proxies between the controllers.
	PeerProxies []*Proxy
	// StateProxies are the proxies from the controllers to the state service, in the order of the controllers.
	StateProxies []*Proxy

	dir  string
	mu   sync.Mutex
	jobs map[string]*Job
	// TaskStarted and TaskEnded are called when a task is on its machine and when it no longer is.
	TaskStarted, TaskEnded func(w *Worker, t *Task, reason string)
}

// Controller is a controller process.
type Controller struct {
	Name, PublicAddr string
	zone, back       string
	state, cloud     string
	peers            []string // the entries of the other controllers in the settings
	settings         string
	log              *os.File
	rec              *Record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	killed  bool
	ends    int // how often the process ended by itself
}

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 4 * time.Second

// NewCluster creates three controllers, which are not running yet, and the stand-ins.
func NewCluster(rec *Record, s Settings) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "brasskeel-review-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Rec: rec, Settings: s, State: NewState(rec), dir: dir, jobs: map[string]*Job{}}
	c.Cloud = &Cloud{rec: rec, cluster: c, types: s.Types, listLag: s.ListLag, charters: map[string][]string{}, Capacity: 10,
		Boot: func(_ int, t MachineType) time.Duration { return time.Duration(t.ReadyS * float64(time.Second)) }}
	for i := range 3 {
		k := &Controller{Name: fmt.Sprintf("keelhost-%d", i), zone: s.Zones[i%len(s.Zones)], PublicAddr: freeAddr(), back: freeAddr(), rec: rec}
		c.Controllers = append(c.Controllers, k)
	}
	for _, k := range c.Controllers {
		if err := c.prepare(k); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freeAddr returns a loopback address with a free port, which outgoing connections don't use.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr
		}
	}
}

// prepare starts a controller's addresses of the state service and the cloud, and writes its settings.
func (c *Cluster) prepare(k *Controller) error {
	state, err := c.State.Listen()
	if err != nil {
		return err
	}
	proxy, err := NewProxy(state)
	if err != nil {
		return err
	}
	c.StateProxies = append(c.StateProxies, proxy)
	k.state = proxy.Addr()
	if k.cloud, err = c.Cloud.listen(k.Name); err != nil {
		return err
	}
	for _, peer := range c.Controllers {
		if peer == k {
			continue
		}
		proxy, err := NewProxy(peer.back)
		if err != nil {
			return err
		}
		c.PeerProxies = append(c.PeerProxies, proxy)
		k.peers = append(k.peers, fmt.Sprintf("[[seeds]]\nhost_name = %q\ndomain = %q\nendpoint = %q\n", peer.Name, peer.zone, proxy.Addr()))
	}
	k.settings = filepath.Join(c.dir, k.Name+".toml")
	if k.log, err = os.Create(filepath.Join(c.dir, k.Name+".log")); err != nil {
		return err
	}
	return c.WriteSettings(k, c.Settings.Teams)
}

// WriteSettings writes the settings of a controller, with the given teams. It reaches each other
// controller through a proxy of its own.
func (c *Cluster) WriteSettings(k *Controller, teams []Team) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\ndomain = %q\npublic_addr = %q\nback = %q\n", k.Name, k.zone, k.PublicAddr, k.back)
	b.WriteString(strings.Join(k.peers, ""))
	s := &c.Settings
	fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n", k.cloud, k.state)
	fmt.Fprintf(&b, "[facts]\ncount = 3\nzones = [\"%s\"]\ntime_bound_ms = 1000.0\n", strings.Join(s.Zones, `", "`))
	for _, t := range teams {
		fmt.Fprintf(&b, "[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.Name, t.CPUs, t.CPUsLimit)
	}
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = %.1f\n",
		s.Report.Seconds(), s.Lease.Seconds(), s.Cancel.Seconds())
	fmt.Fprintf(&b, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = 8.0\ntxn_ops = 12\n", s.StateRPS, s.StateWrites)
	fmt.Fprintf(&b, "[facts.cloud]\nrps = 6.0\nlist_lag_s = %.1f\n", s.ListLag.Seconds())
	fmt.Fprintf(&b, "[facts.quota]\ncpu = 0.06\nram_mb = 98.0\nsockets = 900\n")
	return os.WriteFile(k.settings, []byte(b.String()), 0o600)
}

// Start starts a controller with the command of the deploy file.
func (k *Controller) Start() error {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return fmt.Errorf("deploy/service.toml has no run command")
	}
	args := append(strings.Fields(string(run[1])), k.settings)
	command := exec.Command(args[0], args[1:]...)
	command.Stderr = k.log
	command.Env = append(os.Environ(), "LOG_LEVEL=debug")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	k.rec.Logf("%s: starts", k.Name)
	k.command, k.killed, k.ended = command, false, make(chan struct{})
	go k.wait(command, k.ended)
	return nil
}

// wait waits for the end of a process. One that ended by itself is started again.
func (k *Controller) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	k.mu.Lock()
	killed := k.killed
	if !killed {
		k.ends++
	}
	k.mu.Unlock()
	close(ended)
	if killed {
		return
	}
	k.rec.Logf("%s: ended by itself: %v", k.Name, err)
	time.Sleep(restartDelay)
	k.mu.Lock()
	again := !k.killed && k.command == command
	k.mu.Unlock()
	if !again {
		return
	}
	if err := k.Start(); err != nil {
		k.rec.Logf("%s: can't start: %v", k.Name, err)
	}
}

// Ends returns how often the process ended by itself.
func (k *Controller) Ends() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ends
}

// Signal sends a signal to a controller.
func (k *Controller) Signal(s syscall.Signal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rec.Logf("%s: signal %v", k.Name, s)
	if err := k.command.Process.Signal(s); err != nil {
		k.rec.Logf("%s: signal failed: %v", k.Name, err)
	}
}

// Kill ends a controller at once.
func (k *Controller) Kill() {
	k.mu.Lock()
	command, ended := k.command, k.ended
	k.killed = true
	k.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // it may have ended
	<-ended
}

// Close ends all processes and removes the settings. Logs are appended to the given file.
func (c *Cluster) Close(logs string) {
	for _, k := range c.Controllers {
		k.Kill()
		if raw, err := os.ReadFile(k.log.Name()); err == nil && logs != "" {
			_ = os.WriteFile(logs+"-"+k.Name+".log", raw, 0o600)
		}
	}
	os.RemoveAll(c.dir)
}

// Leader returns the controller that the state service records as the leader, or nil.
func (c *Cluster) Leader() *Controller {
	var r struct {
		Node string `json:"node"`
	}
	raw := c.State.Value("e/leader")
	if raw == nil || json.Unmarshal(raw, &r) != nil {
		return nil
	}
	if i := c.index(r.Node); i >= 0 {
		return c.Controllers[i]
	}
	return nil
}

func (c *Cluster) index(name string) int {
	for i, k := range c.Controllers {
		if k.Name == name {
			return i
		}
	}
	return -1
}

func (c *Cluster) job(id string) *Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

func (c *Cluster) taskStarted(w *Worker, t *Task) {
	if c.TaskStarted != nil {
		c.TaskStarted(w, t, "")
	}
}

func (c *Cluster) taskEnded(w *Worker, t *Task, reason string) {
	if c.TaskEnded != nil {
		c.TaskEnded(w, t, reason)
	}
}

// Request sends a user's request to a controller and waits for at most limit. The status is 0
// without a response.
func (c *Cluster) Request(k *Controller, method, path string, body any, limit time.Duration) (int, string) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+k.PublicAddr+path, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		c.Rec.Logf("user: %s %s at %s: no response", method, path, k.Name)
		return 0, ""
	}
	defer resp.Body.Close()
	reply, _ := io.ReadAll(resp.Body)
	c.Rec.Logf("user: %s %s at %s: %d %s", method, path, k.Name, resp.StatusCode, reply)
	return resp.StatusCode, string(reply)
}

// AddAccepted adds a job that was accepted some time ago: its description, and its record in the state
// service as a controller writes it on acceptance.
func (c *Cluster) AddAccepted(j Job, ago time.Duration) {
	c.mu.Lock()
	c.jobs[j.ID] = &j
	c.mu.Unlock()
	kinds := map[string]protocol.Kind{"batch": protocol.Batch, "daemon": protocol.Service}
	priorities := map[string]protocol.Priority{"critical": protocol.Critical, "urgent": protocol.Urgent, "standard": protocol.Standard, "low": protocol.Low}
	spec := &protocol.Job{ID: j.ID, Class: j.Class, Team: j.Team, Kind: kinds[j.Rig], Priority: priorities[j.Precedence], Tasks: j.Tasks, CPUs: j.CPUs,
		MemoryGB: j.MemGB, Image: j.Image, ImageGB: j.PullGB, AllowSpot: j.Spot, EstimatedRuntime: j.Runs,
		CheckpointInterval: protocol.Seconds(j.MooringS), CheckpointDuration: protocol.Seconds(j.StowS)}
	record := records.Job{SubmittedAt: records.UnixMillis(time.Now().Add(-ago)), BlockSize: records.TasksPerBlock(8 << 10), Spec: spec}
	c.State.Put(records.KeyActive(j.ID), records.Encode(record))
	c.Rec.Logf("%s was accepted %v ago", j.ID, ago)
}

// ErrRejected means that a submission was answered with 400 or 422.
var ErrRejected = errors.New("rejected")

// Submit submits a job, with retries at the given controllers in turn, until it is accepted.
func (c *Cluster) Submit(j Job, at ...*Controller) error {
	c.mu.Lock()
	c.jobs[j.ID] = &j
	c.mu.Unlock()
	body := object{"nameId": j.ID, "berth": j.Class, "crew": j.Team, "rig": j.Rig, "precedence": j.Precedence, "oars": j.Tasks, "cpus": j.CPUs,
		"gpus": 0.0, "memGb": j.MemGB, "hull": j.Image, "pullGb": j.PullGB, "hullForms": nil, "harbour": nil, "oneZone": false, "apart": false,
		"driftwood": j.Spot, "passageS": j.Runs.Seconds(), "mooringS": j.MooringS, "stowS": j.StowS, "tideS": nil}
	if j.Types != nil {
		body["hullForms"] = j.Types
	}
	for i := range 30 {
		status, _ := c.Request(at[i%len(at)], http.MethodPost, "/v2/runs", body, 5*time.Second)
		switch status {
		case 200, 201:
			return nil
		case 400, 422:
			return fmt.Errorf("%s: %w", j.ID, ErrRejected)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s was not accepted", j.ID)
}

// Await waits until a condition holds, and reports whether it did within the limit.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
