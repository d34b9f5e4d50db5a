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
	Addr string // address with a port, where it serves its peers
}

// Team has a guarantee and a limit. A team without a limit, as guests are, has
// NoLimit for it.
type Team struct {
	Name                           string
	GuaranteedCPUs, GuaranteedGPUs float64 // guaranteed
	MaxCPUs, MaxGPUs               float64 // never exceeded
}

// NoLimit is the limit of a team that has none: more than any fleet holds, and
// finite, so that it can be counted with.
const NoLimit = 1e9

// limitFromFile reads a maximum, of which 0 means none.
func limitFromFile(most float64) float64 {
	if most == 0 {
		return NoLimit
	}
	return most
}

// Objective is a service-level objective that the platform states for a class of jobs. Which
// of the amounts count depends on the kind.
type Objective struct {
	Kind            string
	Class           string
	Within          time.Duration
	After           time.Duration
	Share           float64 // of the class's jobs, 0 to 1
	RuntimeMultiple float64 // of the estimated runtime
}

// Settings is what the platform hands over at the start.
type Settings struct {
	Name           string // of this controller, unique among the peers
	Zone           string
	ListenAddr     string // address with a port, for users and workers
	PeerListenAddr string // address with a port, for other controllers
	Peers          []Peer
	CloudAddr      string // address with a port
	StateAddr      string // of the state service, address with a port

	Teams      []Team
	Objectives []Objective
	// MaxClockSkew is how far the times of day of two machines may be apart.
	MaxClockSkew time.Duration

	HeartbeatInterval time.Duration // between a worker's heartbeats
	// WorkerLease is how long a worker's tasks go on after its last heartbeat that was answered.
	WorkerLease time.Duration
	// CancelDeadline is within which time a cancelled job's tasks must have ended.
	CancelDeadline time.Duration

	StateRPS      float64 // requests a second to the state service
	StateWriteRPS float64 // of them, changes of keys
	MaxValueBytes int     // largest value of a key
	MaxTxnOps     int     // most operations in a transaction

	CloudRPS   float64       // requests a second to the cloud
	MaxListLag time.Duration // by which the cloud's list of machines may be old

	CPUShare    float64 // of one core
	MemoryBytes int64
	MaxSockets  int // open at a time
}

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

// The least that a controller can work with: an election writes two keys in one transaction,
// a record of a job or of four tasks takes some hundred bytes, and beside the state service,
// the cloud and two peers there must be sockets for some workers and users.
const (
	minTxnOps  = 2
	minValueKB = 1
	minSockets = 32
)

// maxSettingValue is more than any setting may be, so that it can be counted with.
const maxSettingValue = 1e9

// minCancelMargin is what a cancellation must have beyond a worker's lease, for a leader to
// learn of it before it renews another one.
const minCancelMargin = 3 * time.Second

// Load reads the platform's settings from a file and checks them. Its errors are those of
// os.ReadFile and of Parse.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse reads and checks settings. Unknown fields are ignored. The error is a *SettingError,
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

// readController reads what this controller is called, and where it and the services listen.
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
			return &SettingError{Name: "a seed", Reason: "has no host_name"}
		}
		if named[p.Name] {
			return &SettingError{Name: fmt.Sprintf("host %q", p.Name), Reason: "is named twice"}
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
			return teamError(t.Name, "has no name of its own")
		}
		named[t.Name] = true
		for _, v := range [...]float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return teamError(t.Name, "has an impossible amount")
			}
		}
		t.CPUsMax, t.GPUsMax = limitFromFile(t.CPUsMax), limitFromFile(t.GPUsMax)
		if t.CPUsMax < t.CPUs || t.GPUsMax < t.GPUs {
			return teamError(t.Name, "has a maximum below its guarantee")
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

// checkAmounts refuses amounts that are not positive, and those that a controller can't work
// with.
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
			return &SettingError{Name: "facts." + v.name, Reason: "must be above zero"}
		}
	}
	for _, v := range [...]struct {
		name         string
		value, least float64
	}{
		{"state.txn_ops", float64(state.TxnOps), minTxnOps}, {"state.value_kb", state.ValueKB, minValueKB},
		{"quota.sockets", float64(quota.Sockets), minSockets},
	} {
		if v.value < v.least {
			return &SettingError{Name: "facts." + v.name, Reason: fmt.Sprintf("must be %g or more", v.least)}
		}
	}
	if !(cloud.ListLagS >= 0) || !(f.Params.TimeBoundMS >= 0) {
		return &SettingError{Name: "facts.cloud.list_lag_s and facts.time_bound_ms", Reason: "must not be negative"}
	}
	return nil
}

func (f *settingsFile) readWorkers(s *Settings) error {
	workers := &f.Params.Workers
	s.HeartbeatInterval, s.WorkerLease, s.CancelDeadline = seconds(workers.ReportS), seconds(workers.LeaseS), seconds(workers.CancelS)
	if s.CancelDeadline < s.WorkerLease+minCancelMargin {
		// A worker that can't be reached ends its tasks with its lease and not before.
		return &SettingError{Name: "facts.workers.cancel_s", Reason: fmt.Sprintf("must exceed lease_s by %s or more", minCancelMargin)}
	}
	return nil
}

// readLimits reads the limits of the services and of this controller, which were checked.
func (f *settingsFile) readLimits(s *Settings) {
	state, cloud, quota := &f.Params.State, &f.Params.Cloud, &f.Params.Quota
	s.MaxClockSkew = seconds(f.Params.TimeBoundMS / 1000)
	s.StateRPS, s.StateWriteRPS, s.MaxTxnOps = state.RPS, state.WriteRPS, state.TxnOps
	s.MaxValueBytes = int(state.ValueKB * 1024)
	s.CloudRPS, s.MaxListLag = cloud.RPS, seconds(cloud.ListLagS)
	s.CPUShare, s.MemoryBytes, s.MaxSockets = quota.CPU, int64(quota.RAMMB*(1<<20)), quota.Sockets
}

func checkAddr(name, addr string) error {
	if addr == "" {
		return missingError(name)
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &SettingError{Name: name + ":", Reason: fmt.Sprintf("%q is not an address with a port", addr), Err: err}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
