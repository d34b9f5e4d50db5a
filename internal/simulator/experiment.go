package simulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"brasskeel/internal/config"
	"brasskeel/internal/protocol"
)

// Experiment is a random load that is run in simulated time, without and with balancing.
type Experiment struct {
	Name     string           `json:"name"`
	Machines int              `json:"machines"` // at the start; also the capacity per machine type, zone, and on-demand or spot
	Seconds  int              `json:"seconds"`
	Seeds    int              `json:"seeds"`
	Teams    []ExperimentTeam `json:"teams"`
	Surges   []Surge          `json:"surges"`
	Balance  json.RawMessage  `json:"balance"` // the operators' balance setting; it is compared with no balancing
}

// ExperimentTeam is the load of one team: jobs arrive in a Poisson process, run times have a
// lognormal distribution, and images are drawn by popularity.
type ExperimentTeam struct {
	Team              string  `json:"team"`
	JobsPerSecond     float64 `json:"jobsPerSecond"`
	Tasks             int     `json:"tasks"` // mean per job
	CPUs              float64 `json:"cpus"`
	RunSeconds        float64 `json:"runSeconds"`     // median
	RunSpread         float64 `json:"runSpread"`      // standard deviation of the logarithm
	EstimateSpread    float64 `json:"estimateSpread"` // standard deviation of the logarithm of the estimate's ratio to the run time
	CheckpointSeconds float64 `json:"saveSeconds"`    // duration of a checkpoint; 0: tasks write none
	Images            int     `json:"images"`
	ImageGB           float64 `json:"imageGb"`
	Popularity        float64 `json:"popularity"` // exponent: image number n is used in proportion to n^-Popularity
}

// Surge is a period in which a team's jobs arrive Factor times as often.
type Surge struct {
	Team   string  `json:"team"`
	From   float64 `json:"from"`  // seconds after the start
	Until  float64 `json:"until"` // seconds after the start
	Factor float64 `json:"times"`
}

// ParseExperiment parses an experiment file. An error names the invalid field.
func ParseExperiment(raw []byte) (*Experiment, error) {
	e := &Experiment{}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("experiment: more than one JSON value")
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return e, nil
}

func (e *Experiment) check() error {
	if e.Name == "" {
		return fmt.Errorf("name is missing")
	}
	for _, f := range []struct {
		name           string
		value, maximum int
	}{{"machines", e.Machines, 10_000}, {"seconds", e.Seconds, 86_400}, {"seeds", e.Seeds, 1000}} {
		if f.value < 1 || f.value > f.maximum {
			return fmt.Errorf("%s is %d, must be 1 to %d", f.name, f.value, f.maximum)
		}
	}
	if len(e.Teams) == 0 {
		return fmt.Errorf("teams is empty")
	}
	known := map[string]bool{}
	for i := range e.Teams {
		if err := e.Teams[i].check(); err != nil {
			return fmt.Errorf("teams[%d].%w", i, err)
		}
		known[e.Teams[i].Team] = true
	}
	for i, s := range e.Surges {
		switch {
		case !known[s.Team]:
			return fmt.Errorf("surges[%d].team %q is not one of the teams", i, s.Team)
		case s.From < 0 || !(s.Until > s.From) || s.Until > float64(e.Seconds):
			return fmt.Errorf("surges[%d].until must be above from and at most the experiment's seconds, and from must not be negative", i)
		case !(s.Factor > 0) || s.Factor > 1000:
			return fmt.Errorf("surges[%d].times is %g, must be above 0 and at most 1000", i, s.Factor)
		}
	}
	_, err := e.balance()
	return err
}

func (t *ExperimentTeam) check() error {
	if !slices.Contains([]string{"red", "blue", "guest"}, t.Team) {
		return fmt.Errorf("team is %q, must be red, blue or guest", t.Team)
	}
	for _, f := range []struct {
		name             string
		value            float64
		minimum, maximum float64
	}{
		{"jobsPerSecond", t.JobsPerSecond, 1e-6, 1000}, {"tasks", float64(t.Tasks), 1, protocol.MaxTasks}, {"cpus", t.CPUs, 1e-3, 16},
		{"runSeconds", t.RunSeconds, 0.1, 86_400}, {"runSpread", t.RunSpread, 0, 3}, {"estimateSpread", t.EstimateSpread, 0, 3},
		{"saveSeconds", t.CheckpointSeconds, 0, 3600}, {"images", float64(t.Images), 1, 100_000}, {"imageGb", t.ImageGB, 0, 10}, {"popularity", t.Popularity, 0, 10},
	} {
		if !(f.value >= f.minimum) || f.value > f.maximum {
			return fmt.Errorf("%s is %g, must be %g to %g", f.name, f.value, f.minimum, f.maximum)
		}
	}
	return nil
}

// balance returns the balance setting of the experiment.
func (e *Experiment) balance() (*config.Balance, error) {
	if len(e.Balance) == 0 {
		return nil, fmt.Errorf("balance is missing")
	}
	o := config.DefaultOperator()
	if err := config.ParseOperator(fmt.Appendf(nil, `{"balance": %s}`, e.Balance), &o); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	if o.Balance == nil {
		return nil, fmt.Errorf("balance is missing")
	}
	return o.Balance, nil
}

// Outcome is the result of an experiment with one setting, over all seeds. Jobs, Done and Migrations
// are sums over the seeds, MigrationsPerJob is the quotient of such sums, Waits holds quantiles over
// the jobs of all seeds, Violations lists those of all seeds, and the other figures are means of
// the seeds.
type Outcome struct {
	Setting string `json:"setting"`
	// MaxLoad, P99Load and MeanLoad are the maximum, 99th percentile and mean of the machines'
	// loads in each second. A load is the used share of a machine.
	MaxLoad  []float64 `json:"hottest"`
	P99Load  []float64 `json:"high"`
	MeanLoad []float64 `json:"mean"`
	// AboveCeilingShare is the share of all machines' time in which a team that surges at any
	// time of the experiment uses more of a machine than the ceiling, with more than one task: a
	// single task may exceed it. Without balancing, the ceiling of the experiment's setting is
	// the measure too.
	AboveCeilingShare float64 `json:"teamAboveCeiling"`

	Jobs             int                  `json:"jobs"`
	Done             int                  `json:"done"`
	Migrations       int                  `json:"moves"` // counted by the migration marks in the records
	MigrationsPerJob float64              `json:"movesPerJob"`
	WastedCPUSeconds float64              `json:"wastedCpuSeconds"` // CPU time of work whose result was lost
	ImageHitRate     float64              `json:"placedOnHolders"`  // share of starts on machines that had the image
	FetchedGB        float64              `json:"fetchedGb"`
	StateWrites      int                  `json:"changes"` // writes (puts and deletes) in transactions that the state service did not rate-limit
	Waits            map[string]WaitTimes `json:"waits"`   // from submission to the first start of a task, by team
	Violations       []string             `json:"broken,omitempty"`
}

// WaitTimes are quantiles of the time until a team's jobs started, in seconds.
type WaitTimes struct {
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
}

// placements counts starts of tasks, and those on machines that had the image.
type placements struct{ starts, imageHits int }

func (p placements) hitRate() float64 { return float64(p.imageHits) / float64(max(1, p.starts)) }

// recordWastedWork adds the work that is lost when a batch task ends before it is complete. If it
// was checkpointed, only the time for writing the checkpoint counts.
func (c *Cluster) recordWastedWork(t *attempt) {
	j := c.jobs[t.job]
	switch {
	case j.completed[t.taskIndex] || j.spec.Kind != protocol.Batch:
	case t.checkpointed:
		c.wastedCPUSeconds += j.spec.CheckpointDuration.Seconds() * j.spec.CPUs
	default:
		c.wastedCPUSeconds += c.now.Sub(t.startedAt).Seconds() * j.spec.CPUs
	}
}

// machineLoads returns the maximum, 99th percentile and mean of the used shares of all running
// machines.
func (c *Cluster) machineLoads() (highest, p99, mean float64) {
	var list []float64
	for _, m := range c.cloud.machines {
		a := m.agent
		if a == nil || a.dead {
			continue
		}
		var taken resources
		for _, t := range a.tasks {
			if j := c.jobs[t.job]; j != nil && t.state != protocol.Exited {
				taken.cpus += j.spec.CPUs
				taken.mem += j.spec.MemoryGB
			}
		}
		load := machineShare(a, taken, resources{})
		list = append(list, load)
		mean += load
	}
	if len(list) == 0 {
		return 0, 0, 0
	}
	slices.Sort(list)
	return list[len(list)-1], list[(len(list)-1)*99/100], mean / float64(len(list))
}

// shareAboveCeiling returns the share of running machines of which a team that surges at any time
// uses more than the ceiling, with more than one task.
func (c *Cluster) shareAboveCeiling(surges []Surge, ceiling float64) float64 {
	up, above := 0, 0
	for _, m := range c.cloud.machines {
		a := m.agent
		if a == nil || a.dead {
			continue
		}
		up++
		if slices.ContainsFunc(surges, func(s Surge) bool {
			taken, tasks := a.teamUsage(s.Team)
			return tasks > 1 && machineShare(a, taken, resources{}) > ceiling+protocol.Epsilon
		}) {
			above++
		}
	}
	return float64(above) / float64(max(1, up))
}

// Run runs the experiment without and with its balance setting. It calls progress after each seed.
func (e *Experiment) Run(ctx context.Context, progress func(setting string, seed, seeds int)) ([]Outcome, error) {
	b, err := e.balance()
	if err != nil {
		return nil, err
	}
	var outcomes []Outcome
	for _, s := range []struct {
		name    string
		balance *config.Balance
	}{{"off", nil}, {"on", b}} {
		o := Outcome{Setting: s.name, Waits: map[string]WaitTimes{}, MaxLoad: make([]float64, e.Seconds), P99Load: make([]float64, e.Seconds), MeanLoad: make([]float64, e.Seconds)}
		waits := map[string]*hdrhistogram.Histogram{}
		for seed := range e.Seeds {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			e.runSeed(uint64(seed+1), s.balance, b.CeilingShare, &o, waits)
			progress(s.name, seed+1, e.Seeds)
		}
		e.average(&o, waits)
		outcomes = append(outcomes, o)
	}
	return outcomes, nil
}

// settleTime is how long the simulation continues after the period in which jobs arrive.
const settleTime = 2 * time.Minute

// runSeed runs the experiment with one seed and adds its results to o and waits. The writes and
// fetches of the first six seconds, in which a leader is elected, are not counted.
func (e *Experiment) runSeed(seed uint64, b *config.Balance, ceiling float64, o *Outcome, waits map[string]*hdrhistogram.Histogram) {
	c := New(Options{Seed: seed, Controllers: 3, Machines: e.Machines, Capacity: e.Machines, LargeFleet: true, Balance: b})
	c.Advance(6 * time.Second)
	e.scheduleJobs(c, rand.New(rand.NewPCG(seed, 17)))
	c.state.writes, c.fetchedGB = 0, 0
	above := 0.0
	for second := range e.Seconds {
		c.Advance(time.Second)
		above += c.shareAboveCeiling(e.Surges, ceiling)
		highest, p99, mean := c.machineLoads()
		o.MaxLoad[second] += highest
		o.P99Load[second] += p99
		o.MeanLoad[second] += mean
	}
	c.Advance(settleTime)
	for _, j := range c.jobs {
		o.Jobs++
		if len(j.completed) == j.spec.Tasks {
			o.Done++
		}
		if j.firstStartAt.IsZero() {
			continue
		}
		h := waits[j.spec.Team]
		if h == nil {
			h = newDurationHistogram()
			waits[j.spec.Team] = h
		}
		_ = h.RecordValue(min(j.firstStartAt.Sub(j.submittedAt).Milliseconds(), 600_000)) // never fails: the value is within the histogram's range
	}
	o.AboveCeilingShare += above / float64(e.Seconds)
	o.Migrations += len(c.migrations.markCounts)
	o.WastedCPUSeconds += c.wastedCPUSeconds
	o.ImageHitRate += c.placements.hitRate()
	o.FetchedGB += c.fetchedGB
	o.StateWrites += c.state.writes
	o.Violations = append(o.Violations, c.Violations()...)
}

// scheduleJobs draws the jobs of all teams and schedules their submission.
func (e *Experiment) scheduleJobs(c *Cluster, rng *rand.Rand) {
	number := 0
	for i := range e.Teams {
		t := &e.Teams[i]
		gaps := distuv.Exponential{Rate: t.JobsPerSecond, Src: rng}
		tasks := distuv.Poisson{Lambda: float64(t.Tasks - 1), Src: rng}
		runTimes := distuv.LogNormal{Sigma: t.RunSpread, Src: rng}
		estimateErrors := distuv.LogNormal{Sigma: t.EstimateSpread, Src: rng}
		images := distuv.NewCategorical(popularityWeights(t.Images, t.Popularity), rng)
		for at := gaps.Rand() / e.surgeFactor(t.Team, 0); at < float64(e.Seconds); at += gaps.Rand() / e.surgeFactor(t.Team, at) {
			number++
			run := time.Duration(t.RunSeconds * runTimes.Rand() * float64(time.Second))
			spec := protocol.Job{ID: fmt.Sprintf("run-%06d", number), Class: t.Team, Team: t.Team, Kind: protocol.Batch, Priority: protocol.Standard,
				Tasks: 1, CPUs: t.CPUs, MemoryGB: 1, Image: fmt.Sprintf("img-%s-%d", t.Team, int(images.Rand())), ImageGB: t.ImageGB,
				EstimatedRuntime: time.Duration(float64(run) * estimateErrors.Rand())}
			if t.Tasks > 1 {
				spec.Tasks += int(tasks.Rand())
			}
			if t.CheckpointSeconds > 0 {
				spec.CheckpointInterval, spec.CheckpointDuration = 5*time.Second, time.Duration(t.CheckpointSeconds*float64(time.Second))
			}
			c.after(time.Duration(at*float64(time.Second)), func() {
				c.retryUntilAnswered(func(controller int, done func(int, string)) { c.Submit(controller, spec, run, false, done) })
			})
		}
	}
}

// surgeFactor returns the factor by which a team's jobs arrive more often at the given second.
func (e *Experiment) surgeFactor(team string, at float64) float64 {
	factor := 1.0
	for _, s := range e.Surges {
		if s.Team == team && at >= s.From && at < s.Until {
			factor *= s.Factor
		}
	}
	return factor
}

// popularityWeights returns the relative frequencies with which images are used, highest first.
func popularityWeights(images int, exponent float64) []float64 {
	weights := make([]float64, images)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
	}
	return weights
}

// average turns sums over the seeds into means, and computes the migrations per job and the wait
// times.
func (e *Experiment) average(o *Outcome, waits map[string]*hdrhistogram.Histogram) {
	seeds := float64(e.Seeds)
	for i := range o.MaxLoad {
		o.MaxLoad[i] /= seeds
		o.P99Load[i] /= seeds
		o.MeanLoad[i] /= seeds
	}
	o.AboveCeilingShare /= seeds
	o.WastedCPUSeconds /= seeds
	o.ImageHitRate /= seeds
	o.FetchedGB /= seeds
	o.StateWrites /= e.Seeds
	o.MigrationsPerJob = float64(o.Migrations) / float64(max(1, o.Jobs))
	for team, h := range waits {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		o.Waits[team] = WaitTimes{Median: at(50), P99: at(99)}
	}
}
