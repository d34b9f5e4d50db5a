package standin

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// cloud is the stand-in cloud.
type cloud struct {
	c        *Cluster
	types    []protocol.MachineType
	capacity int
	hosts    []*host // in order of creation; returned ones too
	requests map[string][]string
	outage   bool
	refused  map[string]bool // nodes that alone get 503
	late     time.Duration   // rentals and returns are carried out late, unanswered
	never    bool            // what is rented now never comes up
	dead     float64         // share of what is rented now that never comes up
	factor   float64         // of boot times; 0 for 1
	answers  time.Duration   // rentals are carried out at once and answered this much later
}

// host is one machine of the cloud.
type host struct {
	name, typ, zone string
	addr            string // of its worker
	spot            bool
	rented          time.Time
	up              time.Time // zero until it is
	failed          time.Time
	gone            time.Time
	worker          *worker
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

// start creates a machine that is up after boot.
func (k *cloud) start(typ, zone string, spot bool, boot time.Duration) *host {
	h := &host{name: fmt.Sprintf("vm-%06d", len(k.hosts)), typ: typ, zone: zone, spot: spot, rented: k.c.now}
	h.addr = k.c.address(h)
	k.hosts = append(k.hosts, h)
	if k.never || k.dead > 0 && k.c.rng.Float64() < k.dead {
		return h
	}
	k.c.after(boot, func() {
		if h.gone.IsZero() {
			h.up = k.c.now
			h.worker = newWorker(k.c, h, k.spec(typ))
		}
	})
	return h
}

// end takes a machine and all that is on it.
func (k *cloud) end(h *host) {
	if h.gone.IsZero() {
		h.gone = k.c.now
		if h.worker != nil {
			h.worker.die()
		}
	}
}

// fail stops a machine on its own; lists notice after a while.
func (k *cloud) fail(h *host) {
	if h.failed.IsZero() && h.gone.IsZero() {
		h.failed = k.c.now
		if h.worker != nil {
			h.worker.die()
		}
	}
}

func (k *cloud) count(typ, zone string, spot bool) int {
	n := 0
	for _, h := range k.hosts {
		if h.gone.IsZero() && h.failed.IsZero() && h.typ == typ && h.zone == zone && h.spot == spot {
			n++
		}
	}
	return n
}

func (k *cloud) serve(from, method, target string, body []byte, respond func(int, []byte)) {
	if k.outage || k.refused[from] {
		respond(503, protocol.CloudError("trouble"))
		return
	}
	path, query := protocol.Query(target)
	switch {
	case path == protocol.PathTypes:
		respond(200, protocol.EncodeTypes(k.types))
	case path == protocol.PathRelease:
		names, err := protocol.ParseNames(body)
		if err != nil || len(names) > protocol.MaxRelease {
			respond(400, nil)
			return
		}
		do := func() {
			for _, h := range k.hosts {
				if slices.Contains(names, h.name) {
					k.end(h)
				}
			}
		}
		if k.late > 0 {
			k.c.after(k.late, do)
			return
		}
		do()
		respond(200, []byte("{}"))
	case path == protocol.PathHosts && method == "POST":
		r, err := protocol.ParseRent(body)
		if err != nil || r.Count < 1 || r.Count > protocol.MaxRent || k.spec(r.Type) == nil {
			respond(400, nil)
			return
		}
		if k.late > 0 {
			k.c.after(k.late, func() { k.rent(r) })
			return
		}
		names := k.rent(r)
		if names == nil {
			respond(503, protocol.CloudError("no capacity"))
			return
		}
		k.c.after(k.answers, func() { respond(200, protocol.EncodeNames(names)) })
	case path == protocol.PathHosts:
		k.list(query.Get("after"), respond)
	default:
		respond(400, nil)
	}
}

func (k *cloud) rent(r protocol.RentRequest) []string {
	if names, ok := k.requests[r.Request]; ok {
		return names
	}
	n := min(r.Count, k.capacity-k.count(r.Type, r.Zone, r.Spot))
	if n <= 0 {
		return nil
	}
	var names []string
	for range n {
		boot := k.spec(r.Type).Boot * time.Duration(60+k.c.rng.IntN(60)) / 100
		if k.factor > 0 {
			boot = time.Duration(float64(boot) * k.factor)
		}
		names = append(names, k.start(r.Type, r.Zone, r.Spot, boot).name)
	}
	k.requests[r.Request] = names
	return names
}

// list answers as of some time ago, at times longer than at others.
func (k *cloud) list(after string, respond func(int, []byte)) {
	lag := k.c.settings.ListLag
	at := k.c.now.Add(-time.Duration(k.c.rng.Int64N(int64(2 * lag))))
	var list []protocol.ListedMachine
	for _, h := range k.hosts {
		if h.name <= after || h.rented.After(at) || !h.gone.IsZero() && !h.gone.After(at) {
			continue
		}
		m := protocol.ListedMachine{Name: h.name, Addr: h.addr, Type: h.typ, Zone: h.zone, Spot: h.spot,
			State: protocol.Booting, Age: at.Sub(h.rented)}
		if !h.up.IsZero() && !h.up.After(at) {
			m.State = protocol.Up
		}
		if !h.failed.IsZero() && !h.failed.Add(30*time.Second).After(at) {
			m.State = protocol.Failed
		}
		list = append(list, m)
	}
	respond(200, protocol.EncodeList(list, false))
}
