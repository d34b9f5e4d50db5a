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

// Fetches at the same time share the rate; one that is done or that nobody waits for counts
// no more.
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
		{func() {}, 2, 4 * time.Second}, // 2 GB of each were fetched
		{func() {}, 4, 2 * time.Second}, // the first is there, 4 GB of the other are left
		{func() { f.Cancel(at(4), 1, rate) }, 4, 2 * time.Second},
		{func() { f.Add(at(4), 3, 6, rate) }, 4, 5 * time.Second},
		{func() { f.Complete(at(4), 2, rate) }, 5, 2 * time.Second},
		{func() { f.Cancel(at(5), 3, rate) }, 5, 0},
	} {
		c.do()
		if got := f.Backlog(at(c.when), rate); got != c.want {
			t.Errorf("after %g s %s are queued, want %s", c.when, got, c.want)
		}
	}
}

// Reserved follows attempts, whoever ends first.
func TestLoadByTeam(t *testing.T) {
	var l Load
	l.AddAttempt(1, placement.Resources{CPUs: 2, MemGB: 4})
	l.AddAttempt(2, placement.Resources{CPUs: 1, MemGB: 1})
	l.AddAttempt(1, placement.Resources{CPUs: 1, MemGB: 8})
	l.RemoveAttempt(1, placement.Resources{CPUs: 2, MemGB: 4})
	if r, tasks := l.TeamUsage(1); tasks != 1 || r != (placement.Resources{CPUs: 1, MemGB: 8}) {
		t.Errorf("%d tasks with %+v", tasks, r)
	}
	l.RemoveAttempt(2, placement.Resources{CPUs: 1, MemGB: 1})
	if r, tasks := l.TeamUsage(2); tasks != 0 || r != (placement.Resources{}) {
		t.Errorf("%d tasks with %+v", tasks, r)
	}
	if got := DominantShare(placement.Resources{CPUs: 1, MemGB: 8}, placement.Resources{CPUs: 4, MemGB: 16}); got != 0.5 {
		t.Errorf("a share of %g", got)
	}
}

// A slow machine is told from others although owners' estimates are wrong by half and more,
// and few samples say little of any.
func TestSlowdown(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	wrong := distuv.LogNormal{Mu: 0, Sigma: 0.5, Src: rng}
	varies := distuv.LogNormal{Mu: 0, Sigma: 0.1, Src: rng}
	machines, class := make([]Speed, 20), &RunTimes{}
	slow := map[int]float64{3: 1.8, 7: 3}
	for range 400 {
		job, estimate := &RunTimes{}, 40*time.Second
		run := wrong.Rand() * estimate.Seconds()
		for range 12 {
			k := rng.IntN(len(machines))
			times := run * varies.Rand()
			if f := slow[k]; f > 0 {
				times *= f
			}
			machines[k].Observe(seconds(times), estimate, job, class)
		}
	}
	for k := range machines {
		got := machines[k].Slowdown()
		if slow[k] > 0 && got < 1.25 || slow[k] == 0 && (got > 1.15 || got < 0.85) {
			t.Errorf("machine %d, %g times as slow: %.2f", k, slow[k], got)
		}
	}
	var few Speed
	few.Observe(400*time.Second, 40*time.Second, &RunTimes{}, class)
	if got := few.Slowdown(); got > 1.2 {
		t.Errorf("one long run makes a machine slow: %.2f", got)
	}
}

// A surge is noticed as it begins, also one that doubles; it ends after a while below, and what
// is usual for long is no surge.
func TestSurge(t *testing.T) {
	var s Surge
	observe := func(sec float64, demand float64) SurgeChange { return s.Observe(at(sec), demand, 4) }
	for sec := range 120 {
		if c := observe(float64(sec), 20); c != Unchanged {
			t.Fatalf("change %d of a steady demand", c)
		}
	}
	if c := observe(120, 33); c != Unchanged {
		t.Errorf("change %d below the bound", c)
	}
	if c := observe(121, 40); c != Started {
		t.Errorf("not noticed")
	}
	number := s.Number()
	for sec := 122; sec < 180; sec++ {
		if c := observe(float64(sec), 80); c != Unchanged {
			t.Errorf("change %d as it doubles", c)
		}
	}
	observe(180, 22)
	observe(185, 60) // not over yet
	observe(186, 22)
	if c := observe(195, 22); c != Unchanged {
		t.Errorf("change %d after 9 s below", c)
	}
	if c := observe(196, 22); c != Ended || s.Number() != 0 {
		t.Errorf("change %d after 10 s below", c)
	}
	if observe(197, 90); s.Number() <= number {
		t.Errorf("surge %d after %d", s.Number(), number)
	}
	ended := 0.0
	for sec := 198; sec < 1000 && ended == 0; sec++ {
		if observe(float64(sec), 90) == Ended {
			ended = float64(sec)
		}
	}
	if ended != 197+maxSurgeDuration.Seconds() {
		t.Errorf("what is usual by now ended as a surge at %g", ended)
	}
}

// What swings about a bound, or comes and goes as arrivals do, makes no surges to and fro.
func TestNoSurgeForNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var s Surge
	changes := 0
	for sec := range 3600 {
		swing := 20*surgeStartFactor + 4 + 3*math.Sin(float64(sec)/3)
		if sec < 60 {
			swing = 20
		}
		if s.Observe(at(float64(sec)), swing, 4) != Unchanged {
			changes++
		}
	}
	if changes > 2 {
		t.Errorf("%d changes of a demand that swings about the bound", changes)
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
		t.Errorf("%d changes of steady arrivals", changes)
	}
}

// A new leader begins with the surge on record, and with none otherwise, whatever it sees.
func TestRestoredSurge(t *testing.T) {
	var s Surge
	if s.Observe(at(0), 500, 4); s.Number() != 0 {
		t.Error("the first thing seen is a surge")
	}
	s.Restore(at(1), SurgeRecord{Number: 7, Level: 20})
	if s.Observe(at(2), 500, 4); s.Number() != 7 {
		t.Errorf("surge %d", s.Number())
	}
	if r, under := s.Record(); !under || r.Number != 7 || r.Level != 20 {
		t.Errorf("record %+v %v", r, under)
	}
}

func machine(images ...placement.ImageID) *placement.Machine {
	m := &placement.Machine{Spec: &protocol.MachineType{CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPerSecond: 1}}
	for _, id := range images {
		m.Images.Add(id, 3, 20)
	}
	return m
}

// A machine is above its ceiling by the team's own work, and by what it has to fetch.
func TestExceeds(t *testing.T) {
	task := placement.Task{Job: &protocol.Job{CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 2}, Image: 1}
	policy := CeilingPolicy{Settings: Settings{CeilingShare: 0.5, MaxFetchBacklog: 5 * time.Second}, Now: start, Team: 1, Task: task}
	large := task
	large.Job = &protocol.Job{CPUs: 4, MemoryGB: 1, Image: "a", ImageGB: 2}
	for _, c := range []struct {
		name  string
		team  int // tasks
		other int
		queue float64
		holds bool
		large bool
		want  bool
	}{
		{name: "empty"}, {name: "one of the team", team: 1}, {name: "two of the team", team: 2, want: true},
		{name: "others", other: 3}, {name: "one that takes it all", large: true}, {name: "a second one", team: 1, large: true, want: true},
		{name: "a long queue", queue: 6, want: true}, {name: "a queue", queue: 5}, {name: "a long queue, and the image", queue: 6, holds: true},
	} {
		l, m := &Load{}, machine()
		if c.holds {
			m = machine(1)
		}
		for range c.team {
			l.AddAttempt(1, placement.Resources{CPUs: 1, MemGB: 1})
		}
		for range c.other {
			l.AddAttempt(2, placement.Resources{CPUs: 1, MemGB: 1})
		}
		if c.queue > 0 {
			l.Fetches.Add(start, 9, c.queue, 1)
		}
		j := policy
		if c.large {
			j.Task = large
		}
		if got := j.Exceeds(m, l); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// The trade decides in seconds: a task leaves the machine that holds its image once heat
// there costs more than the fetch.
func TestPenaltyAgainstFetch(t *testing.T) {
	weights := placement.Weights{Image: 1, Room: 0}
	task := placement.Task{Job: &protocol.Job{CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 3}, Image: 1}
	hot, cold := machine(1), machine()
	busy, idle := &Load{}, &Load{}
	busy.AddAttempt(1, placement.Resources{CPUs: 2, MemGB: 2}) // as far as the ceiling
	for _, c := range []struct {
		trade time.Duration
		stays bool
	}{{0, true}, {2 * time.Second, true}, {4 * time.Second, false}} {
		j := CeilingPolicy{Settings: Settings{CeilingShare: 0.5, MaxFetchBacklog: time.Minute, LoadPenalty: c.trade}, Now: start, Team: 1, Task: task}
		score := func(m *placement.Machine, l *Load) float64 {
			return weights.Score(m, task) - j.Penalty(m, l, weights.Image)
		}
		if stays := score(hot, busy) > score(cold, idle); stays != c.stays {
			t.Errorf("with %s it stays: %v", c.trade, stays)
		}
	}
}
