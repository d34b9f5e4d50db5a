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

// TestChaos plays drawn troubles over drawn jobs, then heals everything: no
// rule may be broken on the way, soon every node that is up must answer for every
// job that was accepted and not cancelled, no class, team or large job may be
// starved, and in the end all must be done, with nothing left running. CHAOS_SEEDS sets how
// many days are played.
func TestChaos(t *testing.T) {
	days := 24
	if s := os.Getenv("CHAOS_SEEDS"); s != "" {
		days, _ = strconv.Atoi(s)
	}
	for seed := range days {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, chaosOptions{seed: uint64(seed)})
		})
	}
}

// TestChaosBalance plays such days with balance on, while teams surge; half of them with
// shards. CHAOS_BALANCE sets how many, and CHAOS_BALANCE_FLEETS how many of them have a
// thousand machines.
func TestChaosBalance(t *testing.T) {
	days, fleets := 12, 0
	if s := os.Getenv("CHAOS_BALANCE"); s != "" {
		days, _ = strconv.Atoi(s)
	}
	if s := os.Getenv("CHAOS_BALANCE_FLEETS"); s != "" {
		fleets, _ = strconv.Atoi(s)
	}
	for seed := range days + fleets {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, chaosOptions{seed: uint64(seed), fleet: seed >= days, shards: seed % 2, balance: true})
		})
	}
}

// TestChaosFleet plays such days with a thousand machines and tens of thousands of
// tasks, where up to a third of the machines meets the same trouble at once.
// CHAOS_FLEETS sets how many.
func TestChaosFleet(t *testing.T) {
	days := 1
	if s := os.Getenv("CHAOS_FLEETS"); s != "" {
		days, _ = strconv.Atoi(s)
	}
	for seed := range days {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, chaosOptions{seed: uint64(seed), fleet: true})
		})
	}
}

// TestChaosShards plays such days with the machines divided into shards, while controllers
// are drained, too. CHAOS_SHARDS sets how many, and CHAOS_SHARD_FLEETS how many of them
// have a thousand machines.
func TestChaosShards(t *testing.T) {
	days, fleets := 12, 0
	if s := os.Getenv("CHAOS_SHARDS"); s != "" {
		days, _ = strconv.Atoi(s)
	}
	if s := os.Getenv("CHAOS_SHARD_FLEETS"); s != "" {
		fleets, _ = strconv.Atoi(s)
	}
	for seed := range days {
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

// chaosOptions is what is to be drawn.
type chaosOptions struct {
	seed    uint64
	fleet   bool // a thousand machines
	shards  int  // per controller
	balance bool // on, and teams surge
}

// chaosRun is a drawn day while it is played.
type chaosRun struct {
	t               *testing.T
	options         chaosOptions
	rng             *rand.Rand
	cluster         *Cluster
	zones           []string
	scale           int      // of tasks and machines
	failingJobOneIn int      // one job in so many fails everywhere
	submitted       int      // of submitted jobs
	accepted        []string // ids
	recurringFaults []int    // the kinds of fault that meet again and again; empty where all are drawn
}

func runChaos(t *testing.T, day chaosOptions) {
	r := newChaosRun(t, day)
	for range 60 {
		r.step()
	}
	r.heal()
	for _, u := range r.cluster.Unanswered() {
		t.Errorf("not answered once all is healed: %s", u)
	}
	r.cancelEndlessJobs()
	r.cluster.BeginQuiescence()
	r.cluster.Advance(10 * time.Minute)
	r.checkFinalState()
}

func newChaosRun(t *testing.T, day chaosOptions) *chaosRun {
	rng := rand.New(rand.NewPCG(day.seed, 99))
	zones := [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}}[rng.IntN(3)]
	o := Options{Seed: day.seed, Controllers: 3, Zones: zones, Machines: 3 + rng.IntN(4), Capacity: 3 + rng.IntN(8), ShardsPerController: day.shards}
	if day.balance {
		o.Balance, o.Headroom = chaosBalanceSettings(day.seed)
	}
	if os.Getenv("SCENARIO_LOG") != "" {
		o.Log = os.Stderr
	}
	scale := 1
	if day.fleet {
		o.LargeFleet, o.Machines, o.Capacity, scale = true, 1000, 300, 100
	}
	o.Digest = newDigest(t)
	c := New(o)
	c.duplicateCommands = rng.IntN(2) == 0
	if rng.IntN(2) == 0 {
		c.duplicateHeartbeatDelay = time.Duration(2+rng.IntN(45)) * time.Second
	}
	r := &chaosRun{t: t, options: day, rng: rng, cluster: c, zones: zones, scale: scale, failingJobOneIn: []int{15, 15, 3}[rng.IntN(3)]}
	c.Advance(3 * time.Second)
	// Half of the days are made of three kinds of fault that meet again and again.
	if rng.IntN(2) == 0 {
		kinds := len(chaosFaults)
		r.recurringFaults = []int{rng.IntN(kinds), rng.IntN(kinds), rng.IntN(kinds)}
	}
	return r
}

// chaosBalanceSettings are the settings of a day with balance on.
func chaosBalanceSettings(seed uint64) (b *config.Balance, headroom float64) {
	b = &config.Balance{CeilingShare: []float64{0.25, 0.5, 0.75}[seed%3], MaxFetchBacklogSeconds: 2 + float64(seed%5), LoadPenaltySeconds: float64(seed % 4), MigrationMargin: 1.5}
	if seed%4 < 3 {
		b.AllowMigrations, b.LoadPenaltySeconds, headroom = true, 30, float64(seed%3)*2
	}
	return b, headroom
}

// submit submits a drawn job, after a change.
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

// faultTargets are those that a fault befalls: one, or in a fleet up to a third.
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

// afterRandomDelay runs f after half a second to that many seconds more.
func (r *chaosRun) afterRandomDelay(most int, f func()) {
	r.cluster.after(time.Duration(500+r.rng.IntN(most*1000))*time.Millisecond, f)
}

// injectFault lets one fault happen, among those that go on.
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

// resetPeerLinksAndCutWorkers lets controllers refuse each other's connections, and the leader lose
// its workers: before, meanwhile, or right after.
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

// startSurge lets a team's work come several times as often for a while, and checks its ceiling
// while the same leader goes on.
func (r *chaosRun) startSurge() {
	c := r.cluster
	team := []string{"red", "blue"}[r.rng.IntN(2)]
	most := 8.0
	for _, j := range c.jobs {
		if j.spec.Team == team && j.reportedState == 0 && !j.cancelRequested {
			most += j.spec.CPUs * float64(j.spec.Tasks-len(j.completed))
		}
	}
	if most > 60*float64(r.scale) {
		return // there is more than enough
	}
	for range 4 {
		r.submit(func(j *protocol.Job) {
			j.Kind, j.Team, j.Priority, j.CPUs = protocol.Batch, team, protocol.Standard, 1
			j.Tasks = max(j.Tasks, int(most/2))
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

// drainAndReplace lets a controller be drained and replaced.
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

// step lets some seconds pass, with drawn requests of users and faults.
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

// injectFaults lets some faults happen, one after the other or at once.
func (r *chaosRun) injectFaults(count int) {
	for range count {
		r.injectFault()
		if r.rng.IntN(2) == 0 { // or in the same moment
			r.cluster.Advance(time.Duration(r.rng.IntN(1200)) * time.Millisecond)
		}
		if len(r.accepted) > 0 && r.recurringFaults != nil && r.rng.IntN(3) == 0 {
			r.cluster.retryCancel(r.accepted[r.rng.IntN(len(r.accepted))])
		}
	}
}

// heal ends all faults.
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

// cancelEndlessJobs cancels what would not end by itself. A submission whose answer was lost may
// have been accepted all the same.
func (r *chaosRun) cancelEndlessJobs() {
	for i := range r.submitted {
		id := fmt.Sprintf("run-%06d", i+1)
		r.cluster.Advance(50 * time.Millisecond) // within what the state service takes
		if j := r.cluster.jobs[id]; j.spec.Kind == protocol.Service || j.alwaysFails {
			r.cluster.CancelJob(0, id, func(status int, state string) {
				if status != 200 && (status != 404 || j.accepted) {
					r.t.Errorf("cancelling %s: %d %s", id, status, state)
				}
			})
		}
	}
}

// checkFinalState checks what must hold in the end.
func (r *chaosRun) checkFinalState() {
	t, c := r.t, r.cluster
	for _, s := range c.Starved() {
		if !strings.Contains(s, "waited") { // in minutes of trouble any may wait
			t.Error(s)
		}
	}
	for _, f := range c.LongUnanswered() {
		t.Log(f) // during the troubles it may be so
	}
	for _, id := range r.accepted {
		// Within what the state service takes: a node that hasn't heard of an outcome reads
		// it, and thousands of questions in one instant are one too many.
		c.Advance(25 * time.Millisecond)
		c.Query(0, id, func(status int, text string) {
			if status != 200 || !strings.HasPrefix(text, "done") && !strings.HasPrefix(text, "aborted") {
				t.Errorf("%s in the end: %d %s", id, status, text)
			}
		})
	}
	c.Advance(10 * time.Second)
	for id, j := range c.jobs {
		if len(j.runningOn) > 0 {
			t.Errorf("%s still has %d tasks on machines", id, len(j.runningOn))
		}
	}
	for _, b := range c.Violations() {
		t.Error(b)
	}
	if r.options.balance {
		t.Log(c.Migrations())
	}
}
