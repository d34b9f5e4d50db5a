package coordination

import (
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// movesAtOnce is the part of the fleet whose replicas are moved in one turn, as a
// divisor.
const movesAtOnce = 30

// consolidate moves the replicas of little used machines to others that hold
// their images, where all of them find room, so that these can be returned.
// Services stay for long, and what they were spread over when the cluster was
// busy would stay with them. A move takes a moment: the image is there.
func (l *lead) consolidate() {
	n := l.n
	if len(l.fleet.unmet) > 0 || l.fleet.partly || n.storeDown() || n.now.Sub(l.fleet.movedAt) < movePause {
		return
	}
	fixedRoom := 0.0
	var candidates []*machine
	for _, m := range l.fleetList {
		if !l.open(m) {
			continue
		}
		if !m.emptying {
			fixedRoom += l.fixedRoom(m)
		}
		if m.onlyServices() && (m.emptying || m.Taken.CPUs <= m.Spec.CPUs/2+protocol.Epsilon) && n.now.Sub(m.rented) > 2*minimumCharge {
			candidates = append(candidates, m)
		}
	}
	dearestFirst(candidates)
	left := max(1, len(l.fleetList)/movesAtOnce)
	moves := l.newMoves()
	for _, m := range candidates {
		if left == 0 {
			return
		}
		if _, target := moves.taken[m]; target {
			continue
		}
		if room := l.fixedRoom(m); !m.emptying && room > 0 && fixedRoom-m.Spec.CPUs < l.fixedNeed() {
			continue
		}
		if !moves.take(m) {
			continue
		}
		n.logEach("moving replicas", "machine", m.name, "attempts", len(m.attempts))
		if !m.emptying {
			fixedRoom -= l.fixedRoom(m)
		}
		l.fleet.movedAt = n.now
		m.emptying = true
		left--
		for _, a := range m.sorted() {
			l.stopAttempt(a, 0)
		}
	}
}

// moves is one look at where replicas could move to. Machines are looked up by the image
// that they hold, and each search goes on where the last one for the same kind of replica
// ended: with one search through the whole fleet for every replica, a fleet of 4,000 took a
// third of a second, many times that on a small share of a processor.
type moves struct {
	l       *lead
	holders map[holding][]*machine // in the order of the fleet; nil before the first search
	taken   map[*machine]room
	from    map[moveKey]searched
	changes map[holding]int // times that a machine became one that may be moved to
	looked  int             // machines that were looked at, over all searches
}

// room is what a machine gives to replicas that are to move there.
type room = placement.Resources

// holding is an image on the machines of a zone.
type holding struct {
	image int32
	zone  string
}

// moveKey is what decides where a replica may move to.
type moveKey struct {
	holding holding
	shape   shapeKey
}

// searched is how far a search has come: those before it take no more of the kind, unless
// there were changes since.
type searched struct{ next, changes int }

func (l *lead) newMoves() *moves {
	return &moves{l: l, taken: map[*machine]room{}, from: map[moveKey]searched{}, changes: map[holding]int{}}
}

// index lists the machines that hold an image.
func (v *moves) index() {
	v.holders = map[holding][]*machine{}
	for _, m := range v.l.fleetList {
		for id := range m.Images.All {
			k := holding{id, m.Zone}
			v.holders[k] = append(v.holders[k], m)
		}
	}
}

// take reports whether each replica on a machine runs and finds room and its image
// elsewhere, beside what is taken already, and takes that room if so.
func (v *moves) take(m *machine) bool {
	plan, ok := v.plan(m)
	if !ok {
		return false
	}
	for o, t := range plan {
		v.taken[o] = t
	}
	return true
}

// possible is take for a machine by itself: nothing is taken by it or by others.
func (v *moves) possible(m *machine) bool {
	_, ok := v.plan(m)
	return ok
}

// stays keeps a machine that was being emptied.
func (v *moves) stays(m *machine) {
	m.emptying = false
	for id := range m.Images.All {
		v.changes[holding{id, m.Zone}]++
	}
}

// plan finds room for each replica on a machine.
func (v *moves) plan(m *machine) (plan map[*machine]room, ok bool) {
	if v.holders == nil {
		v.index()
	}
	plan = map[*machine]room{}
	for _, a := range m.sorted() {
		j := a.job
		if j.Kind != protocol.Service {
			continue
		}
		if a.state != protocol.Running || a.stop || j.toStart() > 0 {
			return nil, false
		}
		o := v.find(m, j, plan)
		if o == nil {
			return nil, false
		}
		t := v.room(o, plan)
		plan[o] = t.Plus(placement.Needs(j.Job))
	}
	return plan, true
}

// room is what a machine gives by now.
func (v *moves) room(o *machine, plan map[*machine]room) room {
	if t, planned := plan[o]; planned {
		return t
	}
	return v.taken[o]
}

// find is the first machine but m that a replica of a job may move to.
func (v *moves) find(m *machine, j *job, plan map[*machine]room) *machine {
	key := moveKey{holding{j.image, m.Zone}, keyOf(j)}
	s := v.from[key]
	if s.changes != v.changes[key.holding] {
		s = searched{changes: v.changes[key.holding]}
	}
	list := v.holders[key.holding]
	sure := true // that those looked at take no more, whatever machine is asked for next
	defer func() { v.from[key] = s }()
	for i := s.next; i < len(list); i++ {
		o := list[i]
		v.looked++
		fits := v.fits(o, j, plan)
		if fits && o != m {
			return o
		}
		_, planned := plan[o]
		sure = sure && !fits && !planned
		if sure {
			s.next = i + 1
		}
	}
	return nil
}

// fits reports whether a replica of a job may move to a machine.
func (v *moves) fits(o *machine, j *job, plan map[*machine]room) bool {
	if o.emptying || !v.l.open(o) || !o.Allows(j.Job) || !o.RoomInReport(j.Job) {
		return false
	}
	t := v.room(o, plan)
	return o.Taken.Plus(o.Held).Plus(t).Plus(placement.Needs(j.Job)).Within(placement.Capacity(o.Spec))
}
