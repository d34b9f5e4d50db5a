package simulator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"brasskeel/internal/protocol"
)

// cloud simulates the cloud's API and its machines.
type cloud struct {
	cluster             *Cluster
	types               []protocol.MachineType
	capacity            int                 // machines per type, zone, and on-demand or spot
	machines            []*machine          // in order of creation, including terminated ones
	requests            map[string][]string // names of the machines provisioned by each request ID
	hasExternalMachines bool                // some machines are not simulated
	outage              bool                // all requests get status 503
	refusedNodes        map[string]bool     // nodes whose requests get status 503
	requestDelay        time.Duration       // if not 0, provision and terminate requests are carried out this much later and never answered
	neverBoots          bool                // newly provisioned machines never boot
	bootFailureShare    float64             // share of newly provisioned machines that never boot
	bootTimeFactor      float64             // multiplies boot times; 0 means 1
	replyDelay          time.Duration       // provision requests are carried out at once and answered this much later
}

// machine is one machine of the cloud.
type machine struct {
	name, machineType, zone string
	addr                    string // address of its worker
	spot                    bool
	external                bool // not simulated; its worker, if any, is a separate process
	rentedAt                time.Time
	bootedAt                time.Time // zero until it has booted
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

// startMachine creates a machine that is up after the given boot time, or never if boot failures
// are simulated.
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

// ExternalMachine is a machine that is not simulated. The cloud lists it as running; its worker is
// a process that the simulator does not manage.
type ExternalMachine struct {
	Name, Type, Zone string
	Endpoint         string // host:port where its worker accepts commands
}

// addExternal lists a machine that is not simulated.
func (k *cloud) addExternal(m ExternalMachine) error {
	spec := k.machineType(m.Type)
	if spec == nil || !slices.Contains(spec.Zones, m.Zone) {
		return fmt.Errorf("external machine %q: no machine type %q in zone %q", m.Name, m.Type, m.Zone)
	}
	if m.Name == "" || strings.HasPrefix(m.Name, machinePrefix) || slices.ContainsFunc(k.machines, func(h *machine) bool { return h.name == m.Name }) {
		return fmt.Errorf("external machine %q: the name is empty, in use, or begins with %q", m.Name, machinePrefix)
	}
	if _, err := netip.ParseAddrPort(m.Endpoint); err != nil {
		return fmt.Errorf("external machine %q: %w", m.Name, err)
	}
	rented := k.cluster.now.Add(-2 * k.cluster.settings.MaxListLag) // so that even the oldest list contains it
	k.machines = append(k.machines, &machine{name: m.Name, machineType: m.Type, zone: m.Zone, addr: m.Endpoint, external: true, rentedAt: rented, bootedAt: rented})
	k.hasExternalMachines = true
	return nil
}

// terminateMachine terminates a machine and its agent.
func (k *cloud) terminateMachine(h *machine) {
	if h.returnedAt.IsZero() {
		h.returnedAt = k.cluster.now
		if h.agent != nil {
			h.agent.terminate()
		}
	}
}

// failMachine makes a machine fail. Lists report the failure no earlier than 30 seconds
// later.
func (k *cloud) failMachine(h *machine) {
	if h.failedAt.IsZero() && h.returnedAt.IsZero() {
		h.failedAt = k.cluster.now
		if h.agent != nil {
			h.agent.terminate()
		}
	}
}

// countRunning counts simulated machines that are neither terminated nor failed.
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

// terminate terminates the machines that a request names. With requestDelay set, it does so later
// and never replies.
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

// provision provisions machines. With requestDelay set, it does so later and never replies.
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

// rent provisions up to the requested number of machines, as capacity permits, and returns their
// names. A repeated request gets the names of the first one; nil means no capacity.
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

// list replies with the machines as they were at a random time up to twice MaxListLag ago.
func (k *cloud) list(after string, respond respondFunc) {
	lag := k.cluster.settings.MaxListLag
	at := k.cluster.now.Add(-time.Duration(k.cluster.rng.Int64N(int64(2 * lag))))
	var list []protocol.ListedMachine
	for _, h := range k.machines {
		if h.name <= after || h.rentedAt.After(at) || !h.returnedAt.IsZero() && !h.returnedAt.After(at) {
			continue
		}
		listed := protocol.ListedMachine{Name: h.name, Addr: h.addr, Type: h.machineType, Zone: h.zone, Spot: h.spot,
			State: protocol.Booting, Age: at.Sub(h.rentedAt)}
		if !h.bootedAt.IsZero() && !h.bootedAt.After(at) {
			listed.State = protocol.Up
		}
		if !h.failedAt.IsZero() && !h.failedAt.Add(30*time.Second).After(at) {
			listed.State = protocol.Failed
		}
		list = append(list, listed)
	}
	slices.SortStableFunc(list, func(a, b protocol.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	respond(200, protocol.EncodeMachines(list, false))
}
