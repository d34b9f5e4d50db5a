package placement

// ImageID numbers an image for one leadership. Machines are scored for every job, and
// comparing names took most of that.
type ImageID = int32

// ImageCache is what a machine is taken to hold. Heartbeats carry no image lists, so it is
// inferred: a task that runs had its image, and the worker keeps the most recently used ones
// within its space.
type ImageCache struct {
	images []cachedImage // most recently used last
	used   float64
}

type cachedImage struct {
	id ImageID
	gb float64
}

// Reset forgets all images.
func (c *ImageCache) Reset() { c.images, c.used = c.images[:0], 0 }

// Add notes the use of an image.
func (c *ImageCache) Add(id ImageID, gb, space float64) {
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

// CachedGB is how many GB of an image the machine holds.
func (c *ImageCache) CachedGB(id ImageID) float64 {
	for i := range c.images {
		if c.images[i].id == id {
			return c.images[i].gb
		}
	}
	return 0
}

// All yields the images, the least recently used first.
func (c *ImageCache) All(yield func(ImageID) bool) {
	for i := range c.images {
		if !yield(c.images[i].id) {
			return
		}
	}
}

// ImageCounts says how many attempts on a machine need which image.
type ImageCounts []imageCount

type imageCount struct{ id, count int32 }

// Add counts more or fewer attempts.
func (c *ImageCounts) Add(id ImageID, by int32) {
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

// Has reports whether any attempt needs an image.
func (c ImageCounts) Has(id ImageID) bool {
	for i := range c {
		if c[i].id == id {
			return true
		}
	}
	return false
}
