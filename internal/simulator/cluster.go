// Package simulator is a deterministic stand-in for everything a controller
// deals with: the state service, the cloud, workers, users and the network
// between them, on a simulated clock. It checks the protocol's rules at every
// step, so that each test of it tests them too.
//
// Loopback serves the same cluster over HTTP on the loopback interface, in real time, to
// controllers that are processes.
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

// Options shape a cluster.
type Options struct {
	Seed                uint64
	Controllers         int
	Zones               []string // of the nodes in turn; machines can be had in each
	Machines            int      // ordinary ones that run from the start, in zones in turn
	Capacity            int      // machines that can be rented per type, zone and kind
	LargeFleet          bool     // limits, budgets and intervals of a fleet of a thousand machines
	ShardsPerController int      // per controller; 0: the leader serves all machines
	Balance             *config.Balance
	Headroom            float64 // share of free room kept; 0 for the default
	TeamCPULimit        float64 // CPUs that each team may take; 0 for those of the settings above
	// EventCost is the processor time of each event on a node: what comes faster waits, and
	// timers fire late, as on a small share of a processor.
	EventCost time.Duration
	Log       io.Writer
	// Digest, if any, sums up all that controllers do.
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

	servedByTerm   map[uint64]string // who served workers under a term
	replyIntervals *hdrhistogram.Histogram
	settings       config.Settings
	operator       config.Operator
	streams        map[link]*stream // between controllers
	controllers    []*controllerHost
	state          *stateService
	cloud          *cloud
	agents         map[string]*agent
	jobs           map[string]*userJob
	linkFaults     map[link]*linkFault
	linkChanges    int                   // so far
	usedCPUsByTeam map[string]float64    // CPUs, by team
	eventCost      time.Duration         // of each event on a node
	assignAddress  func(*machine) string // of a new machine's worker
	violations     []string
	// Jobs come from users outside of the stand-in, too.
	externalUsers     bool
	duplicateCommands bool // direct orders that were carried out arrive once more, later
	// Reports arrive once more, after up to this long.
	duplicateHeartbeatDelay time.Duration
	// Copies of that share of the reports are kept and reach every controller as
	// the next leader begins.
	staleHeartbeatShare     float64
	staleHeartbeats         map[string][][]byte // by machine
	cancelOnCompletionShare float64             // of the jobs that end is cancelled at that moment
	queriesAfterChange      bool                // users ask all nodes right after each change
	extraLinkDelay          time.Duration       // up to this much more every message takes
	invalidRequestCount     int                 // odd requests sent, to name the next ones
	triggers                []*trigger
	quiescentSince          time.Time // since when there is no trouble; zero while there is
	migrations              *migrationInvariant
	placements              placements
	wastedCPUSeconds        float64                      // seconds of CPUs that were worked and not kept
	fetchedGB               float64                      // GB of images, by all workers
	ceilingInvariants       map[string]*ceilingInvariant // of teams that are known to surge
	digest                  digest
}

// Types is what the stand-in cloud rents.
func machineTypes(zones []string) []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 10, FetchGBPerSecond: 1, PricePerHour: 0.25, SpotPricePerHour: 0.1, BootTime: 10 * time.Second, Zones: zones},
		{Name: "large", CPUs: 16, MemoryGB: 128, CacheGB: 20, FetchGBPerSecond: 1, PricePerHour: 1.1, SpotPricePerHour: 0.5, BootTime: 20 * time.Second, Zones: zones},
	}
}

// New starts a cluster on a simulated clock, with every controller's core in this process.
func New(o Options) *Cluster {
	c := newCluster(o, time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC), func(h *machine) string { return h.name })
	for _, n := range c.controllers {
		n.start()
	}
	return c
}

// newCluster makes a cluster whose controllers don't run yet. address gives each new
// machine its worker's address.
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

// newLogger writes to out, if there is one, with the simulated time since the beginning.
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

// operatorSettings are those of all controllers that start from the beginning.
func operatorSettings(o Options) config.Operator {
	operator := config.DefaultOperator()
	operator.Sharding = sharding(o.ShardsPerController)
	operator.Balance = o.Balance
	if o.Headroom > 0 {
		operator.HeadroomShare = o.Headroom
	}
	return operator
}

// platformSettings are those that the platform hands to each controller, but for its name, zone and
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
		CloudRPS: 4, MaxListLag: 5 * time.Second,
		CPUShare: 0.1, MemoryBytes: 98 << 20, MaxSockets: 900,
	}
	limited := s.Teams[:2]
	if o.LargeFleet {
		for i := range limited {
			limited[i].GuaranteedCPUs, limited[i].MaxCPUs = 2000, 6000
		}
		s.HeartbeatInterval, s.WorkerLease, s.CancelDeadline = 4*time.Second, 28*time.Second, 48*time.Second
		s.StateRPS, s.StateWriteRPS, s.MaxTxnOps, s.MaxListLag = 400, 150, 16, 12*time.Second
		s.CPUShare, s.MemoryBytes, s.MaxSockets = 0.3, 322<<20, 2900
	}
	for i := range limited {
		if o.TeamCPULimit > 0 {
			limited[i].MaxCPUs = o.TeamCPULimit
		}
	}
	return s
}

// Leader is the index of the node that leads, -1 when none does.
func (c *Cluster) Leader() int {
	name := c.state.leader()
	for i, n := range c.controllers {
		if n.name == name && n.up() {
			return i
		}
	}
	return -1
}

// reportViolation notes a broken rule.
func (c *Cluster) reportViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %s: %s", rule, c.now.Sub(c.startTime).Round(time.Millisecond), fmt.Sprintf(format, args...)))
	c.log.Error("rule broken", "rule", rule, "what", fmt.Sprintf(format, args...))
}

// Violations lists the rules broken so far.
func (c *Cluster) Violations() []string { return c.violations }
