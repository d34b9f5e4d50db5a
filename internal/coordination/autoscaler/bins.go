package autoscaler

import (
	"maps"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// Bin is room that is coming: a machine that boots or is to be rented.
type Bin struct {
	Offer                Offer
	cpus, gpus, memoryGB float64
	reportBytes          int // of a heartbeat that names the tasks in it
}

// NewBin is an empty machine.
func NewBin(o Offer) *Bin {
	return &Bin{Offer: o, cpus: o.Spec.CPUs, gpus: o.Spec.GPUs, memoryGB: o.Spec.MemoryGB}
}

// place puts a task of a job into the bin, and reports whether it fits.
func (b *Bin) place(j *protocol.Job) bool {
	if !b.Offer.Allows(j) || j.CPUs > b.cpus+protocol.Epsilon || j.GPUs > b.gpus+protocol.Epsilon || j.MemoryGB > b.memoryGB+protocol.Epsilon ||
		b.reportBytes+protocol.TaskStatusBytes(j.ID) > placement.MaxTaskReportBytes {
		return false
	}
	b.reportBytes += protocol.TaskStatusBytes(j.ID)
	b.cpus -= j.CPUs
	b.gpus -= j.GPUs
	b.memoryGB -= j.MemoryGB
	return true
}

// zoneConstraint applies a job's rules about zones to tasks that are planned.
type zoneConstraint struct {
	job         *protocol.Job // nil without rules
	tasksByZone map[string]int
}

// newZoneConstraint begins with the zones where the job has tasks already.
func newZoneConstraint(j *protocol.Job, zones map[string]int) *zoneConstraint {
	z := anyZone()
	if j.OneZone || j.Spread {
		z.job = j
		maps.Copy(z.tasksByZone, zones)
	}
	return z
}

func anyZone() *zoneConstraint { return &zoneConstraint{tasksByZone: map[string]int{}} }

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
