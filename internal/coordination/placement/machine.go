// Package placement ranks machines for tasks: it models a machine's capacity, allocations and
// image cache, computes scores, and keeps candidates in order. It uses neither the state service
// nor the network, reads no clock and starts no goroutine.
//
// It owns the inferred state of a machine's image cache. It doesn't decide which job is served
// next, and never starts or stops anything.
package placement

import "brasskeel/internal/protocol"

// Resources are the resources that a task needs or a machine has.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// Needs returns the resources that one task of a job needs.
func Needs(j *protocol.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Capacity returns the resources of a machine of a type.
func Capacity(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemGB + o.MemGB}
}

// Minus returns r reduced by o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemGB - o.MemGB}
}

// Within reports whether no resource exceeds its limit.
func (r Resources) Within(limit Resources) bool {
	return r.CPUs <= limit.CPUs+protocol.Epsilon && r.GPUs <= limit.GPUs+protocol.Epsilon && r.MemGB <= limit.MemGB+protocol.Epsilon
}

// Machine holds the properties of a machine that matter for placement.
type Machine struct {
	Name          string
	Type, Zone    string
	Spot          bool
	Spec          *protocol.MachineType // nil for an unknown type
	Consolidating bool                  // gets new tasks only if no other machine has capacity

	Allocated      Resources // to all attempts that aren't proven terminated
	Terminating    Resources // the part of Allocated that belongs to attempts whose stop was requested
	Reserved       Resources // for jobs that preempt or are starving, until the next placement round
	Incoming       Resources // reserved for tasks that are being migrated to the machine
	ReplicaCPUs    float64   // the part of Allocated.CPUs that belongs to service replicas
	HeartbeatBytes int       // upper bound of the size of the tasks' entries in the worker's heartbeat

	Images       ImageCache
	NeededImages ImageCounts // images that the attempts on the machine need
}

// CacheGB returns the size of the image cache; 0 for an unknown machine type.
func (m *Machine) CacheGB() float64 {
	if m.Spec == nil {
		return 0
	}
	return m.Spec.CacheGB
}

// Fits reports whether one more task of a job fits into the resources that are neither allocated nor
// reserved for incoming migrations. Unlike HasRoom, it ignores Reserved.
func (m *Machine) Fits(j *protocol.Job) bool {
	// This is called for every machine and job. Written out, it takes half of the time that it
	// takes with Plus and Within.
	return m.Allocated.CPUs+m.Incoming.CPUs+j.CPUs <= m.Spec.CPUs+protocol.Epsilon &&
		m.Allocated.MemGB+m.Incoming.MemGB+j.MemoryGB <= m.Spec.MemoryGB+protocol.Epsilon &&
		m.Allocated.GPUs+m.Incoming.GPUs+j.GPUs <= m.Spec.GPUs+protocol.Epsilon
}

// HasRoom reports whether one more task of a job fits on the machine and into the worker's heartbeat,
// without using the resources that are reserved for other jobs.
func (m *Machine) HasRoom(j *protocol.Job) bool {
	if !m.Fits(j) || !m.FitsInHeartbeat(j) {
		return false
	}
	return m.Reserved == (Resources{}) || m.fitsBesideReserved(j)
}

// fitsBesideReserved reports whether one more task of a job fits in addition to what is reserved for
// other jobs. The resources of terminating attempts count as available for the reservations.
func (m *Machine) fitsBesideReserved(j *protocol.Job) bool {
	return m.Allocated.Plus(m.Incoming).Plus(Needs(j)).Plus(m.Reserved).Minus(m.Terminating).Within(Capacity(m.Spec))
}

// TaskCapacity returns how many more tasks of a job fit into the resources that are neither allocated
// nor reserved for incoming migrations. It ignores Reserved and the size of the heartbeat.
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

// Reserve reserves resources for one task of a job, until the next placement round.
func (m *Machine) Reserve(j *protocol.Job) { m.Reserved = m.Reserved.Plus(Needs(j)) }

// Allows reports whether a job's restrictions on machine types, zone and spot machines allow the
// machine.
func (m *Machine) Allows(j *protocol.Job) bool {
	return j.AllowsType(m.Type) && (j.Zone == "" || j.Zone == m.Zone) && (j.AllowSpot || !m.Spot)
}

// FitsInHeartbeat reports whether the entries of the machine's tasks and of one more task of a job fit
// into a heartbeat. Part of each heartbeat is left for exited tasks that the worker has to keep
// reporting.
func (m *Machine) FitsInHeartbeat(j *protocol.Job) bool {
	return m.HeartbeatBytes+protocol.MaxTaskStatusBytes(j.ID) <= MaxTaskHeartbeatBytes
}

// MaxTaskHeartbeatBytes is the maximum size of the entries of a machine's tasks in its worker's
// heartbeat: three quarters of the maximum size of a heartbeat.
const MaxTaskHeartbeatBytes = protocol.MaxBody * 3 / 4
