package placement

import "brasskeel/internal/protocol"

// Task is a task of a job, with the ID of its image.
type Task struct {
	*protocol.Job
	Image ImageID
}

// Weights are the weights of the two terms of the score.
type Weights struct{ Image, Room float64 }

// Score returns the score of a machine for a task: the weighted sum of the cached share of the
// task's image and the free share of the machine. For service replicas, which run for a long time,
// the share of the machine that replicas already use is used instead of the free share: replicas
// that were spread over many machines, one on each, would keep all of them from being released.
func (w Weights) Score(m *Machine, t Task) float64 {
	room := m.FreeShare(t.Job)
	if t.Kind == protocol.Service && m.Spec.CPUs > 0 {
		room = m.ReplicaCPUs / m.Spec.CPUs
	}
	return w.Image*m.ImageShare(t) + w.Room*room
}

// ImageShare returns the share of a task's image that is cached on a machine; 1 for a task without an
// image. An image that attempts on the machine need counts as cached, because it is fetched once for
// all of them. If it didn't, the tasks of a new image would spread over many machines before the first
// machine is known to have it.
func (m *Machine) ImageShare(t Task) float64 {
	if t.ImageGB <= 0 {
		return 1
	}
	if m.NeededImages.Has(t.Image) {
		return 1
	}
	return min(1, m.Images.CachedGB(t.Image)/t.ImageGB)
}

// FreeShare returns the share of the machine that isn't allocated, averaged over the resources that a
// job needs and the machine has; 1 if there are none.
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
