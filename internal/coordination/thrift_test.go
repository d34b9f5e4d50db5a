package coordination

import (
	"fmt"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

// Work with a deadline waits for spot machines that others run on only while they are
// expected to free room for all that waits, and time is left to rent others.
func TestThrift(t *testing.T) {
	n, l := leading(active)
	for i := range 10 {
		m := l.newMachine(fmt.Sprintf("vm-%d", i), "small", "a", true)
		m.up, m.recorded, m.heard, m.reached = true, true, n.now, n.now
		m.cpus = 4
	}
	spot, ordinary := offer{n.types["small"], "a", true}, offer{n.types["small"], "a", false}
	offers := []offer{spot, ordinary}
	newJob := func(change func(j *job)) *job {
		j := &job{Job: &protocol.Job{ID: "run-000001", Class: "c", Team: "red", Tasks: 10, CPUs: 1, MemGB: 1, Spot: true,
			Estimate: 20 * time.Second, Deadline: 60 * time.Second, HasDeadline: true}, submitted: n.now}
		change(j)
		return j
	}
	for _, c := range []struct {
		name   string
		change func(j *job)
		offers int
	}{
		{"with time", func(*job) {}, 1},
		{"without a deadline", func(j *job) { j.HasDeadline = false }, 2},
		{"with its time gone", func(j *job) { j.submitted = n.now.Add(-25 * time.Second) }, 2},
		{"with more than frees", func(j *job) { j.Tasks = 50 }, 2},
		{"that may not use spot machines", func(j *job) { j.Spot = false }, 2},
	} {
		th := thrift{l: l}
		j := newJob(c.change)
		if got := th.affordable(offers, j, j.Tasks); len(got) != c.offers {
			t.Errorf("a job %s has %d offers, want %d", c.name, len(got), c.offers)
		}
	}
	// 40 CPUs in use free 40 in the 20 s that are left: four jobs wait, the fifth doesn't.
	th := thrift{l: l}
	for i := range 5 {
		j := newJob(func(*job) {})
		if got, want := len(th.affordable(offers, j, j.Tasks)), 1+i/4; got != want {
			t.Errorf("job %d in line has %d offers, want %d", i, got, want)
		}
	}
}
