package queue

import "time"

// Corrections are the factors by which the run times of each class's tasks differ from the users'
// estimates, by class. For a whole day, the estimates may be too high, or too low, for most tasks. The
// factor of a class that is absent is 1.
type Corrections map[string]float64

const (
	correctionSmoothing = 0.05 // weight of a new run time in the moving average
	// The ratio of a single run time to its estimate is clamped to these bounds.
	minCorrection, maxCorrection = 0.2, 5
)

// Factor returns the factor of a class.
func (c Corrections) Factor(class string) float64 {
	if f, ok := c[class]; ok {
		return f
	}
	return 1
}

// Observe updates the factor of a class with the run time of a completed task and the user's estimate,
// which must be positive.
func (c Corrections) Observe(class string, runtime, estimate time.Duration) {
	ratio := float64(runtime) / float64(estimate)
	c[class] = c.Factor(class)*(1-correctionSmoothing) + min(max(ratio, minCorrection), maxCorrection)*correctionSmoothing
}
