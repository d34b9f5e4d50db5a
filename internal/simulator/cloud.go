package simulator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"brasskeel/internal/protocol"
)

// cloud simulates the cloud.
type cloud struct {
	cluster             *Cluster
	types               []protocol.MachineType
	capacity            int
	machines            []*machine // in order of creation; returned ones too
	requests            map[string][]string
	hasExternalMachines bool // some machines are not simulated
	outage              bool
	refusedNodes        map[string]bool // nodes that alone get 503
	requestDelay        time.Duration   // rentals and returns are carried out late, unanswered
	neverBoots          bool            // what is rented now never comes up
	bootFailureShare    float64         // share of what is rented now that never comes up
	bootTimeFactor      float64         // of boot times; 0 for 1
	replyDelay          time.Duration   // rentals are carried out at once and answered this much later
}

// machine is one machine of the cloud.
type machine struct {
	name, machineType, zone string
	addr                    string // of its worker
	spot                    bool
	external                bool // not simulated; its worker, if any, is a process elsewhere
	rentedAt                time.Time
	bootedAt                time.Time // zero until it is
	failedAt                time.Time
	returnedAt              time.Time
	agent                   *agent
}

func newCloud(c *Cluster, types []protocol.MachineType, capacity int) *cloud {
	return &cloud{cluster: c, types: types, capacity: capacity, refusedNodes: map[string]bool{}, requests: map[string][]string{}}
}

func (k *cloud) machineType(name string) *protocol.MachineType {
	for i := range k.types {
		if k.types[i].Name == name {
			return &k.types[i]
		}
	}
	return nil
}

// machinePrefix begins the names of simulated machines.
const machinePrefix = "vm-"

// startMachine creates a machine that is up after boot.
func (k *cloud) startMachine(typ, zone string, spot bool, boot time.Duration) *machine {
	h := &machine{name: fmt.Sprintf("%s%06d", machinePrefix, len(k.machines)), machineType: typ, zone: zone, spot: spot, rentedAt: k.cluster.now}
	h.addr = k.cluster.assignAddress(h)
	k.machines = append(k.machines, h)
	if k.neverBoots || k.bootFailureShare > 0 && k.cluster.rng.Float64() < k.bootFailureShare {
		return h
	}
	k.cluster.after(boot, func() {
		if h.returnedAt.IsZero() {
			h.bootedAt = k.cluster.now
			h.agent = newAgent(k.cluster, h, k.machineType(typ))
		}
	})
	return h
}

// ExternalMachine is a machine that is not simulated: the cloud lists it as running, and
// its worker is a process that the stand-in knows nothing of.
type ExternalMachine struct {
	Name, Type, Zone string
	Endpoint         string // where its worker takes commands
}

// addExternal lists a machine that is not simulated.
func (k *cloud) addExternal(m ExternalMachine) error {
	spec := k.machineType(m.Type)
	if spec == nil || !slices.Contains(spec.Zones, m.Zone) {
		return fmt.Errorf("external machine %q: the cloud has no type %q in zone %q", m.Name, m.Type, m.Zone)
	}
	if m.Name == "" || strings.HasPrefix(m.Name, machinePrefix) || slices.ContainsFunc(k.machines, func(h *machine) bool { return h.name == m.Name }) {
		return fmt.Errorf("external machine %q: the name is empty, taken, or begins with %s", m.Name, machinePrefix)
	}
	if _, err := netip.ParseAddrPort(m.Endpoint); err != nil {
		return fmt.Errorf("external machine %q: %w", m.Name, err)
	}
	rented := k.cluster.now.Add(-2 * k.cluster.settings.MaxListLag) // so that no list lacks it
	k.machines = append(k.machines, &machine{name: m.Name, machineType: m.Type, zone: m.Zone, addr: m.Endpoint, external: true, rentedAt: rented, bootedAt: rented})
	k.hasExternalMachines = true
	return nil
}

// terminateMachine takes a machine and all that is on it.
func (k *cloud) terminateMachine(h *machine) {
	if h.returnedAt.IsZero() {
		h.returnedAt = k.cluster.now
		if h.agent != nil {
			h.agent.terminate()
		}
	}
}

// failMachine stops a machine on its own; lists notice after a while.
func (k *cloud) failMachine(h *machine) {
	if h.failedAt.IsZero() && h.returnedAt.IsZero() {
		h.failedAt = k.cluster.now
		if h.agent != nil {
			h.agent.terminate()
		}
	}
}

func (k *cloud) countRunning(typ, zone string, spot bool) int {
	n := 0
	for _, h := range k.machines {
		if !h.external && h.returnedAt.IsZero() && h.failedAt.IsZero() && h.machineType == typ && h.zone == zone && h.spot == spot {
			n++
		}
	}
	return n
}

func (k *cloud) serve(from, method, target string, body []byte, respond respondFunc) {
	if k.outage || k.refusedNodes[from] {
		respond(503, protocol.EncodeCloudError("trouble"))
		return
	}
	path, query := protocol.ParseQuery(target)
	switch {
	case path == protocol.PathMachineTypes:
		respond(200, protocol.EncodeMachineTypes(k.types))
	case path == protocol.PathTerminate:
		k.terminate(body, respond)
	case path == protocol.PathMachines && method == "POST":
		k.provision(body, respond)
	case path == protocol.PathMachines:
		k.list(query.Get("after"), respond)
	default:
		respond(400, nil)
	}
}

// terminate returns machines, or does so later without a reply.
func (k *cloud) terminate(body []byte, respond respondFunc) {
	names, err := protocol.ParseMachineNames(body)
	if err != nil || len(names) > protocol.MaxMachinesPerTermination {
		respond(400, nil)
		return
	}
	end := func() {
		for _, h := range k.machines {
			if slices.Contains(names, h.name) {
				k.terminateMachine(h)
			}
		}
	}
	if k.requestDelay > 0 {
		k.cluster.after(k.requestDelay, end)
		return
	}
	end()
	respond(200, []byte("{}"))
}

// provision rents machines, or does so later without a reply.
func (k *cloud) provision(body []byte, respond respondFunc) {
	r, err := protocol.ParseProvision(body)
	if err != nil || r.Count < 1 || r.Count > protocol.MaxMachinesPerProvision || k.machineType(r.Type) == nil {
		respond(400, nil)
		return
	}
	if k.requestDelay > 0 {
		k.cluster.after(k.requestDelay, func() { k.rent(r) })
		return
	}
	names := k.rent(r)
	if names == nil {
		respond(503, protocol.EncodeCloudError("no capacity"))
		return
	}
	k.cluster.after(k.replyDelay, func() { respond(200, protocol.EncodeMachineNames(names)) })
}

func (k *cloud) rent(r protocol.ProvisionRequest) []string {
	if names, ok := k.requests[r.Request]; ok {
		return names
	}
	n := min(r.Count, k.capacity-k.countRunning(r.Type, r.Zone, r.Spot))
	if n <= 0 {
		return nil
	}
	var names []string
	for range n {
		boot := k.machineType(r.Type).BootTime * time.Duration(60+k.cluster.rng.IntN(60)) / 100
		if k.bootTimeFactor > 0 {
			boot = time.Duration(float64(boot) * k.bootTimeFactor)
		}
		names = append(names, k.startMachine(r.Type, r.Zone, r.Spot, boot).name)
	}
	k.requests[r.Request] = names
	return names
}

// list answers as of some time ago, at times longer than at others.
func (k *cloud) list(after string, respond respondFunc) {
	lag := k.cluster.settings.MaxListLag
	at := k.cluster.now.Add(-time.Duration(k.cluster.rng.Int64N(int64(2 * lag))))
	var list []protocol.ListedMachine
	for _, h := range k.machines {
		if h.name <= after || h.rentedAt.After(at) || !h.returnedAt.IsZero() && !h.returnedAt.After(at) {
			continue
		}
		m := protocol.ListedMachine{Name: h.name, Addr: h.addr, Type: h.machineType, Zone: h.zone, Spot: h.spot,
			State: protocol.Booting, Age: at.Sub(h.rentedAt)}
		if !h.bootedAt.IsZero() && !h.bootedAt.After(at) {
			m.State = protocol.Up
		}
		if !h.failedAt.IsZero() && !h.failedAt.Add(30*time.Second).After(at) {
			m.State = protocol.Failed
		}
		list = append(list, m)
	}
	slices.SortStableFunc(list, func(a, b protocol.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	respond(200, protocol.EncodeMachines(list, false))
}
