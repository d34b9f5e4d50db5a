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
	capacity            int                 // machines that can run at once, per type, zone, and on-demand or spot
	machines            []*machine          // in order of creation, including terminated ones
	requests            map[string][]string // names of the machines provisioned by each request ID
	hasExternalMachines bool                // some machines are not simulated
	outage              bool                // all requests get status 503
	refusedControllers  map[string]bool     // names of controllers whose requests get status 503
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
	provisionedAt           time.Time
	bootedAt                time.Time // zero until it has booted
	failedAt                time.Time
	terminatedAt            time.Time
	agent                   *agent // nil until it has booted, and if it is external
}

func newCloud(c *Cluster, types []protocol.MachineType, capacity int) *cloud {
	return &cloud{cluster: c, types: types, capacity: capacity, refusedControllers: map[string]bool{}, requests: map[string][]string{}}
}

// machineType returns the machine type of that name, or nil.
func (cl *cloud) machineType(name string) *protocol.MachineType {
	for i := range cl.types {
		if cl.types[i].Name == name {
			return &cl.types[i]
		}
	}
	return nil
}

// machinePrefix begins the names of simulated machines.
const machinePrefix = "vm-"

// startMachine creates a machine that is up after the given boot time. It never boots while
// neverBoots is set, or if it is drawn with probability bootFailureShare.
func (cl *cloud) startMachine(typ, zone string, spot bool, boot time.Duration) *machine {
	m := &machine{name: fmt.Sprintf("%s%06d", machinePrefix, len(cl.machines)), machineType: typ, zone: zone, spot: spot, provisionedAt: cl.cluster.now}
	m.addr = cl.cluster.assignAddress(m)
	cl.machines = append(cl.machines, m)
	if cl.neverBoots || cl.bootFailureShare > 0 && cl.cluster.rng.Float64() < cl.bootFailureShare {
		return m
	}
	cl.cluster.after(boot, func() {
		if m.terminatedAt.IsZero() {
			m.bootedAt = cl.cluster.now
			m.agent = newAgent(cl.cluster, m, cl.machineType(typ))
		}
	})
	return m
}

// ExternalMachine is a machine that is not simulated. The cloud lists it as running; its worker is
// a process that the simulator does not manage.
type ExternalMachine struct {
	Name, Type, Zone string
	Endpoint         string // host:port where its worker accepts commands
}

// addExternal lists a machine that is not simulated.
func (cl *cloud) addExternal(e ExternalMachine) error {
	spec := cl.machineType(e.Type)
	if spec == nil || !slices.Contains(spec.Zones, e.Zone) {
		return fmt.Errorf("external machine %q: no machine type %q in zone %q", e.Name, e.Type, e.Zone)
	}
	if e.Name == "" || strings.HasPrefix(e.Name, machinePrefix) || slices.ContainsFunc(cl.machines, func(m *machine) bool { return m.name == e.Name }) {
		return fmt.Errorf("external machine %q: the name is empty, in use, or begins with %q", e.Name, machinePrefix)
	}
	if _, err := netip.ParseAddrPort(e.Endpoint); err != nil {
		return fmt.Errorf("external machine %q: %w", e.Name, err)
	}
	provisioned := cl.cluster.now.Add(-2 * cl.cluster.settings.ListLag) // so that even the oldest list contains it
	cl.machines = append(cl.machines, &machine{name: e.Name, machineType: e.Type, zone: e.Zone, addr: e.Endpoint, external: true, provisionedAt: provisioned, bootedAt: provisioned})
	cl.hasExternalMachines = true
	return nil
}

// terminateMachine terminates a machine and its agent.
func (cl *cloud) terminateMachine(m *machine) {
	if m.terminatedAt.IsZero() {
		m.terminatedAt = cl.cluster.now
		if m.agent != nil {
			m.agent.terminate()
		}
	}
}

// failMachine makes a machine fail. Lists report the failure no earlier than 30 seconds
// later.
func (cl *cloud) failMachine(m *machine) {
	if m.failedAt.IsZero() && m.terminatedAt.IsZero() {
		m.failedAt = cl.cluster.now
		if m.agent != nil {
			m.agent.terminate()
		}
	}
}

// countRunning counts simulated machines that are neither terminated nor failed.
func (cl *cloud) countRunning(typ, zone string, spot bool) int {
	n := 0
	for _, m := range cl.machines {
		if !m.external && m.terminatedAt.IsZero() && m.failedAt.IsZero() && m.machineType == typ && m.zone == zone && m.spot == spot {
			n++
		}
	}
	return n
}

// serve handles a request of a controller. During an outage, or if the controller is refused, it
// replies with status 503.
func (cl *cloud) serve(from, method, target string, body []byte, respond respondFunc) {
	if cl.outage || cl.refusedControllers[from] {
		respond(503, protocol.EncodeCloudError("trouble"))
		return
	}
	path, query := protocol.ParseQuery(target)
	switch {
	case path == protocol.PathMachineTypes:
		respond(200, protocol.EncodeMachineTypes(cl.types))
	case path == protocol.PathTerminate:
		cl.terminate(body, respond)
	case path == protocol.PathMachines && method == "POST":
		cl.provision(body, respond)
	case path == protocol.PathMachines:
		cl.list(query.Get("after"), respond)
	default:
		respond(400, nil)
	}
}

// terminate terminates the machines that a request names. With requestDelay set, it does so later
// and never replies.
func (cl *cloud) terminate(body []byte, respond respondFunc) {
	names, err := protocol.ParseMachineNames(body)
	if err != nil || len(names) > protocol.MaxMachinesPerTermination {
		respond(400, nil)
		return
	}
	end := func() {
		for _, m := range cl.machines {
			if slices.Contains(names, m.name) {
				cl.terminateMachine(m)
			}
		}
	}
	if cl.requestDelay > 0 {
		cl.cluster.after(cl.requestDelay, end)
		return
	}
	end()
	respond(200, []byte("{}"))
}

// provision provisions machines. With requestDelay set, it does so later and never replies.
func (cl *cloud) provision(body []byte, respond respondFunc) {
	r, err := protocol.ParseProvision(body)
	if err != nil || r.Count < 1 || r.Count > protocol.MaxMachinesPerProvision || cl.machineType(r.Type) == nil {
		respond(400, nil)
		return
	}
	if cl.requestDelay > 0 {
		cl.cluster.after(cl.requestDelay, func() { cl.provisionMachines(r) })
		return
	}
	names := cl.provisionMachines(r)
	if names == nil {
		respond(503, protocol.EncodeCloudError("no capacity"))
		return
	}
	cl.cluster.after(cl.replyDelay, func() { respond(200, protocol.EncodeMachineNames(names)) })
}

// provisionMachines provisions up to the requested number of machines, as capacity permits, and
// returns their names. A repeated request gets the names of the first one; nil means no capacity.
func (cl *cloud) provisionMachines(r protocol.ProvisionRequest) []string {
	if names, ok := cl.requests[r.Request]; ok {
		return names
	}
	n := min(r.Count, cl.capacity-cl.countRunning(r.Type, r.Zone, r.Spot))
	if n <= 0 {
		return nil
	}
	var names []string
	for range n {
		boot := cl.machineType(r.Type).BootTime * time.Duration(60+cl.cluster.rng.IntN(60)) / 100
		if cl.bootTimeFactor > 0 {
			boot = time.Duration(float64(boot) * cl.bootTimeFactor)
		}
		names = append(names, cl.startMachine(r.Type, r.Zone, r.Spot, boot).name)
	}
	cl.requests[r.Request] = names
	return names
}

// list replies with the machines as they were at a random time up to twice ListLag ago.
// Controllers allow for lists of that age (see reconcileUnlisted in package coordination).
func (cl *cloud) list(after string, respond respondFunc) {
	lag := cl.cluster.settings.ListLag
	at := cl.cluster.now.Add(-time.Duration(cl.cluster.rng.Int64N(int64(2 * lag))))
	var list []protocol.ListedMachine
	for _, m := range cl.machines {
		if m.name <= after || m.provisionedAt.After(at) || !m.terminatedAt.IsZero() && !m.terminatedAt.After(at) {
			continue
		}
		listed := protocol.ListedMachine{Name: m.name, Addr: m.addr, Type: m.machineType, Zone: m.zone, Spot: m.spot,
			State: protocol.Booting, Age: at.Sub(m.provisionedAt)}
		if !m.bootedAt.IsZero() && !m.bootedAt.After(at) {
			listed.State = protocol.Up
		}
		if !m.failedAt.IsZero() && !m.failedAt.Add(30*time.Second).After(at) {
			listed.State = protocol.Failed
		}
		list = append(list, listed)
	}
	slices.SortStableFunc(list, func(a, b protocol.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	respond(200, protocol.EncodeMachines(list, false))
}
