package balance

import (
	"math"
	"time"
)

// Parameters of the estimation of machine speeds from run times.
const (
	maxSampleDeviation = math.Ln2 // bound of the logarithmic deviation of a single sample: a factor of 2
	sampleDecay        = 0.9      // factor by which each new sample reduces the weight of the earlier ones
	priorWeight        = 4        // weight of the assumption that a machine is as fast as others, in samples
	minJobSamples      = 3        // completed tasks of a job before its samples are compared with its own mean
	meanSmoothing      = 0.1      // weight of a new sample in a mean of at least 1/meanSmoothing samples
)

// RunTimes is the mean of the logarithm of run time divided by estimate, over similar tasks.
type RunTimes struct {
	mean  float64
	count int
}

// add adds a sample to the mean. It returns the deviation of the sample from the earlier mean, clamped
// to maxSampleDeviation in either direction. Only the clamped deviation enters the mean.
func (r *RunTimes) add(x float64) float64 {
	if r.count == 0 {
		r.mean = x
	}
	deviation := min(max(x-r.mean, -maxSampleDeviation), maxSampleDeviation)
	r.count++
	r.mean += deviation * max(meanSmoothing, 1/float64(r.count))
	return deviation
}

// Speed compares a machine's run times with those of other machines. It holds the decaying sum of the
// logarithmic deviations of the samples, and the sum of their weights.
type Speed struct{ sum, weight float64 }

// Observe adds the run time of a completed task to the speed, and to job, the run times of its job,
// and class, those of its class on the same machine type.
func (s *Speed) Observe(run, estimate time.Duration, job, class *RunTimes) {
	if run <= 0 || estimate <= 0 {
		return
	}
	x := math.Log(run.Seconds() / estimate.Seconds())
	classDeviation := class.add(x)
	jobMeanKnown := job.count >= minJobSamples
	deviation := job.add(x)
	if !jobMeanKnown {
		// The deviation may be an error of the estimate, which is often wrong by half for all tasks
		// of a job, so only half of it counts.
		deviation = classDeviation / 2
	}
	s.sum = s.sum*sampleDecay + deviation
	s.weight = s.weight*sampleDecay + 1
}

// Slowdown returns the factor by which tasks run longer on the machine than on others. It is close to
// 1 while there are few samples.
func (s *Speed) Slowdown() float64 { return math.Exp(s.sum / (s.weight + priorWeight)) }
