package shard

// Messages between the leader and owners have a limited size. Pending content is collected in one
// message of any size, from which parts that fit into a message are taken. Its lists are split in
// the order in which the other side applies them, so that no entry overtakes an earlier one of the
// same task.

// Maximum encoded bytes of an entry, without the strings in it. The sizes computed from them are upper
// bounds as long as JSON doesn't escape any character of the strings.
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

// StartSize returns the maximum encoded size of an attempt in a machine's entry.
func StartSize(machine, job string) int { return len(machine) + len(job) + startBytes }

func (t *AttemptID) stringBytes() int { return len(t.Machine) + len(t.Job) }
func (t *AttemptID) size() int        { return t.stringBytes() + taskBytes }
func (s *Start) size() int            { return s.stringBytes() + startBytes }
func (s *Stop) size() int             { return s.stringBytes() + startBytes }
func (s *TaskState) size() int        { return s.stringBytes() + stateBytes }
func (e *Exit) size() int             { return e.stringBytes() + exitBytes }
func (t *Termination) size() int      { return t.stringBytes() + len(t.Reason) + terminationBytes }
func (w *UnhealthyWorker) size() int  { return len(w.Machine) + unhealthyBytes }
func nameSize(n *string) int          { return len(*n) + nameBytes }

func (w *Worker) size() int {
	return len(w.Machine) + len(w.Addr) + len(w.Type) + len(w.Zone) + workerBytes
}

// Size returns the maximum encoded size of the machine's entry.
func (m *Machine) Size() int {
	size := len(m.Name) + len(m.Addr) + len(m.Type) + len(m.Zone) + machineBytes
	for i := range m.Starts {
		size += m.Starts[i].size()
	}
	return size
}

// messageFiller fills one message from the fronts of lists, in order. The first entry of an empty
// message is taken whatever its size.
type messageFiller struct {
	remaining, capacity int
	full                bool // a list had to be split: the lists after it wait
}

// takeFront removes entries from the front of a list as long as they fit, and returns them.
func takeFront[T any](f *messageFiller, list *[]T, size func(*T) int) (part []T) {
	if f.full {
		return nil
	}
	all := *list
	for i := range all {
		k := size(&all[i])
		if k > f.remaining && (f.remaining != f.capacity || i != 0) {
			*list, f.full = all[i:], true
			return all[:i:i]
		}
		f.remaining -= k
	}
	*list = nil
	return all
}

// Empty reports whether there is no content apart from the header.
func (in *Instructions) Empty() bool {
	return len(in.Machines)+len(in.TerminatedMachines)+len(in.Starts)+len(in.Stops)+len(in.Forgets) == 0
}

// TakeFitting moves the entries that fit into room bytes into one message, and returns the message
// and the number of bytes that are left.
func (in *Instructions) TakeFitting(room int) (message Instructions, left int) {
	f := &messageFiller{remaining: room, capacity: room}
	message.Machines = takeFront(f, &in.Machines, (*Machine).Size)
	message.Starts = takeFront(f, &in.Starts, (*Start).size)
	message.Stops = takeFront(f, &in.Stops, (*Stop).size)
	if f.full {
		return message, f.remaining
	}
	message.Forgets = takeFront(f, &in.Forgets, (*AttemptID).size)
	f.full = false // the order between terminated machines and forgets doesn't matter
	message.TerminatedMachines = takeFront(f, &in.TerminatedMachines, nameSize)
	return message, f.remaining
}

// Empty reports whether there is no content apart from the header and the served terms.
func (o *Observations) Empty() bool {
	return len(o.Workers)+len(o.TaskStates)+len(o.Exits)+len(o.Terminations)+len(o.Orphans) == 0 && o.Status == nil
}

// TakeFitting moves the entries that fit into room bytes into one message. The status is taken last;
// if it has many unhealthy workers, it is sent in parts in several messages.
func (o *Observations) TakeFitting(room int) (message Observations) {
	f := &messageFiller{remaining: room, capacity: room}
	message.Workers = takeFront(f, &o.Workers, (*Worker).size)
	message.TaskStates = takeFront(f, &o.TaskStates, (*TaskState).size)
	message.Exits = takeFront(f, &o.Exits, (*Exit).size)
	message.Terminations = takeFront(f, &o.Terminations, (*Termination).size)
	message.Orphans = takeFront(f, &o.Orphans, (*AttemptID).size)
	if o.Status != nil && !f.full {
		message.Status = o.Status.takeFitting(f)
		if !message.Status.More {
			o.Status = nil
		}
	}
	return message
}

// takeFitting moves the unhealthy workers that fit into the next part of the status.
func (s *Status) takeFitting(f *messageFiller) *Status {
	part := &Status{Load: s.Load, Part: s.Part}
	part.Unhealthy = takeFront(f, &s.Unhealthy, (*UnhealthyWorker).size)
	part.More = len(s.Unhealthy) > 0
	s.Part++
	return part
}
