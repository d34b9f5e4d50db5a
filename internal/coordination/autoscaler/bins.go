package autoscaler

import (
	"maps"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// Bin is the free capacity of a booting or planned machine.
type Bin struct {
	Offer                Offer
	cpus, gpus, memoryGB float64
	heartbeatBytes       int // size of the tasks' entries in a heartbeat
}

// NewBin returns the bin of an empty machine.
func NewBin(o Offer) *Bin {
	return &Bin{Offer: o, cpus: o.Spec.CPUs, gpus: o.Spec.GPUs, memoryGB: o.Spec.MemoryGB}
}

// place puts a task of a job into the bin and reports whether it did. It doesn't if the job can't use
// machines of the offer, or if the task, or its entry in the heartbeat, doesn't fit.
func (b *Bin) place(j *protocol.Job) bool {
	if !b.Offer.Allows(j) || j.CPUs > b.cpus+protocol.Epsilon || j.GPUs > b.gpus+protocol.Epsilon || j.MemoryGB > b.memoryGB+protocol.Epsilon ||
		b.heartbeatBytes+protocol.MaxTaskStatusBytes(j.ID) > placement.MaxTaskHeartbeatBytes {
		return false
	}
	b.heartbeatBytes += protocol.MaxTaskStatusBytes(j.ID)
	b.cpus -= j.CPUs
	b.gpus -= j.GPUs
	b.memoryGB -= j.MemoryGB
	return true
}

// zoneConstraint applies a job's zone constraints to its planned tasks.
type zoneConstraint struct {
	job         *protocol.Job  // nil without constraints
	tasksByZone map[string]int // live attempts and planned tasks
}

// newZoneConstraint returns a job's constraint. zones counts the job's live attempts in each zone.
func newZoneConstraint(j *protocol.Job, zones map[string]int) *zoneConstraint {
	z := anyZone()
	if j.OneZone || j.Spread {
		z.job = j
		maps.Copy(z.tasksByZone, zones)
	}
	return z
}

// anyZone returns a constraint that allows all zones.
func anyZone() *zoneConstraint { return &zoneConstraint{tasksByZone: map[string]int{}} }

// allows reports whether one more task may be placed in a zone. All tasks of a job with OneZone share
// one zone, and at most half of the tasks of a job with Spread, rounded up, are in the same zone.
func (z *zoneConstraint) allows(zone string) bool {
	if z.job == nil {
		return true
	}
	if z.job.OneZone {
		for k := range z.tasksByZone {
			if k != zone {
				return false
			}
		}
	}
	return !z.job.Spread || z.tasksByZone[zone]+1 <= (z.job.Tasks+1)/2
}
