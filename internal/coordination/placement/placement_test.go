package placement

import "testing"

// The least recently used image is evicted.
func TestImageCache(t *testing.T) {
	var c ImageCache
	const a, b, d, e = 1, 2, 3, 4
	c.Add(a, 1, 3)
	c.Add(b, 1, 3)
	c.Add(d, 1, 3)
	c.Add(a, 1, 3) // used again: b is now the least recently used
	c.Add(e, 1, 3)
	for image, want := range map[int32]float64{a: 1, b: 0, d: 1, e: 1} {
		if got := c.CachedGB(image); got != want {
			t.Errorf("image %d: %g GB cached, want %g", image, got, want)
		}
	}
}
