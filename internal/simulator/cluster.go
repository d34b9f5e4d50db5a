// Package simulator is a deterministic simulation of everything a controller interacts with: the
// state service, the cloud, workers, users and the network between them, on a simulated clock. It
// checks the protocol's invariants at every step, so that every test that runs a cluster checks
// them too.
//
// [Loopback] serves the same cluster in real time over HTTP on the loopback interface, for
// controllers that run as separate processes.
package simulator

import (
	"fmt"
	"hash"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brasskeel/internal/config"
	"brasskeel/internal/protocol"
)

// Options configures a cluster.
type Options struct {
	Seed                uint64
	Controllers         int
	Zones               []string        // assigned to controllers round-robin; every zone offers machines; empty: one zone "a"
	Machines            int             // on-demand machines that run from the start, assigned to zones round-robin
	Capacity            int             // machines that can be provisioned per type, zone, and on-demand or spot
	LargeFleet          bool            // use limits, budgets and intervals of a fleet of a thousand machines
	ShardsPerController int             // 0: no shards, the leader serves all machines
	Balance             *config.Balance // nil: no balancing
	Headroom            float64         // free capacity to keep, as a share of the capacity in use; 0 means the default
	TeamCPULimit        float64         // CPU limit of each team that has one; 0 means the default
	// EventCost is the processor time that a controller spends on each event. If events arrive
	// faster than that, they wait and timers fire late, as for a controller that has only a
	// small share of a processor.
	EventCost time.Duration
	Log       io.Writer
	// Digest, if not nil, hashes the requests to controllers and everything that controllers do.
	Digest hash.Hash
}

// Cluster is a simulated deployment.
type Cluster struct {
	now          time.Time
	startTime    time.Time
	events       eventHeap
	lastEventSeq uint64
	rng          *rand.Rand
	log          *slog.Logger

	servedByTerm   map[uint64]string       // incarnation ID of the controller that served workers, by term
	replyIntervals *hdrhistogram.Histogram // times between two replies to an agent
	settings       config.Settings
	operator       config.Operator
	streams        map[link]*stream // between controllers
	controllers    []*controllerHost
	state          *stateService
	cloud          *cloud
	agents         map[string]*agent // of the machines that run, by machine name
	jobs           map[string]*userJob
	linkFaults     map[link]*linkFault
	linkChanges    int                   // number of changes to linkFaults
	usedCPUsByTeam map[string]float64    // CPUs of running tasks
	eventCost      time.Duration         // see Options.EventCost
	assignAddress  func(*machine) string // returns the worker address of a new machine
	violations     []string
	// externalUsers says that users outside of the simulator submit jobs, too.
	externalUsers     bool
	duplicateCommands bool // direct commands that were delivered are delivered again after duplicateDelay
	// If duplicateHeartbeatDelay is not 0, heartbeats are delivered again, one second plus up
	// to this delay later.
	duplicateHeartbeatDelay time.Duration
	// staleHeartbeatShare is the share of heartbeats of which copies are kept. They are
	// delivered to every controller when the next leader is elected.
	staleHeartbeatShare     float64
	staleHeartbeats         map[string][][]byte // kept copies, by machine
	cancelOnCompletionShare float64             // share of jobs that are cancelled at the moment they complete
	queriesAfterChange      bool                // users query all controllers right after each change of a job
	extraLinkDelay          time.Duration       // upper bound of the additional delay of each message
	invalidRequestCount     int                 // invalid requests sent; numbers their job IDs
	triggers                []*trigger
	quiescentSince          time.Time // when faults were last declared over; zero while there may be faults
	migrations              *migrationInvariant
	placements              placements
	wastedCPUSeconds        float64                      // CPU seconds of work whose result was lost
	fetchedGB               float64                      // GB of images fetched by all agents
	ceilingInvariants       map[string]*ceilingInvariant // by team, for teams whose ceiling is checked
	digest                  digest
}

// machineTypes returns the machine types that the simulated cloud offers.
func machineTypes(zones []string) []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 10, FetchGBPerSecond: 1, PricePerHour: 0.25, SpotPricePerHour: 0.1, BootTime: 10 * time.Second, Zones: zones},
		{Name: "large", CPUs: 16, MemoryGB: 128, CacheGB: 20, FetchGBPerSecond: 1, PricePerHour: 1.1, SpotPricePerHour: 0.5, BootTime: 20 * time.Second, Zones: zones},
	}
}

// New starts a cluster on a simulated clock, with the core of every controller in this process.
func New(o Options) *Cluster {
	c := newCluster(o, time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC), func(m *machine) string { return m.name })
	for _, n := range c.controllers {
		n.start()
	}
	return c
}

// newCluster makes a cluster whose controllers are not started yet. address returns the worker
// address of a new machine.
func newCluster(o Options, begin time.Time, address func(*machine) string) *Cluster {
	if len(o.Zones) == 0 {
		o.Zones = []string{"a"}
	}
	c := &Cluster{assignAddress: address,
		now: begin, startTime: begin, rng: rand.New(rand.NewPCG(o.Seed, 7)), agents: map[string]*agent{},
		eventCost: o.EventCost, jobs: map[string]*userJob{}, linkFaults: map[link]*linkFault{}, usedCPUsByTeam: map[string]float64{}, staleHeartbeats: map[string][][]byte{},
		servedByTerm: map[uint64]string{}, replyIntervals: newDurationHistogram(), streams: map[link]*stream{}, operator: operatorSettings(o),
		digest: digest{o.Digest}, ceilingInvariants: map[string]*ceilingInvariant{}, migrations: newMigrationInvariant(), settings: platformSettings(o)}
	c.log = c.newLogger(o.Log)
	c.state = newStateService(c)
	c.cloud = newCloud(c, machineTypes(o.Zones), o.Capacity)
	for i := range o.Machines {
		c.cloud.startMachine("small", o.Zones[i%len(o.Zones)], false, 0)
	}
	for i := range o.Controllers {
		c.controllers = append(c.controllers, &controllerHost{cluster: c, name: fmt.Sprintf("node-%d", i), zone: o.Zones[i%len(o.Zones)]})
	}
	return c
}

// newLogger returns a logger that writes to out, or discards if out is nil. Its timestamps are the
// simulated time since the start of the cluster.
func (c *Cluster) newLogger(out io.Writer) *slog.Logger {
	if out == nil {
		out = io.Discard
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.String("t", c.now.Sub(c.startTime).String())
			}
			return a
		}}))
}

// operatorSettings returns the operators' settings with which controllers start.
func operatorSettings(o Options) config.Operator {
	operator := config.DefaultOperator()
	operator.Sharding = sharding(o.ShardsPerController)
	operator.Balance = o.Balance
	if o.Headroom > 0 {
		operator.HeadroomShare = o.Headroom
	}
	return operator
}

// platformSettings returns the platform's settings for every controller, without name, zone and
// peers.
func platformSettings(o Options) config.Settings {
	s := config.Settings{
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 16, MaxCPUs: 64},
			{Name: "blue", GuaranteedCPUs: 16, MaxCPUs: 32},
			{Name: "guest", MaxCPUs: config.NoLimit, MaxGPUs: config.NoLimit},
		},
		Objectives:        []config.Objective{{Kind: "guarantee", Within: 5 * time.Second, Share: 0.9}},
		HeartbeatInterval: 2 * time.Second, WorkerLease: 15 * time.Second, CancelDeadline: 40 * time.Second,
		StateRPS: 200, StateWriteRPS: 80, MaxValueBytes: 8 << 10, MaxTxnOps: 12,
		CloudRPS: 4, ListLag: 5 * time.Second,
		CPUShare: 0.1, MemoryBytes: 98 << 20, MaxSockets: 900,
	}
	limited := s.Teams[:2]
	if o.LargeFleet {
		for i := range limited {
			limited[i].GuaranteedCPUs, limited[i].MaxCPUs = 2000, 6000
		}
		s.HeartbeatInterval, s.WorkerLease, s.CancelDeadline = 4*time.Second, 28*time.Second, 48*time.Second
		s.StateRPS, s.StateWriteRPS, s.MaxTxnOps, s.ListLag = 400, 150, 16, 12*time.Second
		s.CPUShare, s.MemoryBytes, s.MaxSockets = 0.3, 322<<20, 2900
	}
	for i := range limited {
		if o.TeamCPULimit > 0 {
			limited[i].MaxCPUs = o.TeamCPULimit
		}
	}
	return s
}

// Leader returns the index of the controller that the leader record names, or -1 if there is no such
// record or that controller is not running.
func (c *Cluster) Leader() int {
	name := c.state.leader()
	for i, n := range c.controllers {
		if n.name == name && n.up() {
			return i
		}
	}
	return -1
}

// reportViolation records and logs the violation of an invariant. rule is the name of the
// invariant.
func (c *Cluster) reportViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %s: %s", rule, c.now.Sub(c.startTime).Round(time.Millisecond), fmt.Sprintf(format, args...)))
	c.log.Error("rule broken", "rule", rule, "what", fmt.Sprintf(format, args...))
}

// Violations returns the violations of invariants so far.
func (c *Cluster) Violations() []string { return c.violations }
