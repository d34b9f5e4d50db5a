package shard

// Lines between the leader and owners have a limited length. What there is to tell waits in
// one long line, from which parts are cut that fit. Lists are cut in the order in which the
// other side takes them, so that nothing overtakes what was told before of the same task.

// Bytes of an entry beside the names in it, at the most.
const (
	taskBytes    = 80
	runBytes     = taskBytes + 40
	machineBytes = 160
	workerBytes  = 200
	stateBytes   = taskBytes + 20
	exitBytes    = taskBytes + 40
	goneBytes    = taskBytes + 20
	lateBytes    = 140
	nameBytes    = 8
)

// RunSize is about how long an attempt is in a machine's list.
func RunSize(machine, job string) int { return len(machine) + len(job) + runBytes }

func (t *Task) bytes() int   { return len(t.Machine) + len(t.Job) }
func (t *Task) size() int    { return t.bytes() + taskBytes }
func (r *Run) size() int     { return r.bytes() + runBytes }
func (s *Stop) size() int    { return s.bytes() + runBytes }
func (s *State) size() int   { return s.bytes() + stateBytes }
func (e *Exit) size() int    { return e.bytes() + exitBytes }
func (g *Gone) size() int    { return g.bytes() + len(g.Why) + goneBytes }
func (l *Late) size() int    { return len(l.Machine) + lateBytes }
func nameSize(n *string) int { return len(*n) + nameBytes }

func (w *Worker) size() int {
	return len(w.Machine) + len(w.Addr) + len(w.Type) + len(w.Zone) + workerBytes
}

// Size is about how long the machine is in a line.
func (m *Machine) Size() int {
	size := len(m.Name) + len(m.Addr) + len(m.Type) + len(m.Zone) + machineBytes
	for i := range m.Runs {
		size += m.Runs[i].size()
	}
	return size
}

// cut takes entries from the front of a list as long as there is room, and returns what is
// left of both. The first entry of an empty line is taken whatever its size.
func cut[T any](list []T, room, whole int, size func(*T) int) (part, rest []T, left int) {
	for i := range list {
		k := size(&list[i])
		if k > room && !(room == whole && i == 0) {
			return list[:i:i], list[i:], room
		}
		room -= k
	}
	return list, nil, room
}

// Empty reports whether there is nothing to tell.
func (in *Instructions) Empty() bool {
	return len(in.Machines)+len(in.Gone)+len(in.Runs)+len(in.Stops)+len(in.Forgets) == 0
}

// Cut takes from what there is to tell what fits one line, and returns it with the room that
// is left.
func (in *Instructions) Cut(room int) (line Instructions, left int) {
	whole := room
	line.Machines, in.Machines, room = cut(in.Machines, room, whole, (*Machine).Size)
	if len(in.Machines) == 0 {
		line.Runs, in.Runs, room = cut(in.Runs, room, whole, (*Run).size)
	}
	if len(in.Machines)+len(in.Runs) == 0 {
		line.Stops, in.Stops, room = cut(in.Stops, room, whole, (*Stop).size)
	}
	if len(in.Machines)+len(in.Runs)+len(in.Stops) == 0 {
		line.Forgets, in.Forgets, room = cut(in.Forgets, room, whole, (*Task).size)
		line.Gone, in.Gone, room = cut(in.Gone, room, whole, nameSize)
	}
	return line, room
}

// Empty reports whether there is nothing to tell.
func (o *Observations) Empty() bool {
	return len(o.Workers)+len(o.States)+len(o.Exits)+len(o.Gone)+len(o.Strays) == 0 && o.Status == nil
}

// Cut takes from what there is to tell what fits one line. The status comes after all else,
// its late workers in several lines if they are many.
func (o *Observations) Cut(room int) (line Observations) {
	whole := room
	line.Workers, o.Workers, room = cut(o.Workers, room, whole, (*Worker).size)
	if len(o.Workers) == 0 {
		line.States, o.States, room = cut(o.States, room, whole, (*State).size)
	}
	if len(o.Workers)+len(o.States) == 0 {
		line.Exits, o.Exits, room = cut(o.Exits, room, whole, (*Exit).size)
	}
	if len(o.Workers)+len(o.States)+len(o.Exits) == 0 {
		line.Gone, o.Gone, room = cut(o.Gone, room, whole, (*Gone).size)
	}
	if len(o.Workers)+len(o.States)+len(o.Exits)+len(o.Gone) == 0 {
		line.Strays, o.Strays, room = cut(o.Strays, room, whole, (*Task).size)
	}
	if o.Status != nil && len(o.Workers)+len(o.States)+len(o.Exits)+len(o.Gone)+len(o.Strays) == 0 {
		line.Status = o.Status.cut(room, whole)
		if !line.Status.More {
			o.Status = nil
		}
	}
	return line
}

// cut takes the next part of a status.
func (s *Status) cut(room, whole int) *Status {
	part := &Status{Load: s.Load, Part: s.Part}
	part.Late, s.Late, _ = cut(s.Late, room, whole, (*Late).size)
	part.More = len(s.Late) > 0
	s.Part++
	return part
}
