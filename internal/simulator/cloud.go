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
	c          *Cluster
	types      []protocol.MachineType
	capacity   int
	machines   []*machine // in order of creation; returned ones too
	requests   map[string][]string
	external   bool // some machines are not simulated
	outage     bool
	refused    map[string]bool // nodes that alone get 503
	delayedBy  time.Duration   // rentals and returns are carried out late, unanswered
	neverBoots bool            // what is rented now never comes up
	deadShare  float64         // share of what is rented now that never comes up
	bootFactor float64         // of boot times; 0 for 1
	replyDelay time.Duration   // rentals are carried out at once and answered this much later
}

// machine is one machine of the cloud.
type machine struct {
	name, typ, zone string
	addr            string // of its worker
	spot            bool
	external        bool // not simulated; its worker, if any, is a process elsewhere
	rentedAt        time.Time
	bootedAt        time.Time // zero until it is
	failedAt        time.Time
	returned        time.Time
	agent           *agent
}

func newCloud(c *Cluster, types []protocol.MachineType, capacity int) *cloud {
	return &cloud{c: c, types: types, capacity: capacity, refused: map[string]bool{}, requests: map[string][]string{}}
}

func (k *cloud) spec(name string) *protocol.MachineType {
	for i := range k.types {
		if k.types[i].Name == name {
			return &k.types[i]
		}
	}
	return nil
}

// machinePrefix begins the names of simulated machines.
const machinePrefix = "vm-"

// start creates a machine that is up after boot.
func (k *cloud) start(typ, zone string, spot bool, boot time.Duration) *machine {
	h := &machine{name: fmt.Sprintf("%s%06d", machinePrefix, len(k.machines)), typ: typ, zone: zone, spot: spot, rentedAt: k.c.now}
	h.addr = k.c.address(h)
	k.machines = append(k.machines, h)
	if k.neverBoots || k.deadShare > 0 && k.c.rng.Float64() < k.deadShare {
		return h
	}
	k.c.after(boot, func() {
		if h.returned.IsZero() {
			h.bootedAt = k.c.now
			h.agent = newAgent(k.c, h, k.spec(typ))
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
	spec := k.spec(m.Type)
	if spec == nil || !slices.Contains(spec.Zones, m.Zone) {
		return fmt.Errorf("external machine %q: the cloud has no type %q in zone %q", m.Name, m.Type, m.Zone)
	}
	if m.Name == "" || strings.HasPrefix(m.Name, machinePrefix) || slices.ContainsFunc(k.machines, func(h *machine) bool { return h.name == m.Name }) {
		return fmt.Errorf("external machine %q: the name is empty, taken, or begins with %s", m.Name, machinePrefix)
	}
	if _, err := netip.ParseAddrPort(m.Endpoint); err != nil {
		return fmt.Errorf("external machine %q: %w", m.Name, err)
	}
	rented := k.c.now.Add(-2 * k.c.settings.ListLag) // so that no list lacks it
	k.machines = append(k.machines, &machine{name: m.Name, typ: m.Type, zone: m.Zone, addr: m.Endpoint, external: true, rentedAt: rented, bootedAt: rented})
	k.external = true
	return nil
}

// end takes a machine and all that is on it.
func (k *cloud) end(h *machine) {
	if h.returned.IsZero() {
		h.returned = k.c.now
		if h.agent != nil {
			h.agent.die()
		}
	}
}

// fail stops a machine on its own; lists notice after a while.
func (k *cloud) fail(h *machine) {
	if h.failedAt.IsZero() && h.returned.IsZero() {
		h.failedAt = k.c.now
		if h.agent != nil {
			h.agent.die()
		}
	}
}

func (k *cloud) count(typ, zone string, spot bool) int {
	n := 0
	for _, h := range k.machines {
		if !h.external && h.returned.IsZero() && h.failedAt.IsZero() && h.typ == typ && h.zone == zone && h.spot == spot {
			n++
		}
	}
	return n
}

func (k *cloud) serve(from, method, target string, body []byte, respond respondFunc) {
	if k.outage || k.refused[from] {
		respond(503, protocol.EncodeCloudError("trouble"))
		return
	}
	path, query := protocol.Query(target)
	switch {
	case path == protocol.PathMachineTypes:
		respond(200, protocol.EncodeMachineTypes(k.types))
	case path == protocol.PathTerminate:
		k.release(body, respond)
	case path == protocol.PathMachines && method == "POST":
		k.provision(body, respond)
	case path == protocol.PathMachines:
		k.list(query.Get("after"), respond)
	default:
		respond(400, nil)
	}
}

// release returns machines, or does so later without a reply.
func (k *cloud) release(body []byte, respond respondFunc) {
	names, err := protocol.ParseMachineNames(body)
	if err != nil || len(names) > protocol.MaxTerminate {
		respond(400, nil)
		return
	}
	end := func() {
		for _, h := range k.machines {
			if slices.Contains(names, h.name) {
				k.end(h)
			}
		}
	}
	if k.delayedBy > 0 {
		k.c.after(k.delayedBy, end)
		return
	}
	end()
	respond(200, []byte("{}"))
}

// provision rents machines, or does so later without a reply.
func (k *cloud) provision(body []byte, respond respondFunc) {
	r, err := protocol.ParseProvision(body)
	if err != nil || r.Count < 1 || r.Count > protocol.MaxProvision || k.spec(r.Type) == nil {
		respond(400, nil)
		return
	}
	if k.delayedBy > 0 {
		k.c.after(k.delayedBy, func() { k.rent(r) })
		return
	}
	names := k.rent(r)
	if names == nil {
		respond(503, protocol.EncodeCloudError("no capacity"))
		return
	}
	k.c.after(k.replyDelay, func() { respond(200, protocol.EncodeMachineNames(names)) })
}

func (k *cloud) rent(r protocol.ProvisionRequest) []string {
	if names, ok := k.requests[r.Request]; ok {
		return names
	}
	n := min(r.Count, k.capacity-k.count(r.Type, r.Zone, r.Spot))
	if n <= 0 {
		return nil
	}
	var names []string
	for range n {
		boot := k.spec(r.Type).BootTime * time.Duration(60+k.c.rng.IntN(60)) / 100
		if k.bootFactor > 0 {
			boot = time.Duration(float64(boot) * k.bootFactor)
		}
		names = append(names, k.start(r.Type, r.Zone, r.Spot, boot).name)
	}
	k.requests[r.Request] = names
	return names
}

// list answers as of some time ago, at times longer than at others.
func (k *cloud) list(after string, respond respondFunc) {
	lag := k.c.settings.ListLag
	at := k.c.now.Add(-time.Duration(k.c.rng.Int64N(int64(2 * lag))))
	var list []protocol.ListedMachine
	for _, h := range k.machines {
		if h.name <= after || h.rentedAt.After(at) || !h.returned.IsZero() && !h.returned.After(at) {
			continue
		}
		m := protocol.ListedMachine{Name: h.name, Addr: h.addr, Type: h.typ, Zone: h.zone, Spot: h.spot,
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
