package queue

import "time"

// Corrections are the factors by which tasks of each class run longer than their owners'
// estimates: on some days those are mostly too high or too low. A class that is absent counts
// as 1.
type Corrections map[string]float64

const (
	correctionSmoothing = 0.05 // of a run time, in the factor
	// Single run times count within these bounds.
	minCorrection, maxCorrection = 0.2, 5
)

// Factor is the factor of a class.
func (c Corrections) Factor(class string) float64 {
	if f, ok := c[class]; ok {
		return f
	}
	return 1
}

// Observe takes a completed task's run time into its class's factor. estimate must be above
// zero.
func (c Corrections) Observe(class string, runtime, estimate time.Duration) {
	ratio := float64(runtime) / float64(estimate)
	c[class] = c.Factor(class)*(1-correctionSmoothing) + min(max(ratio, minCorrection), maxCorrection)*correctionSmoothing
}
