// Package placement ranks machines for tasks: what a machine has and what of it is taken,
// which images it is taken to hold, the score, and the candidates in their order. It knows
// neither the state service nor the network, reads no clock and starts no goroutine.
package placement

import "brasskeel/internal/protocol"

// Resources are amounts of what tasks take of machines.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// Needs is what one task of a job takes.
func Needs(j *protocol.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemGB} }

// Capacity is what a machine of a type has.
func Capacity(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemGB} }

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
	Name       string
	Type, Zone string
	Spot       bool
	Spec       *protocol.MachineType // nil for an unknown type
	Emptying   bool                  // takes new tasks only when no other has room

	Taken       Resources // by all attempts that aren't proven gone
	Ending      Resources // of that, by attempts that were told to end
	Promised    Resources // room that preemption frees for others, until the next round
	Held        Resources // room kept for running work that is to move here
	ReplicaCPUs float64   // taken by replicas of services
	ReportBytes int       // that the tasks take in a report of the worker's at the most

	Images ImageCache
	Wanted ImageCounts // images of the attempts on it
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
	return m.Taken.CPUs+m.Held.CPUs+j.CPUs <= m.Spec.CPUs+protocol.Epsilon &&
		m.Taken.MemGB+m.Held.MemGB+j.MemGB <= m.Spec.MemGB+protocol.Epsilon &&
		m.Taken.GPUs+m.Held.GPUs+j.GPUs <= m.Spec.GPUs+protocol.Epsilon
}

// HasRoom reports whether one more task of a job fits, also beside the tasks that others
// were stopped for.
func (m *Machine) HasRoom(j *protocol.Job) bool {
	if !m.Fits(j) || !m.RoomInReport(j) {
		return false
	}
	return m.Promised == (Resources{}) || m.fitsBesidePromised(j)
}

func (m *Machine) fitsBesidePromised(j *protocol.Job) bool {
	return m.Taken.Plus(m.Held).Plus(Needs(j)).Plus(m.Promised).Minus(m.Ending).Within(Capacity(m.Spec))
}

// RoomFor is how many more tasks of a job fit beside all that is taken and held.
func (m *Machine) RoomFor(j *protocol.Job) int {
	free := Capacity(m.Spec).Minus(m.Taken).Minus(m.Held)
	count := protocol.MaxTasks
	for _, r := range [...]struct{ free, need float64 }{{free.CPUs, j.CPUs}, {free.GPUs, j.GPUs}, {free.MemGB, j.MemGB}} {
		if r.need > 0 {
			count = min(count, int((r.free+protocol.Epsilon)/r.need))
		}
	}
	return max(0, count)
}

// Promise sets room aside that preemption is freeing, until the next placement round.
func (m *Machine) Promise(j *protocol.Job) { m.Promised = m.Promised.Plus(Needs(j)) }

// Allows reports whether a job's own rules let it run on the machine.
func (m *Machine) Allows(j *protocol.Job) bool {
	return j.AllowsType(m.Type) && (j.Zone == "" || j.Zone == m.Zone) && (j.Spot || !m.Spot)
}

// RoomInReport reports whether a machine may hold one more task, by what a report that
// names all its tasks takes. Part of a report is left for exited tasks that the worker may
// not forget yet.
func (m *Machine) RoomInReport(j *protocol.Job) bool {
	return m.ReportBytes+protocol.TaskReportBytes(j.ID) <= TasksBytes
}

// TasksBytes is what the tasks placed on a machine may take in its worker's report: three
// quarters of it.
const TasksBytes = protocol.MaxBody * 3 / 4
