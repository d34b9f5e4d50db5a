package balance

import (
	"math"
	"time"
)

// Bounds of what run times tell.
const (
	maxSampleDeviation = math.Ln2 // the most that one sample counts for, as a logarithm
	sampleDecay        = 0.9      // what is left of a sample's weight with the next one
	priorWeight        = 4        // samples of the usual speed that are added
	minJobSamples      = 3        // tasks of a job after which its own run times count
	meanSmoothing      = 0.1      // of a sample, in the mean that others are compared with
)

// RunTimes are the run times of one kind of tasks, as logarithms.
type RunTimes struct {
	mean  float64
	count int
}

// add takes a sample and returns by how much it is above the mean before.
func (r *RunTimes) add(x float64) float64 {
	if r.count == 0 {
		r.mean = x
	}
	above := min(max(x-r.mean, -maxSampleDeviation), maxSampleDeviation)
	r.count++
	r.mean += above * max(meanSmoothing, 1/float64(r.count))
	return above
}

// Speed is how a machine's run times compare with those of other machines.
type Speed struct{ sum, weight float64 }

// Observe takes a completed task's run time. job holds the times of its job, class those of its
// class on this kind of machine, as parts of their owners' estimates.
func (s *Speed) Observe(run, estimate time.Duration, job, class *RunTimes) {
	if run <= 0 || estimate <= 0 {
		return
	}
	x := math.Log(run.Seconds() / estimate.Seconds())
	ofClass := class.add(x)
	known := job.count >= minJobSamples
	above := job.add(x)
	if !known {
		above = ofClass / 2 // an estimate may be wrong by half, for all tasks of the job
	}
	s.sum = s.sum*sampleDecay + above
	s.weight = s.weight*sampleDecay + 1
}

// Slowdown is how many times as long as usual tasks take on the machine; 1 where little is
// known.
func (s *Speed) Slowdown() float64 { return math.Exp(s.sum / (s.weight + priorWeight)) }
