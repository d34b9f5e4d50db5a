package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

var start = time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Concurrent fetches share the rate. Fetches that are complete, or that no attempt waits for, don't
// count.
func TestFetches(t *testing.T) {
	const rate = 2.0
	var f PendingFetches
	f.Add(at(0), 1, 4, rate)
	f.Add(at(0), 1, 4, rate)
	f.Add(at(0), 2, 8, rate)
	for _, c := range []struct {
		do   func()
		when float64
		want time.Duration
	}{
		{func() {}, 0, 6 * time.Second},
		{func() {}, 2, 4 * time.Second}, // 2 GB of each image have been fetched
		{func() {}, 4, 2 * time.Second}, // the first fetch is complete, 4 GB of the other remain
		{func() { f.Cancel(at(4), 1, rate) }, 4, 2 * time.Second},
		{func() { f.Add(at(4), 3, 6, rate) }, 4, 5 * time.Second},
		{func() { f.Complete(at(4), 2, rate) }, 5, 2 * time.Second},
		{func() { f.Cancel(at(5), 3, rate) }, 5, 0},
	} {
		c.do()
		if got := f.Backlog(at(c.when), rate); got != c.want {
			t.Errorf("after %g s the backlog is %s, want %s", c.when, got, c.want)
		}
	}
}

// The usage of each team is correct in whatever order attempts are removed.
func TestLoadByTeam(t *testing.T) {
	var l Load
	l.AddAttempt(1, placement.Resources{CPUs: 2, MemGB: 4})
	l.AddAttempt(2, placement.Resources{CPUs: 1, MemGB: 1})
	l.AddAttempt(1, placement.Resources{CPUs: 1, MemGB: 8})
	l.RemoveAttempt(1, placement.Resources{CPUs: 2, MemGB: 4})
	if r, tasks := l.TeamUsage(1); tasks != 1 || r != (placement.Resources{CPUs: 1, MemGB: 8}) {
		t.Errorf("usage of team 1 is %d tasks with %+v, want 1 with 1 CPU and 8 GB", tasks, r)
	}
	l.RemoveAttempt(2, placement.Resources{CPUs: 1, MemGB: 1})
	if r, tasks := l.TeamUsage(2); tasks != 0 || r != (placement.Resources{}) {
		t.Errorf("usage of team 2 is %d tasks with %+v, want none", tasks, r)
	}
	if got := DominantShare(placement.Resources{CPUs: 1, MemGB: 8}, placement.Resources{CPUs: 4, MemGB: 16}); got != 0.5 {
		t.Errorf("dominant share is %g, want 0.5", got)
	}
}

// Slow machines are detected although users' estimates are wrong by half and more. A few samples
// are not enough to count a machine as slow.
func TestSlowdown(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	estimateErrors := distuv.LogNormal{Mu: 0, Sigma: 0.5, Src: rng}
	variation := distuv.LogNormal{Mu: 0, Sigma: 0.1, Src: rng}
	machines, class := make([]Speed, 20), &RunTimes{}
	slow := map[int]float64{3: 1.8, 7: 3}
	for range 400 {
		job, estimate := &RunTimes{}, 40*time.Second
		run := estimateErrors.Rand() * estimate.Seconds()
		for range 12 {
			k := rng.IntN(len(machines))
			observed := run * variation.Rand()
			if f := slow[k]; f > 0 {
				observed *= f
			}
			machines[k].Observe(seconds(observed), estimate, job, class)
		}
	}
	for k := range machines {
		got := machines[k].Slowdown()
		if slow[k] > 0 && got < 1.25 || slow[k] == 0 && (got > 1.15 || got < 0.85) {
			t.Errorf("machine %d (slowed down by %g; 0: not slow): slowdown %.2f", k, slow[k], got)
		}
	}
	var few Speed
	few.Observe(400*time.Second, 40*time.Second, &RunTimes{}, class)
	if got := few.Slowdown(); got > 1.2 {
		t.Errorf("slowdown %.2f after one long run, want at most 1.2", got)
	}
}

// A surge starts when demand exceeds the starting threshold, and a further increase of demand changes
// nothing. It ends when demand has been low for surgeEndDelay, or after maxSurgeDuration.
func TestSurge(t *testing.T) {
	var s Surge
	observe := func(sec float64, demand float64) SurgeChange { return s.Observe(at(sec), demand, 4) }
	for sec := range 120 {
		if c := observe(float64(sec), 20); c != Unchanged {
			t.Fatalf("SurgeChange %d at steady demand, want none", c)
		}
	}
	if c := observe(120, 33); c != Unchanged {
		t.Errorf("SurgeChange %d below the starting threshold, want none", c)
	}
	if c := observe(121, 40); c != Started {
		t.Errorf("no surge started above the starting threshold")
	}
	number := s.Number()
	for sec := 122; sec < 180; sec++ {
		if c := observe(float64(sec), 80); c != Unchanged {
			t.Errorf("SurgeChange %d when demand doubles during a surge, want none", c)
		}
	}
	observe(180, 22)
	observe(185, 60) // demand is high again before surgeEndDelay has passed
	observe(186, 22)
	if c := observe(195, 22); c != Unchanged {
		t.Errorf("SurgeChange %d after 9 s of low demand, want none", c)
	}
	if c := observe(196, 22); c != Ended || s.Number() != 0 {
		t.Errorf("SurgeChange %d after 10 s of low demand, want Ended and no active surge", c)
	}
	if observe(197, 90); s.Number() <= number {
		t.Errorf("surge number %d after %d, want a higher one", s.Number(), number)
	}
	ended := 0.0
	for sec := 198; sec < 1000 && ended == 0; sec++ {
		if observe(float64(sec), 90) == Ended {
			ended = float64(sec)
		}
	}
	if ended != 197+maxSurgeDuration.Seconds() {
		t.Errorf("surge that started at 197 s ended at %g s, want the end after maxSurgeDuration", ended)
	}
}

// Demand that oscillates about the starting threshold, or varies randomly, starts and ends at most
// one surge.
func TestNoSurgeForNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var s Surge
	changes := 0
	for sec := range 3600 {
		demand := 20*surgeStartFactor + 4 + 3*math.Sin(float64(sec)/3)
		if sec < 60 {
			demand = 20
		}
		if s.Observe(at(float64(sec)), demand, 4) != Unchanged {
			changes++
		}
	}
	if changes > 2 {
		t.Errorf("%d changes with demand oscillating about the threshold, want at most 2", changes)
	}
	s, changes = Surge{}, 0
	arrivals := distuv.Poisson{Lambda: 1, Src: rng}
	var ends []int
	for sec := range 3600 {
		for range int(arrivals.Rand()) {
			ends = append(ends, sec+20+rng.IntN(40))
		}
		demand := 0.0
		for _, end := range ends {
			if end > sec {
				demand++
			}
		}
		if sec > 120 && s.Observe(at(float64(sec)), demand, 4) != Unchanged {
			changes++
		}
	}
	if changes > 2 {
		t.Errorf("%d changes with random arrivals at a steady rate, want at most 2", changes)
	}
}

// A new leader continues a recorded surge. Without a recorded surge, its first observation starts none,
// however high the demand.
func TestRestoredSurge(t *testing.T) {
	var s Surge
	if s.Observe(at(0), 500, 4); s.Number() != 0 {
		t.Error("first observation starts a surge")
	}
	s.Restore(at(1), SurgeRecord{Number: 7, UsualCPUs: 20})
	if s.Observe(at(2), 500, 4); s.Number() != 7 {
		t.Errorf("surge number %d, want 7", s.Number())
	}
	if r, active := s.Record(); !active || r.Number != 7 || r.UsualCPUs != 20 {
		t.Errorf("record %+v, active: %v; want the restored one, active", r, active)
	}
}

func machine(images ...placement.ImageID) *placement.Machine {
	m := &placement.Machine{Spec: &protocol.MachineType{CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPerSecond: 1}}
	for _, id := range images {
		m.Images.Add(id, 3, 20)
	}
	return m
}

// A machine is above the ceiling because of the team's own tasks or because of its fetch backlog.
func TestExceeds(t *testing.T) {
	task := placement.Task{Job: &protocol.Job{CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 2}, Image: 1}
	policy := CeilingPolicy{Settings: Settings{CeilingShare: 0.5, MaxFetchBacklog: 5 * time.Second}, Now: start, Team: 1, Task: task}
	large := task
	large.Job = &protocol.Job{CPUs: 4, MemoryGB: 1, Image: "a", ImageGB: 2}
	for _, c := range []struct {
		name     string
		team     int     // tasks of the team
		other    int     // tasks of another team
		fetchGB  float64 // pending fetches, at 1 GB/s
		hasImage bool
		large    bool
		want     bool
	}{
		{name: "empty"}, {name: "one task of the team", team: 1}, {name: "two tasks of the team", team: 2, want: true},
		{name: "only tasks of another team", other: 3}, {name: "large task on an empty machine", large: true}, {name: "large task beside another", team: 1, large: true, want: true},
		{name: "fetch backlog too long", fetchGB: 6, want: true}, {name: "fetch backlog at the limit", fetchGB: 5}, {name: "long fetch backlog, but image cached", fetchGB: 6, hasImage: true},
	} {
		l, m := &Load{}, machine()
		if c.hasImage {
			m = machine(1)
		}
		for range c.team {
			l.AddAttempt(1, placement.Resources{CPUs: 1, MemGB: 1})
		}
		for range c.other {
			l.AddAttempt(2, placement.Resources{CPUs: 1, MemGB: 1})
		}
		if c.fetchGB > 0 {
			l.Fetches.Add(start, 9, c.fetchGB, 1)
		}
		p := policy
		if c.large {
			p.Task = large
		}
		if got := p.Exceeds(m, l); got != c.want {
			t.Errorf("%s: exceeds the ceiling: %v, want %v", c.name, got, c.want)
		}
	}
}

// A task is placed away from a loaded machine that caches its image if the load penalty there exceeds
// the time for fetching the image.
func TestPenaltyAgainstFetch(t *testing.T) {
	weights := placement.Weights{Image: 1, Room: 0}
	task := placement.Task{Job: &protocol.Job{CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 3}, Image: 1}
	cached, uncached := machine(1), machine()
	busy, idle := &Load{}, &Load{}
	busy.AddAttempt(1, placement.Resources{CPUs: 2, MemGB: 2}) // up to the ceiling
	for _, c := range []struct {
		penalty       time.Duration
		prefersCached bool
	}{{0, true}, {2 * time.Second, true}, {4 * time.Second, false}} {
		p := CeilingPolicy{Settings: Settings{CeilingShare: 0.5, MaxFetchBacklog: time.Minute, LoadPenalty: c.penalty}, Now: start, Team: 1, Task: task}
		score := func(m *placement.Machine, l *Load) float64 {
			return weights.Score(m, task) - p.Penalty(m, l, weights.Image)
		}
		if prefersCached := score(cached, busy) > score(uncached, idle); prefersCached != c.prefersCached {
			t.Errorf("load penalty %s: prefers the machine with the image: %v, want %v", c.penalty, prefersCached, c.prefersCached)
		}
	}
}
