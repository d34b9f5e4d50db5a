package placement

import "brasskeel/internal/protocol"

// Task is one task of a job, with the number of its image.
type Task struct {
	*protocol.Job
	Image ImageID
}

// Weights are those of the two terms of the score.
type Weights struct{ Image, Room float64 }

// Score ranks a machine with room for a task: the cached share of its image and the free
// share of the machine, each times its weight. For a replica, which stays for long, the share
// that replicas hold already stands for the free one: scattered, one on each, they would keep
// all those machines from being returned.
func (w Weights) Score(m *Machine, t Task) float64 {
	room := m.FreeShare(t.Job)
	if t.Kind == protocol.Service && m.Spec.CPUs > 0 {
		room = m.ReplicaCPUs / m.Spec.CPUs
	}
	return w.Image*m.ImageShare(t) + w.Room*room
}

// ImageShare is the matched share of a task's image on a machine. An image that other tasks
// there already wait for counts as held: it is fetched once for all of them, and a new image
// would otherwise scatter over many machines before the first of them is seen to hold it.
func (m *Machine) ImageShare(t Task) float64 {
	if t.ImageGB <= 0 {
		return 1
	}
	if m.NeededImages.Has(t.Image) {
		return 1
	}
	return min(1, m.Images.CachedGB(t.Image)/t.ImageGB)
}

// FreeShare is the machine's free share, averaged over the resources that a job asks for.
func (m *Machine) FreeShare(j *protocol.Job) float64 {
	sum, n := 0.0, 0.0
	if j.CPUs > 0 && m.Spec.CPUs > 0 {
		sum += (m.Spec.CPUs - m.Allocated.CPUs) / m.Spec.CPUs
		n++
	}
	if j.GPUs > 0 && m.Spec.GPUs > 0 {
		sum += (m.Spec.GPUs - m.Allocated.GPUs) / m.Spec.GPUs
		n++
	}
	if j.MemoryGB > 0 && m.Spec.MemoryGB > 0 {
		sum += (m.Spec.MemoryGB - m.Allocated.MemGB) / m.Spec.MemoryGB
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / n
}
