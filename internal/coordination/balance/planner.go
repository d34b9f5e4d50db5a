package balance

import (
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// LoadedMachine is a machine from or to which running tasks may be moved, with its load.
type LoadedMachine struct {
	*placement.Machine
	Load *Load // nil without load balancing
}

// Planner plans moves of tasks from one machine to another, for the state of a fleet at one time: of
// service replicas off machines that are to be consolidated (Evacuate), and of surging teams' batch
// tasks off overloaded machines (Rebalance, which calls its moves migrations). It makes no other
// decisions. It is deterministic: the same sequence of calls gives the same plans.
//
// Machines are looked up by the images that they cache, and each search continues where the
// previous one for the same image, zone and shape of replica ended. When each replica was searched
// for in the whole fleet, planning for 4,000 machines took a third of a second, and many times that
// on a small share of a processor.
type Planner struct {
	machines     []LoadedMachine
	acceptsTasks func(*placement.Machine) bool // whether a machine accepts new tasks
	planned      PlannedUsage
	holders      map[cachedImage][]*LoadedMachine // by cached image, in the order of the fleet; nil before the first search
	searches     map[searchKey]searchState
	reopened     map[cachedImage]int // how often the consolidation of a machine with the image was cancelled
	Examined     int                 // machines examined, over all searches
}

// cachedImage identifies the machines of a zone that cache an image.
type cachedImage struct {
	image placement.ImageID
	zone  string
}

// searchKey identifies replicas that may move to the same machines.
type searchKey struct {
	image cachedImage
	shape placement.ShapeKey
}

// searchState is the progress of the searches with one searchKey: the holders of the image before
// index next can't take another such replica. It is valid while reopened is equal to the planner's
// reopened count for the image.
type searchState struct{ next, reopened int }

// NewPlanner returns a planner for the current state of a fleet. acceptsTasks reports whether a
// machine accepts new tasks.
func NewPlanner(machines []LoadedMachine, acceptsTasks func(*placement.Machine) bool) *Planner {
	return &Planner{machines: machines, acceptsTasks: acceptsTasks, planned: NewPlannedUsage(), searches: map[searchKey]searchState{}, reopened: map[cachedImage]int{}}
}

// PlannedUsage returns the resources that the moves planned so far will use on their targets.
func (p *Planner) PlannedUsage() PlannedUsage { return p.planned }

// indexImages fills holders from the images that the machines cache.
func (p *Planner) indexImages() {
	p.holders = map[cachedImage][]*LoadedMachine{}
	for i := range p.machines {
		m := &p.machines[i]
		for id := range m.Images.All {
			k := cachedImage{id, m.Zone}
			p.holders[k] = append(p.holders[k], m)
		}
	}
}

// Replica is a running replica of a service, with the key of its shape.
type Replica struct {
	placement.Task
	Shape placement.ShapeKey
}

// Evacuate reports whether each of the replicas on a machine fits on another machine of the same
// zone that caches its image, in addition to the moves planned so far. If so, it adds their moves to
// PlannedUsage, unless dryRun is set.
func (p *Planner) Evacuate(m *placement.Machine, replicas []Replica, dryRun bool) bool {
	if p.holders == nil {
		p.indexImages()
	}
	plan := &evacuation{p, m, p.planned, map[string]bool{}}
	for i := range replicas {
		target := plan.findTarget(&replicas[i])
		if target == nil {
			return false
		}
		plan.planned = plan.planned.With(target.Name, placement.Needs(replicas[i].Job))
		plan.targets[target.Name] = true
	}
	if !dryRun {
		p.planned = plan.planned
	}
	return true
}

// CancelEvacuation records that a machine whose consolidation was cancelled is a possible target
// again.
func (p *Planner) CancelEvacuation(m *placement.Machine) {
	for id := range m.Images.All {
		p.reopened[cachedImage{id, m.Zone}]++
	}
}

// evacuation plans the moves of all replicas off one machine.
type evacuation struct {
	*Planner
	from    *placement.Machine
	planned PlannedUsage
	targets map[string]bool // names of the machines that the replicas move to
}

// findTarget returns the first machine, other than the evacuated one, that a replica may move to;
// nil if there is none.
func (e *evacuation) findTarget(r *Replica) *LoadedMachine {
	p := e.Planner
	key := searchKey{cachedImage{r.Image, e.from.Zone}, r.Shape}
	s := p.searches[key]
	if s.reopened != p.reopened[key.image] {
		s = searchState{reopened: p.reopened[key.image]}
	}
	list := p.holders[key.image]
	// noneFits is true while later searches can skip all machines examined so far. They can't skip
	// a target of this evacuation, which has room again if the plan is discarded, nor the evacuated
	// machine if it has room, because it may be a target when another machine is evacuated.
	noneFits := true
	defer func() { p.searches[key] = s }()
	for i := s.next; i < len(list); i++ {
		m := list[i]
		p.Examined++
		fits := !m.Consolidating && p.acceptsTasks(m.Machine) && e.planned.fits(m.Machine, r.Job)
		if fits && m.Machine != e.from {
			return m
		}
		noneFits = noneFits && !fits && !e.targets[m.Name]
		if noneFits {
			s.next = i + 1
		}
	}
	return nil
}

// isBatch reports whether a job is a batch job: its tasks run to completion, independently.
func isBatch(j *protocol.Job) bool { return j.Kind == protocol.Batch }
