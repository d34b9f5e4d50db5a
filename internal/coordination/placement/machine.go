// Package placement ranks machines for tasks: what a machine has and what of it is taken,
// which images it is taken to hold, the score, and the candidates in their order. It knows
// neither the state service nor the network, reads no clock and starts no goroutine.
//
// It owns what is inferred of a machine's image cache. It never decides whose turn it is, and
// never starts or stops anything.
package placement

import "brasskeel/internal/protocol"

// Resources are amounts of what tasks take of machines.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// Needs is what one task of a job takes.
func Needs(j *protocol.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Capacity is what a machine of a type has.
func Capacity(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// Plus adds amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemGB + o.MemGB}
}

// Minus subtracts amounts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemGB - o.MemGB}
}

// Within reports whether no amount exceeds a limit.
func (r Resources) Within(limit Resources) bool {
	return r.CPUs <= limit.CPUs+protocol.Epsilon && r.GPUs <= limit.GPUs+protocol.Epsilon && r.MemGB <= limit.MemGB+protocol.Epsilon
}

// Machine is what placement knows of a machine.
type Machine struct {
	Name          string
	Type, Zone    string
	Spot          bool
	Spec          *protocol.MachineType // nil for an unknown type
	Consolidating bool                  // takes new tasks only when no other has room

	Allocated   Resources // by all attempts that aren't proven gone
	Terminating Resources // of that, by attempts that were told to end
	Reserved    Resources // room that preemption frees for others, until the next round
	Incoming    Resources // room kept for running work that is to move here
	ReplicaCPUs float64   // taken by replicas of services
	ReportBytes int       // that the tasks take in a heartbeat of the worker's at the most

	Images       ImageCache
	NeededImages ImageCounts // images of the attempts on it
}

// CacheGB is the space for images.
func (m *Machine) CacheGB() float64 {
	if m.Spec == nil {
		return 0
	}
	return m.Spec.CacheGB
}

// Fits reports whether one more task of a job fits beside all that is taken and held.
func (m *Machine) Fits(j *protocol.Job) bool {
	// Every machine is asked for every job: written out, this takes half of the time.
	return m.Allocated.CPUs+m.Incoming.CPUs+j.CPUs <= m.Spec.CPUs+protocol.Epsilon &&
		m.Allocated.MemGB+m.Incoming.MemGB+j.MemoryGB <= m.Spec.MemoryGB+protocol.Epsilon &&
		m.Allocated.GPUs+m.Incoming.GPUs+j.GPUs <= m.Spec.GPUs+protocol.Epsilon
}

// HasRoom reports whether one more task of a job fits, also beside the tasks that others
// were stopped for.
func (m *Machine) HasRoom(j *protocol.Job) bool {
	if !m.Fits(j) || !m.FitsInReport(j) {
		return false
	}
	return m.Reserved == (Resources{}) || m.fitsBesideReserved(j)
}

func (m *Machine) fitsBesideReserved(j *protocol.Job) bool {
	return m.Allocated.Plus(m.Incoming).Plus(Needs(j)).Plus(m.Reserved).Minus(m.Terminating).Within(Capacity(m.Spec))
}

// TaskCapacity is how many more tasks of a job fit beside all that is taken and held.
func (m *Machine) TaskCapacity(j *protocol.Job) int {
	free := Capacity(m.Spec).Minus(m.Allocated).Minus(m.Incoming)
	count := protocol.MaxTasks
	for _, r := range [...]struct{ free, need float64 }{{free.CPUs, j.CPUs}, {free.GPUs, j.GPUs}, {free.MemGB, j.MemoryGB}} {
		if r.need > 0 {
			count = min(count, int((r.free+protocol.Epsilon)/r.need))
		}
	}
	return max(0, count)
}

// Reserve sets room aside that preemption is freeing, until the next placement round.
func (m *Machine) Reserve(j *protocol.Job) { m.Reserved = m.Reserved.Plus(Needs(j)) }

// Allows reports whether a job's own rules let it run on the machine.
func (m *Machine) Allows(j *protocol.Job) bool {
	return j.AllowsType(m.Type) && (j.Zone == "" || j.Zone == m.Zone) && (j.AllowSpot || !m.Spot)
}

// FitsInReport reports whether a machine may hold one more task, by what a report that
// names all its tasks takes. Part of a heartbeat is left for exited tasks that the worker may
// not forget yet.
func (m *Machine) FitsInReport(j *protocol.Job) bool {
	return m.ReportBytes+protocol.TaskStatusBytes(j.ID) <= MaxTaskReportBytes
}

// MaxTaskReportBytes is what the tasks placed on a machine may take in its worker's heartbeat: three
// quarters of it.
const MaxTaskReportBytes = protocol.MaxBody * 3 / 4
