package config

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Peer is another controller.
type Peer struct {
	Name string
	Zone string
	Addr string // IP address and port on which it serves its peers
}

// Team is a team with the resources that it is guaranteed and those that it may take at most.
// A team may have no guarantee, which is 0, and no limit, which is NoLimit.
type Team struct {
	Name                           string
	GuaranteedCPUs, GuaranteedGPUs float64
	MaxCPUs, MaxGPUs               float64
}

// NoLimit is the limit of a team that has none. It is more than any fleet holds, and finite so
// that arithmetic on it stays well defined.
const NoLimit = 1e9

// limitFromFile converts a limit from the settings file, where 0 means none.
func limitFromFile(limit float64) float64 {
	if limit == 0 {
		return NoLimit
	}
	return limit
}

// Objective is a service-level objective of the platform for a class of jobs. Which of the
// fields apply depends on the kind. Controllers use only Kind, Class and Within.
type Objective struct {
	// Kind is "wait" if jobs of the class are to start within the given time, "finished" if they
	// are to finish within it, and "guarantee" if jobs within their team's quota are to start
	// within it. Controllers ignore other kinds.
	Kind            string
	Class           string
	Within          time.Duration
	After           time.Duration
	Share           float64 // of the class's jobs that must meet the objective, 0 to 1
	RuntimeMultiple float64 // of the estimated runtime
}

// Settings are the settings that the platform gives a controller. Addresses are an IP address
// and a port.
type Settings struct {
	Name           string // of this controller, unique among the peers
	Zone           string
	ListenAddr     string // for users and workers
	PeerListenAddr string // for other controllers
	Peers          []Peer
	CloudAddr      string
	StateAddr      string // of the state service

	Teams      []Team
	Objectives []Objective
	// MaxClockSkew is the largest difference between the clocks of two machines.
	MaxClockSkew time.Duration

	HeartbeatInterval time.Duration // between the heartbeats of a worker
	// WorkerLease is how long a worker runs its tasks after the last heartbeat that was answered.
	WorkerLease time.Duration
	// CancelDeadline is the time after a cancellation by which all tasks of the job must have
	// ended.
	CancelDeadline time.Duration

	StateRPS      float64 // limit of requests per second to the state service
	StateWriteRPS float64 // limit of operations in transactions per second, of all controllers together
	MaxValueBytes int     // of a key in the state service
	MaxTxnOps     int     // operations in one transaction

	CloudRPS float64 // limit of requests per second to the cloud
	// ListLag is how far the cloud's list of machines may be out of date according to the
	// platform. Controllers allow for twice as much.
	ListLag time.Duration

	CPUShare    float64 // of one core
	MemoryBytes int64
	MaxSockets  int // open at the same time
}

// settingsFile is the platform's settings file.
type settingsFile struct {
	Name       string      `toml:"host_name"`
	Zone       string      `toml:"domain"`
	Listen     string      `toml:"public_addr"`
	PeerListen string      `toml:"back"`
	Peers      []peerEntry `toml:"seeds"`
	Services   struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"endpoints"`
	Params struct {
		TimeBoundMS float64          `toml:"time_bound_ms"`
		Teams       []teamEntry      `toml:"teams"`
		Objectives  []objectiveEntry `toml:"objectives"`
		Workers     struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			CPU     float64 `toml:"cpu"`
			RAMMB   float64 `toml:"ram_mb"`
			Sockets int     `toml:"sockets"`
		} `toml:"quota"`
	} `toml:"facts"`
}

type peerEntry struct {
	Name string `toml:"host_name"`
	Zone string `toml:"domain"`
	Addr string `toml:"endpoint"`
}

type teamEntry struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

type objectiveEntry struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	AfterS  float64 `toml:"after_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Minimum limits that a controller can operate with: an election writes two keys in one
// transaction, a record of a job or of four tasks takes a few hundred bytes, and sockets are
// needed for some workers and users besides the state service, the cloud and two peers.
const (
	minTxnOps  = 2
	minValueKB = 1
	minSockets = 32
)

// maxSettingValue is the largest value of a numeric setting. It keeps conversions and sums of
// settings from overflowing.
const maxSettingValue = 1e9

// minCancelMargin is how much longer than a worker's lease the cancel deadline must be: a
// controller needs the time to learn of a cancellation before it answers another heartbeat of the
// worker, which renews the worker's lease.
const minCancelMargin = 3 * time.Second

// Load reads the platform's settings from a file and validates them. Its errors are those of
// os.ReadFile, and those of Parse with the path.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse parses and validates settings. Unknown fields are ignored. The error is a *SettingError,
// or wraps the error of the TOML decoder.
func Parse(raw []byte) (*Settings, error) {
	var f settingsFile
	if err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&f); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{}
	for _, read := range [...]func(*settingsFile, *Settings) error{(*settingsFile).readController, (*settingsFile).readPeers, (*settingsFile).readTeams,
		(*settingsFile).checkAmounts, (*settingsFile).readWorkers} {
		if err := read(&f, s); err != nil {
			return nil, err
		}
	}
	f.readObjectives(s)
	f.readLimits(s)
	return s, nil
}

// readController reads this controller's name and zone, and the addresses of the controller and
// the services.
func (f *settingsFile) readController(s *Settings) error {
	s.Name, s.Zone, s.ListenAddr, s.PeerListenAddr = f.Name, f.Zone, f.Listen, f.PeerListen
	s.CloudAddr, s.StateAddr = f.Services.Cloud, f.Services.State
	if s.Name == "" {
		return missingError("host_name")
	}
	if s.Zone == "" {
		return missingError("domain")
	}
	for _, a := range [...]struct{ name, addr string }{
		{"public_addr", s.ListenAddr}, {"back", s.PeerListenAddr}, {"endpoints.cloud", s.CloudAddr}, {"endpoints.state", s.StateAddr}} {
		if err := checkAddr(a.name, a.addr); err != nil {
			return err
		}
	}
	return nil
}

func (f *settingsFile) readPeers(s *Settings) error {
	named := map[string]bool{s.Name: true}
	for _, p := range f.Peers {
		if p.Name == "" {
			return &SettingError{Name: "an entry of seeds", Reason: "has no host_name"}
		}
		if named[p.Name] {
			return &SettingError{Name: fmt.Sprintf("host_name %q", p.Name), Reason: "is used more than once"}
		}
		named[p.Name] = true
		if err := checkAddr("endpoint of seed "+p.Name, p.Addr); err != nil {
			return err
		}
		s.Peers = append(s.Peers, Peer(p))
	}
	return nil
}

func (f *settingsFile) readTeams(s *Settings) error {
	named := map[string]bool{}
	for _, t := range f.Params.Teams {
		if t.Name == "" || named[t.Name] {
			return teamError(t.Name, "has an empty name or that of another team")
		}
		named[t.Name] = true
		for _, v := range [...]float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return teamError(t.Name, fmt.Sprintf("has an amount of %g, must be 0 or more and finite", v))
			}
		}
		t.CPUsMax, t.GPUsMax = limitFromFile(t.CPUsMax), limitFromFile(t.GPUsMax)
		if t.CPUsMax < t.CPUs || t.GPUsMax < t.GPUs {
			return teamError(t.Name, fmt.Sprintf("has a maximum below its guarantee: cpus %g, cpus_max %g, gpus %g, gpus_max %g",
				t.CPUs, limitToFile(t.CPUsMax), t.GPUs, limitToFile(t.GPUsMax)))
		}
		s.Teams = append(s.Teams, Team{Name: t.Name, GuaranteedCPUs: t.CPUs, MaxCPUs: t.CPUsMax, GuaranteedGPUs: t.GPUs, MaxGPUs: t.GPUsMax})
	}
	if len(s.Teams) == 0 {
		return missingError("facts.teams")
	}
	return nil
}

func (f *settingsFile) readObjectives(s *Settings) {
	for _, o := range f.Params.Objectives {
		s.Objectives = append(s.Objectives, Objective{Kind: o.Kind, Class: o.Class, Share: o.Share, RuntimeMultiple: o.Times,
			Within: seconds(o.WithinS), After: seconds(o.AfterS)})
	}
}

// checkAmounts rejects limits and durations that are not positive, too large, or below what a
// controller can operate with. list_lag_s and time_bound_ms may also be 0, and have no maximum.
func (f *settingsFile) checkAmounts(*Settings) error {
	workers, state, cloud, quota := &f.Params.Workers, &f.Params.State, &f.Params.Cloud, &f.Params.Quota
	for _, v := range [...]struct {
		name  string
		value float64
	}{
		{"workers.report_s", workers.ReportS}, {"workers.lease_s", workers.LeaseS}, {"workers.cancel_s", workers.CancelS},
		{"state.rps", state.RPS}, {"state.write_rps", state.WriteRPS}, {"state.value_kb", state.ValueKB},
		{"state.txn_ops", float64(state.TxnOps)}, {"cloud.rps", cloud.RPS},
		{"quota.cpu", quota.CPU}, {"quota.ram_mb", quota.RAMMB}, {"quota.sockets", float64(quota.Sockets)},
	} {
		if !(v.value > 0) || v.value > maxSettingValue {
			return &SettingError{Name: "facts." + v.name, Reason: fmt.Sprintf("is %g, must be above 0 and at most %g", v.value, float64(maxSettingValue))}
		}
	}
	for _, v := range [...]struct {
		name       string
		value, min float64
	}{
		{"state.txn_ops", float64(state.TxnOps), minTxnOps}, {"state.value_kb", state.ValueKB, minValueKB},
		{"quota.sockets", float64(quota.Sockets), minSockets},
	} {
		if v.value < v.min {
			return &SettingError{Name: "facts." + v.name, Reason: fmt.Sprintf("is %g, must be %g or more", v.value, v.min)}
		}
	}
	if !(cloud.ListLagS >= 0) || !(f.Params.TimeBoundMS >= 0) {
		return &SettingError{Name: "facts.cloud.list_lag_s and facts.time_bound_ms",
			Reason: fmt.Sprintf("are %g and %g, must be 0 or more", cloud.ListLagS, f.Params.TimeBoundMS)}
	}
	return nil
}

func (f *settingsFile) readWorkers(s *Settings) error {
	workers := &f.Params.Workers
	s.HeartbeatInterval, s.WorkerLease, s.CancelDeadline = seconds(workers.ReportS), seconds(workers.LeaseS), seconds(workers.CancelS)
	if s.CancelDeadline < s.WorkerLease+minCancelMargin {
		// An unreachable worker runs its tasks until its lease expires.
		return &SettingError{Name: "facts.workers.cancel_s",
			Reason: fmt.Sprintf("is %g, must exceed lease_s, which is %g, by %s or more", workers.CancelS, workers.LeaseS, minCancelMargin)}
	}
	return nil
}

// readLimits reads the limits of the services and of this controller, already validated.
func (f *settingsFile) readLimits(s *Settings) {
	state, cloud, quota := &f.Params.State, &f.Params.Cloud, &f.Params.Quota
	s.MaxClockSkew = seconds(f.Params.TimeBoundMS / 1000)
	s.StateRPS, s.StateWriteRPS, s.MaxTxnOps = state.RPS, state.WriteRPS, state.TxnOps
	s.MaxValueBytes = int(state.ValueKB * 1024)
	s.CloudRPS, s.ListLag = cloud.RPS, seconds(cloud.ListLagS)
	s.CPUShare, s.MemoryBytes, s.MaxSockets = quota.CPU, int64(quota.RAMMB*(1<<20)), quota.Sockets
}

func checkAddr(name, addr string) error {
	if addr == "" {
		return missingError(name)
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &SettingError{Name: name + ":", Reason: fmt.Sprintf("%q is not an IP address with a port", addr), Err: err}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
