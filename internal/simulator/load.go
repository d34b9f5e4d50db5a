package simulator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// Load is a stream of jobs of one task each.
type Load struct {
	Jobs    int
	Rate    float64       // jobs per second
	RunTime time.Duration // of each task
}

// LoadSummary is the result of a load. Submit and Start are quantiles of the times from the first
// attempt to submit a job until it was accepted and until its task started, for accepted jobs.
type LoadSummary struct {
	Jobs, Accepted, Done int
	Submit, Start        Quantiles
}

// Quantiles are the median and 99th percentile of measured times.
type Quantiles struct{ P50, P99 time.Duration }

func quantiles(times []time.Duration) (q Quantiles) {
	if len(times) == 0 {
		return q
	}
	slices.Sort(times)
	return Quantiles{P50: times[(len(times)-1)*50/100], P99: times[(len(times)-1)*99/100]}
}

// firstLoadJobNumber is the number of a load's first job, chosen to avoid collisions with job IDs
// that people choose.
const firstLoadJobNumber = 700_001

// loadQueryInterval is how often the users of a load query their jobs.
const loadQueryInterval = time.Second

// RunLoad submits jobs to random controllers and waits until all are done or ctx ends.
func (l *Loopback) RunLoad(ctx context.Context, load Load) (LoadSummary, error) {
	accepted := map[string]time.Duration{}
	l.Do(func(c *Cluster) {
		for i := range load.Jobs {
			c.after(time.Duration(float64(i)/load.Rate*float64(time.Second)), func() { c.submitLoadJob(i, load.RunTime, accepted) })
		}
	})
	done := func(c *Cluster) int {
		return len(c.jobsMatching(func(j *userJob) bool { return accepted[j.spec.ID] != 0 && j.reportedState == protocol.Done }))
	}
	err := l.Await(ctx, "all jobs to be done", func(c *Cluster) bool { return done(c) == load.Jobs })
	summary := LoadSummary{Jobs: load.Jobs, Accepted: len(accepted)}
	l.Do(func(c *Cluster) {
		summary.Done = done(c)
		var submit, start []time.Duration
		for id, after := range accepted {
			submit = append(submit, after)
			if j := c.jobs[id]; !j.firstStartAt.IsZero() {
				start = append(start, j.firstStartAt.Sub(j.submittedAt))
			}
		}
		summary.Submit, summary.Start = quantiles(submit), quantiles(start)
	})
	return summary, err
}

// submitLoadJob submits one job of a load and queries it until it is done.
func (c *Cluster) submitLoadJob(number int, run time.Duration, accepted map[string]time.Duration) {
	spec := SampleJob(fmt.Sprintf("run-%06d", firstLoadJobNumber+number), run)
	begin := c.now
	c.retryUntilAnswered(func(controller int, done func(int, string)) {
		c.Submit(controller, spec, run, false, func(status int, state string) {
			if (status == 200 || status == 201) && accepted[spec.ID] == 0 {
				accepted[spec.ID] = c.now.Sub(begin)
				c.QueryUntilDone(spec.ID, loadQueryInterval)
			}
			done(status, state)
		})
	})
}

// SampleJob returns a small batch job of one task, of a team that every simulated cluster has.
func SampleJob(id string, run time.Duration) protocol.Job {
	return protocol.Job{ID: id, Class: "sample", Team: "red", Kind: protocol.Batch, Priority: protocol.Standard, Tasks: 1,
		CPUs: 1, MemoryGB: 1, Image: "img-sample", ImageGB: 0.2, EstimatedRuntime: run}
}
