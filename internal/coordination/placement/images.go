package placement

// ImageID is a number that identifies an image, valid for one leader's term. Machines are scored for
// every job, and comparing image names took most of the time for that.
type ImageID = int32

// ImageCache models the image cache of a machine. Heartbeats don't list the cached images, so they
// are inferred: the image of a running task must be cached, and the worker keeps the most recently
// used images that fit into its cache (LRU).
type ImageCache struct {
	images []cachedImage // most recently used last
	used   float64       // GB
}

// cachedImage is an image in a cache, with its size.
type cachedImage struct {
	id ImageID
	gb float64
}

// Reset removes all images.
func (c *ImageCache) Reset() { c.images, c.used = c.images[:0], 0 }

// Add records the use of an image of size gb in a cache of size space, both in GB. It evicts the least
// recently used images, but not the added one, while the cache exceeds its size.
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

// CachedGB returns the size of an image if it is cached, and 0 if not.
func (c *ImageCache) CachedGB(id ImageID) float64 {
	for i := range c.images {
		if c.images[i].id == id {
			return c.images[i].gb
		}
	}
	return 0
}

// All yields the cached images, the least recently used first.
func (c *ImageCache) All(yield func(ImageID) bool) {
	for i := range c.images {
		if !yield(c.images[i].id) {
			return
		}
	}
}

// ImageCounts counts the attempts on a machine by the image that they need.
type ImageCounts []imageCount

type imageCount struct{ id, count int32 }

// Add adds by, which may be negative, to the count of an image.
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
