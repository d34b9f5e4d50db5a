package balance

import (
	"math"
	"time"
)

// Bounds of what run times tell.
const (
	maxSample   = math.Ln2 // the most that one sample counts for, as a logarithm
	sampleFades = 0.9      // what is left of a sample's weight with the next one
	priorWeight = 4        // samples of the usual speed that are added
	ownMean     = 3        // tasks of a job after which its own run times count
	meanFollows = 0.1      // of a sample, in the mean that others are compared with
)

// Runs are the run times of one kind of tasks, as logarithms.
type Runs struct {
	mean  float64
	count int
}

// add takes a sample and returns by how much it is above the mean before.
func (r *Runs) add(x float64) float64 {
	if r.count == 0 {
		r.mean = x
	}
	above := min(max(x-r.mean, -maxSample), maxSample)
	r.count++
	r.mean += above * max(meanFollows, 1/float64(r.count))
	return above
}

// Speed is how a machine's run times compare with those of other machines.
type Speed struct{ sum, weight float64 }

// Observe takes a completed task's run time. job holds the times of its job, class those of its
// class on this kind of machine, as parts of their owners' estimates.
func (s *Speed) Observe(run, estimate time.Duration, job, class *Runs) {
	if run <= 0 || estimate <= 0 {
		return
	}
	x := math.Log(run.Seconds() / estimate.Seconds())
	ofClass := class.add(x)
	known := job.count >= ownMean
	above := job.add(x)
	if !known {
		above = ofClass / 2 // an estimate may be wrong by half, for all tasks of the job
	}
	s.sum = s.sum*sampleFades + above
	s.weight = s.weight*sampleFades + 1
}

// Slowness is how many times as long as usual tasks take on the machine; 1 where little is
// known.
func (s *Speed) Slowness() float64 { return math.Exp(s.sum / (s.weight + priorWeight)) }
