package harness

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Label     string   `json:"label"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"memGb"`
	LocalGB   float64  `json:"localGb"`
	FetchGBs  float64  `json:"fetchGbPerS"`
	Rate      float64  `json:"rate"`
	SpotPrice float64  `json:"spotPrice"`
	ReadyS    float64  `json:"readyS"`
	Zones     []string `json:"harbours"`
}

// Machine is a machine that was rented.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Worker           *Worker // nil until it has booted
	addr             string
	rented           time.Time
	gone             time.Time // zero while it exists
	up               bool
}

// Cloud is a stand-in of the cloud.
type Cloud struct {
	mu       sync.Mutex
	rec      *Record
	cluster  *Cluster
	types    []MachineType
	listLag  time.Duration
	machines []*Machine
	charters map[string][]string
	// Boot returns how long the machine with the given number, from 1, takes to boot; Capacity is
	// how many machines can exist.
	Boot     func(number int, t MachineType) time.Duration
	Capacity int
	NoSpot   bool // no spot machines are available
	// Released is called for each machine that a controller deletes, before it is gone.
	Released func(controller string, m *Machine)
}

// listen serves the cloud on an address of its own for one controller.
func (c *Cloud) listen(controller string) (string, error) {
	return serve(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		switch {
		case r.URL.Path == "/flavors":
			c.mu.Lock()
			types := c.types
			c.mu.Unlock()
			answer(w, 200, object{"hullForms": types})
		case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
			c.list(w, r)
		case r.URL.Path == "/hosts":
			c.rent(w, r, controller)
		case r.URL.Path == "/hosts/release":
			c.release(w, r, controller)
		default:
			answer(w, 404, object{"error": "no such path"})
		}
	})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.listLag)
	decks := []object{}
	for _, m := range c.machines {
		if m.rented.After(at) || !m.gone.IsZero() && m.gone.Before(at) || m.Name <= q.Get("after") {
			continue
		}
		state := "starting"
		if m.up {
			state = "running"
		}
		decks = append(decks, object{"nameId": m.Name, "endpoint": m.addr, "hullForm": m.Type, "harbour": m.Zone, "driftwood": m.Spot,
			"bearing": state, "ageS": at.Sub(m.rented).Seconds()})
	}
	sort.Slice(decks, func(i, k int) bool { return decks[i]["nameId"].(string) < decks[k]["nameId"].(string) })
	more := len(decks) > limit
	if more {
		decks = decks[:limit]
	}
	answer(w, 200, object{"decks": decks, "more": more})
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request, controller string) {
	var body struct {
		Charter string `json:"charter"`
		Type    string `json:"hullForm"`
		Zone    string `json:"harbour"`
		Spot    bool   `json:"driftwood"`
		Count   int    `json:"howMany"`
	}
	if readBody(r, &body) != nil || body.Count < 1 || body.Count > 50 {
		answer(w, 400, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.charters[body.Charter]
	if !known {
		names = []string{}
		for range body.Count {
			if m := c.newMachine(body.Type, body.Zone, body.Spot); m != nil {
				names = append(names, m.Name)
			}
		}
		if len(names) == 0 {
			c.rec.Logf("cloud: %s asks for %d %s, spot %v: no capacity", controller, body.Count, body.Type, body.Spot)
			answer(w, 503, object{"error": "no capacity"})
			return
		}
		c.charters[body.Charter] = names
	}
	c.rec.Logf("cloud: %s rents %v (%s, %s, spot %v)", controller, names, body.Type, body.Zone, body.Spot)
	answer(w, 200, object{"decks": names})
}

// newMachine rents one machine, which boots and then runs a worker; nil if there is no capacity.
func (c *Cloud) newMachine(label, zone string, spot bool) *Machine {
	exist := 0
	for _, m := range c.machines {
		if m.gone.IsZero() {
			exist++
		}
	}
	if exist >= c.Capacity || spot && c.NoSpot {
		return nil
	}
	for _, t := range c.types {
		if t.Label != label {
			continue
		}
		number := len(c.machines) + 1
		m := &Machine{Name: fmt.Sprintf("vm-%06d", number), Type: label, Zone: zone, Spot: spot, rented: time.Now()}
		c.machines = append(c.machines, m)
		time.AfterFunc(c.Boot(number, t), func() { c.boot(m, t) })
		return m
	}
	return nil
}

// Take takes a spot machine back without notice.
func (c *Cloud) Take(m *Machine) {
	c.rec.Logf("cloud: takes %s back", m.Name)
	c.end(m, "the machine was taken back")
}

// AddRunning adds a machine that is up from the start.
func (c *Cloud) AddRunning(label, zone string, spot bool) *Machine {
	c.mu.Lock()
	for _, t := range c.types {
		if t.Label == label {
			m := &Machine{Name: fmt.Sprintf("vm-%06d", len(c.machines)+1), Type: label, Zone: zone, Spot: spot, rented: time.Now().Add(-time.Hour)}
			c.machines = append(c.machines, m)
			c.mu.Unlock()
			c.boot(m, t)
			return m
		}
	}
	panic("no such type: " + label)
}

func (c *Cloud) boot(m *Machine, t MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !m.gone.IsZero() {
		return
	}
	worker, err := newWorker(c.cluster, m, t)
	if err != nil {
		c.rec.Logf("cloud: %s can't boot: %v", m.Name, err)
		return
	}
	m.Worker, m.addr, m.up = worker, worker.addr, true
	c.rec.Logf("cloud: %s is up", m.Name)
}

func (c *Cloud) release(w http.ResponseWriter, r *http.Request, controller string) {
	var body struct {
		Decks []string `json:"decks"`
	}
	if readBody(r, &body) != nil || len(body.Decks) > 100 {
		answer(w, 400, object{"error": "malformed"})
		return
	}
	c.rec.Logf("cloud: %s releases %v", controller, body.Decks)
	c.delete(controller, body.Decks)
	answer(w, 200, object{})
}

// delete carries out a request to delete machines.
func (c *Cloud) delete(controller string, names []string) {
	for _, name := range names {
		if m := c.machine(name); m != nil {
			if c.Released != nil {
				c.Released(controller, m)
			}
			c.end(m, "deleted at the request of "+controller)
		}
	}
}

func (c *Cloud) machine(name string) *Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.Name == name && m.gone.IsZero() {
			return m
		}
	}
	return nil
}

// end ends a machine and all that is on it.
func (c *Cloud) end(m *Machine, reason string) {
	c.mu.Lock()
	m.gone = time.Now()
	worker := m.Worker
	c.mu.Unlock()
	if worker != nil {
		worker.end(reason)
	}
}

// Workers returns the workers of all machines that exist.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Worker
	for _, m := range c.machines {
		if m.gone.IsZero() && m.Worker != nil {
			list = append(list, m.Worker)
		}
	}
	return list
}
