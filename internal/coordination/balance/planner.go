package balance

import (
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// Site is a machine that running work may move from or to.
type Site struct {
	*placement.Machine
	Load *Load // nil where loads aren't followed
}

// Planner plans moves of running work on a fleet at a moment: replicas off machines that are to
// be emptied (Empty), and tasks of surging teams off machines that are hot for them (Cool). It
// decides nothing else; the same arguments after the same calls give the same plans.
//
// Machines are looked up by the image that they hold, and each search goes on where the last
// one for the same kind of replica ended: with one search through the whole fleet for every
// replica, a fleet of 4,000 took a third of a second, many times that on a small share of a
// processor.
type Planner struct {
	sites    []Site
	open     func(*placement.Machine) bool // whether a machine takes new tasks
	snapshot Snapshot
	holders  map[holding][]*Site // in the order of the fleet; nil before the first search
	from     map[moveKey]searched
	changes  map[holding]int // times that a machine became one that may be moved to
	Looked   int             // machines that were looked at, over all searches
}

// holding is an image on the machines of a zone.
type holding struct {
	image placement.ImageID
	zone  string
}

// moveKey is what decides where a replica may move to.
type moveKey struct {
	holding holding
	shape   placement.ShapeKey
}

// searched is how far a search has come: those before it take no more of the kind, unless
// there were changes since.
type searched struct{ next, changes int }

// NewPlanner is a planner for a fleet as it is now, of which some machines are open to new
// tasks.
func NewPlanner(sites []Site, open func(*placement.Machine) bool) *Planner {
	return &Planner{sites: sites, open: open, snapshot: NewSnapshot(), from: map[moveKey]searched{}, changes: map[holding]int{}}
}

// Snapshot is the room that the plans so far take.
func (p *Planner) Snapshot() Snapshot { return p.snapshot }

// index lists the machines that hold an image.
func (p *Planner) index() {
	p.holders = map[holding][]*Site{}
	for i := range p.sites {
		s := &p.sites[i]
		for id := range s.Images.All {
			k := holding{id, s.Zone}
			p.holders[k] = append(p.holders[k], s)
		}
	}
}

// Replica is a replica of a service that runs, with the key of its shape.
type Replica struct {
	placement.Task
	Shape placement.ShapeKey
}

// Empty reports whether each replica on a machine finds room and its image elsewhere in its
// zone, beside what is taken already, and takes that room if so. With try set, nothing is
// taken.
func (p *Planner) Empty(m *placement.Machine, replicas []Replica, try bool) bool {
	if p.holders == nil {
		p.index()
	}
	plan := &emptying{p, m, p.snapshot, map[string]bool{}}
	for i := range replicas {
		o := plan.find(&replicas[i])
		if o == nil {
			return false
		}
		plan.snapshot = plan.snapshot.With(o.Name, placement.Needs(replicas[i].Job))
		plan.targets[o.Name] = true
	}
	if !try {
		p.snapshot = plan.snapshot
	}
	return true
}

// Stays notes that a machine takes moves again that was being emptied.
func (p *Planner) Stays(m *placement.Machine) {
	for id := range m.Images.All {
		p.changes[holding{id, m.Zone}]++
	}
}

// emptying is a try to move all replicas off a machine.
type emptying struct {
	*Planner
	from     *placement.Machine
	snapshot Snapshot
	targets  map[string]bool // of this try
}

// find is the first machine but the one that is emptied that a replica may move to.
func (e *emptying) find(r *Replica) *Site {
	p := e.Planner
	key := moveKey{holding{r.Image, e.from.Zone}, r.Shape}
	s := p.from[key]
	if s.changes != p.changes[key.holding] {
		s = searched{changes: p.changes[key.holding]}
	}
	list := p.holders[key.holding]
	sure := true // that those looked at take no more, whatever machine is asked for next
	defer func() { p.from[key] = s }()
	for i := s.next; i < len(list); i++ {
		o := list[i]
		p.Looked++
		fits := !o.Emptying && p.open(o.Machine) && e.snapshot.fits(o.Machine, r.Job)
		if fits && o.Machine != e.from {
			return o
		}
		sure = sure && !fits && !e.targets[o.Name]
		if sure {
			s.next = i + 1
		}
	}
	return nil
}

// isTask reports whether a job's tasks run to completion by themselves.
func isTask(j *protocol.Job) bool { return j.Kind == protocol.Batch }
