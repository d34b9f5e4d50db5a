// Package config reads the platform's settings (TOML) and the operators' own
// (JSON, checked against a schema).
package config

import (
	"bytes"
	"errors"
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
	Addr string
}

// Team has a guarantee and a limit. A team without a limit, as guests are, has
// NoLimit for it.
type Team struct {
	Name             string
	CPUs, GPUs       float64 // guaranteed
	CPUsMax, GPUsMax float64 // never exceeded
}

// NoLimit is the limit of a team that has none: more than any fleet holds, and
// finite, so that it can be counted with.
const NoLimit = 1e9

// limit reads a maximum, of which 0 means none.
func limit(most float64) float64 {
	if most == 0 {
		return NoLimit
	}
	return most
}

// Objective restates an aim of the users.
type Objective struct {
	Kind   string
	Class  string
	Within time.Duration
	After  time.Duration
	Share  float64
	Times  float64
}

// Settings is what the platform hands over at the start.
type Settings struct {
	Name       string
	Zone       string
	Listen     string
	PeerListen string
	Peers      []Peer
	Cloud      string
	State      string

	Teams      []Team
	Objectives []Objective
	TimeBound  time.Duration

	ReportInterval time.Duration
	WorkerLease    time.Duration
	CancelWithin   time.Duration

	StateRPS      float64
	StateWriteRPS float64
	ValueBytes    int
	TxnOps        int

	CloudRPS float64
	ListLag  time.Duration

	CPUShare    float64
	MemoryBytes int64
	Sockets     int
}

type file struct {
	Name       string     `toml:"host_name"`
	Zone       string     `toml:"domain"`
	Listen     string     `toml:"public_addr"`
	PeerListen string     `toml:"back"`
	Peers      []filePeer `toml:"seeds"`
	Services   struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"endpoints"`
	Params struct {
		TimeBoundMS float64         `toml:"time_bound_ms"`
		Teams       []fileTeam      `toml:"teams"`
		Objectives  []fileObjective `toml:"objectives"`
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

type filePeer struct {
	Name string `toml:"host_name"`
	Zone string `toml:"domain"`
	Addr string `toml:"endpoint"`
}

type fileTeam struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

type fileObjective struct {
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

// minCancelSlack is what a cancellation must have beyond a worker's lease, for a leader to
// learn of it before it renews another one.
const minCancelSlack = 3 * time.Second

// Load reads and checks the platform's settings.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse reads and checks settings. Unknown fields are ignored.
func Parse(raw []byte) (*Settings, error) {
	var f file
	if err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&f); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{Name: f.Name, Zone: f.Zone, Listen: f.Listen, PeerListen: f.PeerListen,
		Cloud: f.Services.Cloud, State: f.Services.State}
	if s.Name == "" {
		return nil, errors.New("settings: host_name is missing")
	}
	if s.Zone == "" {
		return nil, errors.New("settings: domain is missing")
	}
	for _, a := range []struct{ name, addr string }{
		{"public_addr", s.Listen}, {"back", s.PeerListen}, {"endpoints.cloud", s.Cloud}, {"endpoints.state", s.State}} {
		if err := checkAddr(a.name, a.addr); err != nil {
			return nil, err
		}
	}
	hosts := map[string]bool{s.Name: true}
	for _, p := range f.Peers {
		if p.Name == "" {
			return nil, errors.New("settings: a seed has no host_name")
		}
		if hosts[p.Name] {
			return nil, fmt.Errorf("settings: host %q is named twice", p.Name)
		}
		hosts[p.Name] = true
		if err := checkAddr("endpoint of seed "+p.Name, p.Addr); err != nil {
			return nil, err
		}
		s.Peers = append(s.Peers, Peer(p))
	}
	teams := map[string]bool{}
	for _, t := range f.Params.Teams {
		if t.Name == "" || teams[t.Name] {
			return nil, fmt.Errorf("settings: team %q has no name of its own", t.Name)
		}
		teams[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return nil, fmt.Errorf("settings: team %q has an impossible amount", t.Name)
			}
		}
		t.CPUsMax, t.GPUsMax = limit(t.CPUsMax), limit(t.GPUsMax)
		if t.CPUsMax < t.CPUs || t.GPUsMax < t.GPUs {
			return nil, fmt.Errorf("settings: team %q has a maximum below its guarantee", t.Name)
		}
		s.Teams = append(s.Teams, Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
	}
	if len(s.Teams) == 0 {
		return nil, errors.New("settings: facts.teams is missing")
	}
	for _, o := range f.Params.Objectives {
		s.Objectives = append(s.Objectives, Objective{Kind: o.Kind, Class: o.Class, Share: o.Share, Times: o.Times,
			Within: seconds(o.WithinS), After: seconds(o.AfterS)})
	}
	w, st, cl, q := &f.Params.Workers, &f.Params.State, &f.Params.Cloud, &f.Params.Quota
	for _, v := range []struct {
		name  string
		value float64
	}{
		{"workers.report_s", w.ReportS}, {"workers.lease_s", w.LeaseS}, {"workers.cancel_s", w.CancelS},
		{"state.rps", st.RPS}, {"state.write_rps", st.WriteRPS}, {"state.value_kb", st.ValueKB},
		{"state.txn_ops", float64(st.TxnOps)}, {"cloud.rps", cl.RPS},
		{"quota.cpu", q.CPU}, {"quota.ram_mb", q.RAMMB}, {"quota.sockets", float64(q.Sockets)},
	} {
		if !(v.value > 0) || v.value > 1e9 {
			return nil, fmt.Errorf("settings: facts.%s must be above zero", v.name)
		}
	}
	for _, v := range []struct {
		name         string
		value, least float64
	}{
		{"state.txn_ops", float64(st.TxnOps), minTxnOps}, {"state.value_kb", st.ValueKB, minValueKB},
		{"quota.sockets", float64(q.Sockets), minSockets},
	} {
		if v.value < v.least {
			return nil, fmt.Errorf("settings: facts.%s must be %g or more", v.name, v.least)
		}
	}
	if !(cl.ListLagS >= 0) || !(f.Params.TimeBoundMS >= 0) {
		return nil, errors.New("settings: facts.cloud.list_lag_s and facts.time_bound_ms must not be negative")
	}
	s.TimeBound = seconds(f.Params.TimeBoundMS / 1000)
	s.ReportInterval, s.WorkerLease, s.CancelWithin = seconds(w.ReportS), seconds(w.LeaseS), seconds(w.CancelS)
	if s.CancelWithin < s.WorkerLease+minCancelSlack {
		// A worker that can't be reached ends its tasks with its lease and not before.
		return nil, fmt.Errorf("settings: facts.workers.cancel_s must exceed lease_s by %s or more", minCancelSlack)
	}
	s.StateRPS, s.StateWriteRPS, s.TxnOps = st.RPS, st.WriteRPS, st.TxnOps
	s.ValueBytes = int(st.ValueKB * 1024)
	s.CloudRPS, s.ListLag = cl.RPS, seconds(cl.ListLagS)
	s.CPUShare, s.MemoryBytes, s.Sockets = q.CPU, int64(q.RAMMB*(1<<20)), q.Sockets
	return s, nil
}

func checkAddr(name, addr string) error {
	if addr == "" {
		return fmt.Errorf("settings: %s is missing", name)
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("settings: %s: %q is not an address with a port", name, addr)
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
