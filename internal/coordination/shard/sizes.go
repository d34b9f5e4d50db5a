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

func (t *Task) stringBytes() int     { return len(t.Machine) + len(t.Job) }
func (t *Task) size() int            { return t.stringBytes() + taskBytes }
func (r *Start) size() int           { return r.stringBytes() + startBytes }
func (s *Stop) size() int            { return s.stringBytes() + startBytes }
func (s *TaskState) size() int       { return s.stringBytes() + stateBytes }
func (e *Exit) size() int            { return e.stringBytes() + exitBytes }
func (g *Termination) size() int     { return g.stringBytes() + len(g.Reason) + terminationBytes }
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

// messageFiller fills one message from lists that are cut in order. The first entry of an empty
// message is taken whatever its size.
type messageFiller struct {
	remaining, capacity int
	full                bool // a list had to be cut: what comes after it waits
}

// takeFront takes entries from the front of a list as long as there is room, and leaves the rest.
func takeFront[T any](c *messageFiller, list *[]T, size func(*T) int) (part []T) {
	if c.full {
		return nil
	}
	all := *list
	for i := range all {
		k := size(&all[i])
		if k > c.remaining && (c.remaining != c.capacity || i != 0) {
			*list, c.full = all[i:], true
			return all[:i:i]
		}
		c.remaining -= k
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
	c := &messageFiller{remaining: room, capacity: room}
	message.Machines = takeFront(c, &in.Machines, (*Machine).Size)
	message.Starts = takeFront(c, &in.Starts, (*Start).size)
	message.Stops = takeFront(c, &in.Stops, (*Stop).size)
	if c.full {
		return message, c.remaining
	}
	message.Forgets = takeFront(c, &in.Forgets, (*Task).size)
	c.full = false // the names have no order to keep with what an owner may forget
	message.TerminatedMachines = takeFront(c, &in.TerminatedMachines, nameSize)
	return message, c.remaining
}

// Empty reports whether there is nothing to tell.
func (o *Observations) Empty() bool {
	return len(o.Workers)+len(o.TaskStates)+len(o.Exits)+len(o.Terminations)+len(o.Orphans) == 0 && o.Status == nil
}

// TakeFitting takes from what there is to tell what fits one message of so many bytes. The
// status comes after all else, its unhealthy workers in several messages if they are many.
func (o *Observations) TakeFitting(room int) (message Observations) {
	c := &messageFiller{remaining: room, capacity: room}
	message.Workers = takeFront(c, &o.Workers, (*Worker).size)
	message.TaskStates = takeFront(c, &o.TaskStates, (*TaskState).size)
	message.Exits = takeFront(c, &o.Exits, (*Exit).size)
	message.Terminations = takeFront(c, &o.Terminations, (*Termination).size)
	message.Orphans = takeFront(c, &o.Orphans, (*Task).size)
	if o.Status != nil && !c.full {
		message.Status = o.Status.takeFitting(c)
		if !message.Status.More {
			o.Status = nil
		}
	}
	return message
}

// takeFitting takes the next part of a status.
func (s *Status) takeFitting(c *messageFiller) *Status {
	part := &Status{Load: s.Load, Part: s.Part}
	part.Unhealthy = takeFront(c, &s.Unhealthy, (*UnhealthyWorker).size)
	part.More = len(s.Unhealthy) > 0
	s.Part++
	return part
}
