package coordination

import (
	"brasskeel/internal/protocol"
)

// imageCache is what a machine is taken to hold. Reports carry no image lists,
// so it is inferred: a task that runs had its image, and the worker keeps the
// most recently used ones within its space.
type imageCache struct {
	images []cachedImage // most recently used last
	used   float64
}

type cachedImage struct {
	id int32
	gb float64
}

// imageID numbers an image for this leadership. Machines are scored for every job,
// and comparing names took most of that.
func (l *lead) imageID(name string) int32 {
	id, ok := l.imageIDs[name]
	if !ok {
		id = int32(len(l.imageIDs))
		l.imageIDs[name] = id
	}
	return id
}

// imageCounts says how many attempts on a machine need which image.
type imageCounts []imageCount

type imageCount struct{ id, count int32 }

func (c *imageCounts) add(id, by int32) {
	for i := range *c {
		if k := &(*c)[i]; k.id == id {
			if k.count += by; k.count <= 0 {
				last := len(*c) - 1
				(*c)[i] = (*c)[last]
				*c = (*c)[:last]
			}
			return
		}
	}
	if by > 0 {
		*c = append(*c, imageCount{id, by})
	}
}

func (c imageCounts) has(id int32) bool {
	for i := range c {
		if c[i].id == id {
			return true
		}
	}
	return false
}

func (c *imageCache) reset() { c.images, c.used = c.images[:0], 0 }

// add notes the use of an image.
func (c *imageCache) add(id int32, gb, space float64) {
	for i := range c.images {
		if c.images[i].id == id {
			it := c.images[i]
			copy(c.images[i:], c.images[i+1:])
			c.images[len(c.images)-1] = it
			return
		}
	}
	c.images = append(c.images, cachedImage{id, gb})
	c.used += gb
	for c.used > space && len(c.images) > 1 {
		c.used -= c.images[0].gb
		c.images = append(c.images[:0], c.images[1:]...)
	}
}

// bytes is how much of an image the machine holds.
func (c *imageCache) bytes(id int32) float64 {
	for i := range c.images {
		if c.images[i].id == id {
			return c.images[i].gb
		}
	}
	return 0
}

// imageShare is the matched share of a job's image on a machine. An image that
// other tasks there already wait for counts as held: it is fetched once for
// all of them, and a new image would otherwise scatter over many machines
// before the first of them is seen to hold it.
func (m *machine) imageShare(j *job) float64 {
	if j.ImageGB <= 0 {
		return 1
	}
	if m.wanted.has(j.image) {
		return 1
	}
	return min(1, m.images.bytes(j.image)/j.ImageGB)
}

// freeShare is the machine's free share, averaged over the resources that the
// job asks for.
func (m *machine) freeShare(j *protocol.Job) float64 {
	sum, n := 0.0, 0.0
	if j.CPUs > 0 && m.spec.CPUs > 0 {
		sum += (m.spec.CPUs - m.cpus) / m.spec.CPUs
		n++
	}
	if j.GPUs > 0 && m.spec.GPUs > 0 {
		sum += (m.spec.GPUs - m.gpus) / m.spec.GPUs
		n++
	}
	if j.MemGB > 0 && m.spec.MemGB > 0 {
		sum += (m.spec.MemGB - m.mem) / m.spec.MemGB
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// hasRoom reports whether one more task of the job fits.
func (m *machine) hasRoom(j *protocol.Job) bool {
	cpus, gpus, mem := m.cpus+j.CPUs, m.gpus+j.GPUs, m.mem+j.MemGB
	if cpus > m.spec.CPUs+protocol.Epsilon || gpus > m.spec.GPUs+protocol.Epsilon || mem > m.spec.MemGB+protocol.Epsilon {
		return false
	}
	if !m.roomForTasks(j) {
		return false
	}
	if m.promised == (usage{}) {
		return true
	}
	// What is left after the tasks that others were stopped for.
	return cpus+m.promised.cpus-m.ending.cpus <= m.spec.CPUs+protocol.Epsilon &&
		gpus+m.promised.gpus-m.ending.gpus <= m.spec.GPUs+protocol.Epsilon &&
		mem+m.promisedMem-m.endingMem <= m.spec.MemGB+protocol.Epsilon
}

// allowed reports whether the job's own rules let it run on the machine.
func (m *machine) allowed(j *protocol.Job) bool {
	return j.AllowsType(m.typ) && (j.Zone == "" || j.Zone == m.zone) && (j.Spot || !m.spot)
}

// score ranks a machine with room for a task: the cached share of its image
// and the free share of the machine, each times its weight. For a replica, which
// stays for long, the share that replicas hold already stands for the free one:
// scattered, one on each, they would keep all those machines from being returned.
func (l *lead) score(m *machine, j *job) float64 {
	room := m.freeShare(j.Job)
	if j.Kind == protocol.Service && m.spec.CPUs > 0 {
		room = m.services / m.spec.CPUs
	}
	return l.n.op.ImageWeight*m.imageShare(j) + l.n.op.RoomWeight*room
}
