package shard

// Lines between the leader and owners have a limited length. What there is to tell waits in
// one long line, from which parts are cut that fit. Lists are cut in the order in which the
// other side takes them, so that nothing overtakes what was told before of the same task.

// Bytes of an entry beside the names in it, at the most.
const (
	taskBytes        = 80
	startBytes       = taskBytes + 40
	machineBytes     = 160
	workerBytes      = 200
	stateBytes       = taskBytes + 20
	exitBytes        = taskBytes + 40
	terminationBytes = taskBytes + 20
	unhealthyBytes   = 140
	nameBytes        = 8
)

// StartSize is about how long an attempt is in a machine's list.
func StartSize(machine, job string) int { return len(machine) + len(job) + startBytes }

func (t *Task) bytes() int           { return len(t.Machine) + len(t.Job) }
func (t *Task) size() int            { return t.bytes() + taskBytes }
func (r *Start) size() int           { return r.bytes() + startBytes }
func (s *Stop) size() int            { return s.bytes() + startBytes }
func (s *TaskState) size() int       { return s.bytes() + stateBytes }
func (e *Exit) size() int            { return e.bytes() + exitBytes }
func (g *Termination) size() int     { return g.bytes() + len(g.Reason) + terminationBytes }
func (l *UnhealthyWorker) size() int { return len(l.Machine) + unhealthyBytes }
func nameSize(n *string) int         { return len(*n) + nameBytes }

func (w *Worker) size() int {
	return len(w.Machine) + len(w.Addr) + len(w.Type) + len(w.Zone) + workerBytes
}

// Size is about how long the machine is in a line.
func (m *Machine) Size() int {
	size := len(m.Name) + len(m.Addr) + len(m.Type) + len(m.Zone) + machineBytes
	for i := range m.Starts {
		size += m.Starts[i].size()
	}
	return size
}

// takeFitting takes entries from the front of a list as long as there is room, and returns what is
// left of both. The first entry of an empty line is taken whatever its size.
func takeFitting[T any](list []T, room, whole int, size func(*T) int) (part, rest []T, left int) {
	for i := range list {
		k := size(&list[i])
		if k > room && (room != whole || i != 0) {
			return list[:i:i], list[i:], room
		}
		room -= k
	}
	return list, nil, room
}

// Empty reports whether there is nothing to tell.
func (in *Instructions) Empty() bool {
	return len(in.Machines)+len(in.TerminatedMachines)+len(in.Starts)+len(in.Stops)+len(in.Forgets) == 0
}

// TakeFitting takes from what there is to tell what fits one line, and returns it with the room that
// is left.
func (in *Instructions) TakeFitting(room int) (line Instructions, left int) {
	whole := room
	line.Machines, in.Machines, room = takeFitting(in.Machines, room, whole, (*Machine).Size)
	if len(in.Machines) == 0 {
		line.Starts, in.Starts, room = takeFitting(in.Starts, room, whole, (*Start).size)
	}
	if len(in.Machines)+len(in.Starts) == 0 {
		line.Stops, in.Stops, room = takeFitting(in.Stops, room, whole, (*Stop).size)
	}
	if len(in.Machines)+len(in.Starts)+len(in.Stops) == 0 {
		line.Forgets, in.Forgets, room = takeFitting(in.Forgets, room, whole, (*Task).size)
		line.TerminatedMachines, in.TerminatedMachines, room = takeFitting(in.TerminatedMachines, room, whole, nameSize)
	}
	return line, room
}

// Empty reports whether there is nothing to tell.
func (o *Observations) Empty() bool {
	return len(o.Workers)+len(o.TaskStates)+len(o.Exits)+len(o.Terminations)+len(o.Orphans) == 0 && o.Status == nil
}

// TakeFitting takes from what there is to tell what fits one line. The status comes after all else,
// its late workers in several lines if they are many.
func (o *Observations) TakeFitting(room int) (line Observations) {
	whole := room
	line.Workers, o.Workers, room = takeFitting(o.Workers, room, whole, (*Worker).size)
	if len(o.Workers) == 0 {
		line.TaskStates, o.TaskStates, room = takeFitting(o.TaskStates, room, whole, (*TaskState).size)
	}
	if len(o.Workers)+len(o.TaskStates) == 0 {
		line.Exits, o.Exits, room = takeFitting(o.Exits, room, whole, (*Exit).size)
	}
	if len(o.Workers)+len(o.TaskStates)+len(o.Exits) == 0 {
		line.Terminations, o.Terminations, room = takeFitting(o.Terminations, room, whole, (*Termination).size)
	}
	if len(o.Workers)+len(o.TaskStates)+len(o.Exits)+len(o.Terminations) == 0 {
		line.Orphans, o.Orphans, room = takeFitting(o.Orphans, room, whole, (*Task).size)
	}
	if o.Status != nil && len(o.Workers)+len(o.TaskStates)+len(o.Exits)+len(o.Terminations)+len(o.Orphans) == 0 {
		line.Status = o.Status.takeFitting(room, whole)
		if !line.Status.More {
			o.Status = nil
		}
	}
	return line
}

// takeFitting takes the next part of a status.
func (s *Status) takeFitting(room, whole int) *Status {
	part := &Status{Load: s.Load, Part: s.Part}
	part.Unhealthy, s.Unhealthy, _ = takeFitting(s.Unhealthy, room, whole, (*UnhealthyWorker).size)
	part.More = len(s.Unhealthy) > 0
	s.Part++
	return part
}
