package balance

import (
	"math"
	"time"
)

// Parameters of the estimation of machine speeds from run times.
const (
	maxSampleDeviation = math.Ln2 // bound of a single sample's logarithmic deviation: a factor of 2
	sampleDecay        = 0.9      // factor by which each new sample reduces the weight of the earlier ones
	priorWeight        = 4        // weight of the prior assumption that a machine is as fast as others, in samples
	minJobSamples      = 3        // completed tasks of a job before its samples are compared with its own mean
	meanSmoothing      = 0.1      // least weight of a new sample in a mean
)

// RunTimes is the mean run time of similar tasks, in relation to the estimates, as a logarithm.
type RunTimes struct {
	mean  float64
	count int
}

// add adds a sample to the mean. It returns the sample's deviation from the mean before, clamped to
// maxSampleDeviation; the mean moves by the clamped deviation.
func (r *RunTimes) add(x float64) float64 {
	if r.count == 0 {
		r.mean = x
	}
	above := min(max(x-r.mean, -maxSampleDeviation), maxSampleDeviation)
	r.count++
	r.mean += above * max(meanSmoothing, 1/float64(r.count))
	return above
}

// Speed compares a machine's run times with those of other machines: it is the decaying sum of the
// samples' deviations and the sum of their weights.
type Speed struct{ sum, weight float64 }

// Observe adds the run time of a completed task. job are the run times of its job, class those of
// its class on the same machine type.
func (s *Speed) Observe(run, estimate time.Duration, job, class *RunTimes) {
	if run <= 0 || estimate <= 0 {
		return
	}
	x := math.Log(run.Seconds() / estimate.Seconds())
	ofClass := class.add(x)
	known := job.count >= minJobSamples
	above := job.add(x)
	if !known {
		above = ofClass / 2 // the estimate may be wrong by half for all tasks of the job
	}
	s.sum = s.sum*sampleDecay + above
	s.weight = s.weight*sampleDecay + 1
}

// Slowdown returns by which factor tasks run longer on the machine than usual; close to 1 while
// there are few samples.
func (s *Speed) Slowdown() float64 { return math.Exp(s.sum / (s.weight + priorWeight)) }
