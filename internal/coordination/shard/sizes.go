package shard

// Messages between the leader and owners have a limited length. What there is to tell waits in
// one long message, from which parts are taken that fit. Lists are cut in the order in which the
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

// Size is about how long the machine is in a message.
func (m *Machine) Size() int {
	size := len(m.Name) + len(m.Addr) + len(m.Type) + len(m.Zone) + machineBytes
	for i := range m.Starts {
		size += m.Starts[i].size()
	}
	return size
}

// cutter fills one message from lists that are cut in order. The first entry of an empty
// message is taken whatever its size.
type cutter struct {
	room, whole int
	cut         bool // a list had to be cut: what comes after it waits
}

// take takes entries from the front of a list as long as there is room, and leaves the rest.
func take[T any](c *cutter, list *[]T, size func(*T) int) (part []T) {
	if c.cut {
		return nil
	}
	all := *list
	for i := range all {
		k := size(&all[i])
		if k > c.room && (c.room != c.whole || i != 0) {
			*list, c.cut = all[i:], true
			return all[:i:i]
		}
		c.room -= k
	}
	*list = nil
	return all
}

// Empty reports whether there is nothing to tell.
func (in *Instructions) Empty() bool {
	return len(in.Machines)+len(in.TerminatedMachines)+len(in.Starts)+len(in.Stops)+len(in.Forgets) == 0
}

// TakeFitting takes from what there is to tell what fits one message of so many bytes, and
// returns it with the room that is left.
func (in *Instructions) TakeFitting(room int) (message Instructions, left int) {
	c := &cutter{room: room, whole: room}
	message.Machines = take(c, &in.Machines, (*Machine).Size)
	message.Starts = take(c, &in.Starts, (*Start).size)
	message.Stops = take(c, &in.Stops, (*Stop).size)
	if c.cut {
		return message, c.room
	}
	message.Forgets = take(c, &in.Forgets, (*Task).size)
	c.cut = false // the names have no order to keep with what an owner may forget
	message.TerminatedMachines = take(c, &in.TerminatedMachines, nameSize)
	return message, c.room
}

// Empty reports whether there is nothing to tell.
func (o *Observations) Empty() bool {
	return len(o.Workers)+len(o.TaskStates)+len(o.Exits)+len(o.Terminations)+len(o.Orphans) == 0 && o.Status == nil
}

// TakeFitting takes from what there is to tell what fits one message of so many bytes. The
// status comes after all else, its unhealthy workers in several messages if they are many.
func (o *Observations) TakeFitting(room int) (message Observations) {
	c := &cutter{room: room, whole: room}
	message.Workers = take(c, &o.Workers, (*Worker).size)
	message.TaskStates = take(c, &o.TaskStates, (*TaskState).size)
	message.Exits = take(c, &o.Exits, (*Exit).size)
	message.Terminations = take(c, &o.Terminations, (*Termination).size)
	message.Orphans = take(c, &o.Orphans, (*Task).size)
	if o.Status != nil && !c.cut {
		message.Status = o.Status.takeFitting(c)
		if !message.Status.More {
			o.Status = nil
		}
	}
	return message
}

// takeFitting takes the next part of a status.
func (s *Status) takeFitting(c *cutter) *Status {
	part := &Status{Load: s.Load, Part: s.Part}
	part.Unhealthy = take(c, &s.Unhealthy, (*UnhealthyWorker).size)
	part.More = len(s.Unhealthy) > 0
	s.Part++
	return part
}
