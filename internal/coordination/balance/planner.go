package balance

import (
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// LoadedMachine is a machine that running work may move from or to.
type LoadedMachine struct {
	*placement.Machine
	Load *Load // nil where loads aren't followed
}

// Planner plans moves of running work on a fleet at a moment: replicas off machines that are to
// be emptied (Evacuate), and tasks of surging teams off machines that are overloaded for them (Rebalance). It
// decides nothing else; the same arguments after the same calls give the same plans.
//
// Machines are looked up by the image that they hold, and each search goes on where the last
// one for the same kind of replica ended: with one search through the whole fleet for every
// replica, a fleet of 4,000 took a third of a second, many times that on a small share of a
// processor.
type Planner struct {
	machines     []LoadedMachine
	acceptsTasks func(*placement.Machine) bool // whether a machine takes new tasks
	planned      PlannedUsage
	holders      map[cachedImage][]*LoadedMachine // in the order of the fleet; nil before the first search
	searches     map[searchKey]searchState
	reopened     map[cachedImage]int // times that a machine became one that may be moved to
	Examined     int                 // machines that were looked at, over all searches
}

// cachedImage is an image on the machines of a zone.
type cachedImage struct {
	image placement.ImageID
	zone  string
}

// searchKey is what decides where a replica may move to.
type searchKey struct {
	image cachedImage
	shape placement.ShapeKey
}

// searchState is how far a search has come: those before it take no more of the kind, unless
// there were changes since.
type searchState struct{ next, reopened int }

// NewPlanner is a planner for a fleet as it is now, of which some machines are open to new
// tasks.
func NewPlanner(machines []LoadedMachine, open func(*placement.Machine) bool) *Planner {
	return &Planner{machines: machines, acceptsTasks: open, planned: NewPlannedUsage(), searches: map[searchKey]searchState{}, reopened: map[cachedImage]int{}}
}

// PlannedUsage is the room that the plans so far take.
func (p *Planner) PlannedUsage() PlannedUsage { return p.planned }

// indexImages lists the machines that hold an image.
func (p *Planner) indexImages() {
	p.holders = map[cachedImage][]*LoadedMachine{}
	for i := range p.machines {
		s := &p.machines[i]
		for id := range s.Images.All {
			k := cachedImage{id, s.Zone}
			p.holders[k] = append(p.holders[k], s)
		}
	}
}

// Replica is a replica of a service that runs, with the key of its shape.
type Replica struct {
	placement.Task
	Shape placement.ShapeKey
}

// Evacuate reports whether each replica on a machine finds room and its image elsewhere in its
// zone, beside what is taken already, and takes that room if so. With try set, nothing is
// taken.
func (p *Planner) Evacuate(m *placement.Machine, replicas []Replica, try bool) bool {
	if p.holders == nil {
		p.indexImages()
	}
	plan := &evacuation{p, m, p.planned, map[string]bool{}}
	for i := range replicas {
		o := plan.findTarget(&replicas[i])
		if o == nil {
			return false
		}
		plan.planned = plan.planned.With(o.Name, placement.Needs(replicas[i].Job))
		plan.targets[o.Name] = true
	}
	if !try {
		p.planned = plan.planned
	}
	return true
}

// CancelEvacuation notes that a machine takes moves again that was being emptied.
func (p *Planner) CancelEvacuation(m *placement.Machine) {
	for id := range m.Images.All {
		p.reopened[cachedImage{id, m.Zone}]++
	}
}

// evacuation is a try to move all replicas off a machine.
type evacuation struct {
	*Planner
	from    *placement.Machine
	planned PlannedUsage
	targets map[string]bool // of this try
}

// findTarget is the first machine but the one that is emptied that a replica may move to.
func (e *evacuation) findTarget(r *Replica) *LoadedMachine {
	p := e.Planner
	key := searchKey{cachedImage{r.Image, e.from.Zone}, r.Shape}
	s := p.searches[key]
	if s.reopened != p.reopened[key.image] {
		s = searchState{reopened: p.reopened[key.image]}
	}
	list := p.holders[key.image]
	sure := true // that those looked at take no more, whatever machine is asked for next
	defer func() { p.searches[key] = s }()
	for i := s.next; i < len(list); i++ {
		o := list[i]
		p.Examined++
		fits := !o.Consolidating && p.acceptsTasks(o.Machine) && e.planned.fits(o.Machine, r.Job)
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

// isBatch reports whether a job's tasks run to completion by themselves.
func isBatch(j *protocol.Job) bool { return j.Kind == protocol.Batch }
