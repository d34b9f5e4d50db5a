package simulator

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/protocol"
)

// TestChaos injects random faults while random jobs run, then ends all faults. No invariant may be
// violated on the way. Soon after the faults have ended every controller that is up must answer
// for every job that was accepted and not cancelled, no class, team or large job may be starved,
// and in the end all jobs must be done, with no task left running. CHAOS_SEEDS sets the number of
// runs; each has its own seed.
func TestChaos(t *testing.T) {
	runs := 24
	if s := os.Getenv("CHAOS_SEEDS"); s != "" {
		runs, _ = strconv.Atoi(s)
	}
	for seed := range runs {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, chaosOptions{seed: uint64(seed)})
		})
	}
}

// TestChaosBalance is TestChaos with balancing on, while teams have surges; half of the runs have
// shards. CHAOS_BALANCE sets the number of runs, and CHAOS_BALANCE_FLEETS the number of further
// runs with a thousand machines.
func TestChaosBalance(t *testing.T) {
	runs, fleets := 12, 0
	if s := os.Getenv("CHAOS_BALANCE"); s != "" {
		runs, _ = strconv.Atoi(s)
	}
	if s := os.Getenv("CHAOS_BALANCE_FLEETS"); s != "" {
		fleets, _ = strconv.Atoi(s)
	}
	for seed := range runs + fleets {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, chaosOptions{seed: uint64(seed), fleet: seed >= runs, shards: seed % 2, balance: true})
		})
	}
}

// TestChaosFleet is TestChaos with a thousand machines and tens of thousands of tasks, where a
// fault may affect up to a third of the machines at once. CHAOS_FLEETS sets the number of runs.
func TestChaosFleet(t *testing.T) {
	runs := 1
	if s := os.Getenv("CHAOS_FLEETS"); s != "" {
		runs, _ = strconv.Atoi(s)
	}
	for seed := range runs {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, chaosOptions{seed: uint64(seed), fleet: true})
		})
	}
}

// TestChaosShards is TestChaos with the machines divided into shards, while controllers are also
// drained. CHAOS_SHARDS sets the number of runs, and CHAOS_SHARD_FLEETS the number of further runs
// with a thousand machines.
func TestChaosShards(t *testing.T) {
	runs, fleets := 12, 0
	if s := os.Getenv("CHAOS_SHARDS"); s != "" {
		runs, _ = strconv.Atoi(s)
	}
	if s := os.Getenv("CHAOS_SHARD_FLEETS"); s != "" {
		fleets, _ = strconv.Atoi(s)
	}
	for seed := range runs {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, chaosOptions{seed: uint64(seed), shards: 1 + seed%3})
		})
	}
	for seed := range fleets {
		t.Run(fmt.Sprint("fleet", seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, chaosOptions{seed: uint64(seed), fleet: true, shards: 1 + seed%3})
		})
	}
}

// chaosOptions are the options of a chaos run.
type chaosOptions struct {
	seed    uint64
	fleet   bool // a thousand machines
	shards  int  // per controller; 0 without sharding
	balance bool // balancing is on, and teams have surges
}

// chaosRun is the state of a chaos run.
type chaosRun struct {
	t               *testing.T
	options         chaosOptions
	rng             *rand.Rand
	cluster         *Cluster
	zones           []string
	scale           int      // factor for the number of tasks
	failingJobOneIn int      // one job in so many fails on every machine
	submitted       int      // number of submitted jobs
	accepted        []string // IDs of accepted jobs
	recurringFaults []int    // indexes in chaosFaults of three kinds, of which most faults are; nil: all kinds are equally likely
}

func runChaos(t *testing.T, opts chaosOptions) {
	r := newChaosRun(t, opts)
	for range 60 {
		r.step()
	}
	r.heal()
	for _, u := range r.cluster.Unanswered() {
		t.Errorf("not answered after all faults have ended: %s", u)
	}
	r.cancelEndlessJobs()
	r.cluster.BeginQuiescence()
	r.cluster.Advance(10 * time.Minute)
	r.checkFinalState()
}

func newChaosRun(t *testing.T, opts chaosOptions) *chaosRun {
	rng := rand.New(rand.NewPCG(opts.seed, 99))
	zones := [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}}[rng.IntN(3)]
	o := Options{Seed: opts.seed, Controllers: 3, Zones: zones, Machines: 3 + rng.IntN(4), Capacity: 3 + rng.IntN(8), ShardsPerController: opts.shards}
	if opts.balance {
		o.Balance, o.Headroom = chaosBalanceSettings(opts.seed)
	}
	if os.Getenv("SCENARIO_LOG") != "" {
		o.Log = os.Stderr
	}
	scale := 1
	if opts.fleet {
		o.LargeFleet, o.Machines, o.Capacity, scale = true, 1000, 300, 100
	}
	o.Digest = newDigest(t)
	c := New(o)
	c.duplicateCommands = rng.IntN(2) == 0
	if rng.IntN(2) == 0 {
		c.duplicateHeartbeatDelay = time.Duration(2+rng.IntN(45)) * time.Second
	}
	r := &chaosRun{t: t, options: opts, rng: rng, cluster: c, zones: zones, scale: scale, failingJobOneIn: []int{15, 15, 3}[rng.IntN(3)]}
	c.Advance(3 * time.Second)
	// In half of the runs three kinds of fault occur over and over, so that they often coincide.
	if rng.IntN(2) == 0 {
		kinds := len(chaosFaults)
		r.recurringFaults = []int{rng.IntN(kinds), rng.IntN(kinds), rng.IntN(kinds)}
	}
	return r
}

// chaosBalanceSettings returns the settings of a run with balancing on.
func chaosBalanceSettings(seed uint64) (b *config.Balance, headroom float64) {
	b = &config.Balance{CeilingShare: []float64{0.25, 0.5, 0.75}[seed%3], MaxFetchBacklogSeconds: 2 + float64(seed%5), LoadPenaltySeconds: float64(seed % 4), MigrationMargin: 1.5}
	if seed%4 < 3 {
		b.AllowMigrations, b.LoadPenaltySeconds, headroom = true, 30, float64(seed%3)*2
	}
	return b, headroom
}

// submit submits a random job after change has adapted it.
func (r *chaosRun) submit(change func(*protocol.Job)) {
	r.submitted++
	rng := r.rng
	spec := protocol.Job{ID: fmt.Sprintf("run-%06d", r.submitted), Class: []string{"one", "two"}[rng.IntN(2)], Team: []string{"red", "blue", "guest"}[rng.IntN(3)],
		Kind: protocol.Batch, Priority: protocol.Priority(1 + rng.IntN(4)), Tasks: (1 + rng.IntN(9)) * r.scale, CPUs: float64(1 + rng.IntN(2)),
		MemoryGB: 2, Image: fmt.Sprintf("img-%d", rng.IntN(4)), ImageGB: 0.5 + rng.Float64(), AllowSpot: rng.IntN(2) == 0,
		Spread: rng.IntN(5) == 0 && len(r.zones) > 1, OneZone: rng.IntN(5) == 0}
	run := time.Duration(2+rng.IntN(25)) * time.Second
	spec.EstimatedRuntime = run
	switch rng.IntN(6) {
	case 0:
		spec.Kind = protocol.Service
	case 1:
		spec.CheckpointInterval, spec.CheckpointDuration = 5*time.Second, 2*time.Second
	}
	change(&spec)
	id := spec.ID
	r.cluster.Submit(rng.IntN(3), spec, run, rng.IntN(r.failingJobOneIn) == 0, func(status int, _ string) {
		if status == 200 || status == 201 {
			r.accepted = append(r.accepted, id)
		}
	})
}

// faultTargets draws the running machines that a fault affects: one, or in a large fleet up to a
// third.
func (r *chaosRun) faultTargets() []*machine {
	var up []*machine
	for _, h := range r.cluster.cloud.machines {
		if h.agent != nil && !h.agent.dead {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil
	}
	first, count := r.rng.IntN(len(up)), 1
	if r.options.fleet {
		count = 1 + r.rng.IntN(1+len(up)/3)
	}
	return up[first:min(first+count, len(up))]
}

// afterRandomDelay runs f after half a second and up to maxSeconds more.
func (r *chaosRun) afterRandomDelay(maxSeconds int, f func()) {
	r.cluster.after(time.Duration(500+r.rng.IntN(maxSeconds*1000))*time.Millisecond, f)
}

// injectFault injects one random fault, while earlier ones may still last.
func (r *chaosRun) injectFault() {
	kind := r.rng.IntN(len(chaosFaults))
	if r.recurringFaults != nil && r.rng.IntN(8) != 0 {
		kind = r.recurringFaults[r.rng.IntN(len(r.recurringFaults))]
	}
	n := r.cluster.controllers[r.rng.IntN(3)]
	if i := r.cluster.Leader(); i >= 0 && r.rng.IntN(3) == 0 {
		n = r.cluster.controllers[i]
	}
	chaosFaults[kind](r, n)
}

// resetPeerLinksAndCutWorkers makes controllers refuse each other's connections, and cuts the leader
// from its workers meanwhile or soon after.
func (r *chaosRun) resetPeerLinksAndCutWorkers() {
	c := r.cluster
	for _, n := range c.controllers {
		for _, p := range c.controllers {
			if n != p {
				c.ResetOneWay(n.name, p.name)
			}
		}
	}
	r.afterRandomDelay(30, c.Heal)
	r.afterRandomDelay(35, func() {
		i := c.Leader()
		if i < 0 {
			return
		}
		for _, h := range c.cloud.machines {
			c.Cut(c.controllers[i].name, h.name, r.rng.IntN(2) == 0)
		}
		r.afterRandomDelay(40, c.Heal)
	})
}

// startSurge submits at least twice as much work of a team as it has unfinished, and checks the
// team's ceiling from 2 s to 8 s later if after the 2 s the leader is still the same.
func (r *chaosRun) startSurge() {
	c := r.cluster
	team := []string{"red", "blue"}[r.rng.IntN(2)]
	backlogCPUs := 8.0
	for _, j := range c.jobs {
		if j.spec.Team == team && j.reportedState == 0 && !j.cancelRequested {
			backlogCPUs += j.spec.CPUs * float64(j.spec.Tasks-len(j.completed))
		}
	}
	if backlogCPUs > 60*float64(r.scale) {
		return // the team has more than enough work
	}
	for range 4 {
		r.submit(func(j *protocol.Job) {
			j.Kind, j.Team, j.Priority, j.CPUs = protocol.Batch, team, protocol.Standard, 1
			j.Tasks = max(j.Tasks, int(backlogCPUs/2))
		})
	}
	leader := c.Leader()
	c.after(2*time.Second, func() {
		if leader >= 0 && c.Leader() == leader {
			c.SetCeilingCheck(team, c.operator.Balance.CeilingShare)
		}
	})
	c.after(8*time.Second, func() { c.SetCeilingCheck(team, 0) })
}

// drainAndReplace drains a controller, and later ends its process and starts it again.
func (r *chaosRun) drainAndReplace() {
	n := r.cluster.controllers[r.rng.IntN(len(r.cluster.controllers))]
	if n.core == nil {
		return
	}
	n.runWhenIdle(func() { n.applyEffects(n.core.Drain(r.cluster.now)) })
	r.afterRandomDelay(20, func() {
		n.crash()
		r.afterRandomDelay(4, func() {
			if n.core == nil {
				n.start()
			}
		})
	})
}

// step advances the clock by some seconds, then sends random user requests and injects faults.
func (r *chaosRun) step() {
	rng, c := r.rng, r.cluster
	if r.options.balance && r.submitted < 300 && rng.IntN(10) == 0 {
		r.startSurge()
	}
	if r.options.shards > 0 && rng.IntN(12) == 0 {
		r.resetPeerLinksAndCutWorkers()
	}
	if r.options.shards > 0 && rng.IntN(4) == 0 {
		r.drainAndReplace()
	}
	c.Advance(time.Duration(200+rng.IntN(5000)) * time.Millisecond)
	for range rng.IntN(3) {
		r.submit(func(*protocol.Job) {})
	}
	if len(r.accepted) > 0 && rng.IntN(4) == 0 {
		c.CancelJob(rng.IntN(3), r.accepted[rng.IntN(len(r.accepted))], func(int, string) {})
	}
	if r.submitted > 0 {
		c.Query(rng.IntN(3), fmt.Sprintf("run-%06d", 1+rng.IntN(r.submitted)), func(int, string) {})
	}
	r.injectFaults([]int{1, 1, 1, 2, 2, 3}[rng.IntN(6)])
}

// injectFaults injects some faults, each right after the previous one or up to 1.2 s later.
func (r *chaosRun) injectFaults(count int) {
	for range count {
		r.injectFault()
		if r.rng.IntN(2) == 0 { // otherwise the next fault is injected at the same time
			r.cluster.Advance(time.Duration(r.rng.IntN(1200)) * time.Millisecond)
		}
		if len(r.accepted) > 0 && r.recurringFaults != nil && r.rng.IntN(3) == 0 {
			r.cluster.retryCancel(r.accepted[r.rng.IntN(len(r.accepted))])
		}
	}
}

// heal lets temporary faults run out, ends all others, and starts the controllers that are down.
func (r *chaosRun) heal() {
	c := r.cluster
	c.Advance(45 * time.Second)
	c.Heal()
	c.state.setOutage(false)
	c.state.readmit()
	c.state.commitDelay, c.state.delayedCommitShare, c.cloud.requestDelay, c.cloud.outage, c.duplicateHeartbeatDelay = 0, 0, 0, false, 0
	c.cloud.bootTimeFactor, c.cloud.bootFailureShare, c.cloud.replyDelay = 0, 0, 0
	c.state.lostReplyShare, c.state.slowRequestShare, c.staleHeartbeatShare, c.cancelOnCompletionShare, c.queriesAfterChange, c.triggers = 0, 0, 0, 0, false, nil
	for _, h := range c.cloud.machines {
		if h.agent != nil {
			h.agent.heartbeatsLost = false
		}
	}
	for _, n := range c.controllers {
		n.thaw()
		if n.core == nil {
			n.start()
		}
	}
	c.Advance(20 * time.Second)
}

// cancelEndlessJobs cancels jobs that would not end by themselves: services, and jobs that fail on
// every machine. It goes through all submitted jobs, as a job may have been accepted although the
// response to its submission was lost.
func (r *chaosRun) cancelEndlessJobs() {
	for i := range r.submitted {
		id := fmt.Sprintf("run-%06d", i+1)
		r.cluster.Advance(50 * time.Millisecond) // slow enough for the rate limit of the state service
		if j := r.cluster.jobs[id]; j.spec.Kind == protocol.Service || j.alwaysFails {
			r.cluster.CancelJob(0, id, func(status int, state string) {
				if status != 200 && (status != 404 || j.accepted) {
					r.t.Errorf("cancellation of %s: %d %s, want 200", id, status, state)
				}
			})
		}
	}
}

// checkFinalState checks what must hold after all faults have ended: no class or team is starved,
// every accepted job has a final state, no task runs, and no invariant was violated.
func (r *chaosRun) checkFinalState() {
	t, c := r.t, r.cluster
	for _, starved := range c.Starved() {
		if !strings.Contains(starved, "waited") { // during minutes of faults any job may wait long
			t.Error(starved)
		}
	}
	for _, unanswered := range c.LongUnanswered() {
		t.Log(unanswered) // not an error: it may happen during the faults
	}
	for _, id := range r.accepted {
		// Slow enough for the rate limit of the state service: a controller that doesn't know the
		// outcome of a job reads it there, and thousands of such reads at once would be refused.
		c.Advance(25 * time.Millisecond)
		c.Query(0, id, func(status int, text string) {
			if status != 200 || !strings.HasPrefix(text, "done") && !strings.HasPrefix(text, "aborted") {
				t.Errorf("final query for %s: %d %s, want 200 and a final state", id, status, text)
			}
		})
	}
	c.Advance(10 * time.Second)
	for id, j := range c.jobs {
		if len(j.runningOn) > 0 {
			t.Errorf("%s still has %d running tasks", id, len(j.runningOn))
		}
	}
	for _, violation := range c.Violations() {
		t.Error(violation)
	}
	if r.options.balance {
		t.Log(c.Migrations())
	}
}
