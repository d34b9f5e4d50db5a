package simulator

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
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
			chaos(t, chaosDay{seed: uint64(seed)})
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
			chaos(t, chaosDay{seed: uint64(seed), fleet: seed >= days, shards: seed % 2, balance: true})
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
			chaos(t, chaosDay{seed: uint64(seed), fleet: true})
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
			chaos(t, chaosDay{seed: uint64(seed), shards: 1 + seed%3})
		})
	}
	for seed := range fleets {
		t.Run(fmt.Sprint("fleet", seed), func(t *testing.T) {
			t.Parallel()
			chaos(t, chaosDay{seed: uint64(seed), fleet: true, shards: 1 + seed%3})
		})
	}
}

// kinds of trouble are drawn.
const kinds = 40

// chaosDay is what is to be drawn.
type chaosDay struct {
	seed    uint64
	fleet   bool // a thousand machines
	shards  int  // per controller
	balance bool // on, and teams surge
}

func chaos(t *testing.T, day chaosDay) {
	seed, fleet, shards := day.seed, day.fleet, day.shards
	rng := rand.New(rand.NewPCG(seed, 99))
	zones := [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}}[rng.IntN(3)]
	o := Options{Seed: seed, Nodes: 3, Zones: zones, Machines: 3 + rng.IntN(4), Capacity: 3 + rng.IntN(8), Shards: shards}
	if day.balance {
		o.Balance = &config.Balance{CeilingShare: []float64{0.25, 0.5, 0.75}[seed%3], FetchQueueSeconds: 2 + float64(seed%5), TradeSeconds: float64(seed % 4), MoveMargin: 1.5}
		if seed%4 < 3 {
			o.Balance.Moves, o.Balance.TradeSeconds, o.Headroom = true, 30, float64(seed%3)*2
		}
	}
	if os.Getenv("SCENARIO_LOG") != "" {
		o.Log = os.Stderr
	}
	scale := 1
	if fleet {
		o.Fleet, o.Machines, o.Capacity, scale = true, 1000, 300, 100
	}
	o.Digest = newDigest(t)
	c := New(o)
	c.copies = rng.IntN(2) == 0
	if rng.IntN(2) == 0 {
		c.reportCopies = time.Duration(2+rng.IntN(45)) * time.Second
	}
	badOf := []int{15, 15, 3}[rng.IntN(3)] // one job in so many fails everywhere
	c.Advance(3 * time.Second)
	var accepted []string
	count := 0
	submit := func(change func(*protocol.Job)) {
		count++
		spec := protocol.Job{ID: fmt.Sprintf("run-%06d", count), Class: []string{"one", "two"}[rng.IntN(2)], Team: []string{"red", "blue", "guest"}[rng.IntN(3)],
			Kind: protocol.Batch, Priority: protocol.Priority(1 + rng.IntN(4)), Tasks: (1 + rng.IntN(9)) * scale, CPUs: float64(1 + rng.IntN(2)),
			MemoryGB: 2, Image: fmt.Sprintf("img-%d", rng.IntN(4)), ImageGB: 0.5 + rng.Float64(), AllowSpot: rng.IntN(2) == 0,
			Spread: rng.IntN(5) == 0 && len(zones) > 1, OneZone: rng.IntN(5) == 0}
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
		c.Submit(rng.IntN(3), spec, run, rng.IntN(badOf) == 0, func(status int, _ string) {
			if status == 200 || status == 201 {
				accepted = append(accepted, id)
			}
		})
	}
	// Those that trouble befalls: one, or in a fleet up to a third.
	hosts := func() []*host {
		var up []*host
		for _, h := range c.cloud.hosts {
			if h.worker != nil && !h.worker.dead {
				up = append(up, h)
			}
		}
		if len(up) == 0 {
			return nil
		}
		first, count := rng.IntN(len(up)), 1
		if fleet {
			count = 1 + rng.IntN(1+len(up)/3)
		}
		return up[first:min(first+count, len(up))]
	}
	later := func(most int, f func()) {
		c.after(time.Duration(500+rng.IntN(most*1000))*time.Millisecond, f)
	}
	// One trouble, among those that go on. Half of the days are made of three troubles
	// that meet again and again.
	var few []int
	if rng.IntN(2) == 0 {
		few = []int{rng.IntN(kinds), rng.IntN(kinds), rng.IntN(kinds)}
	}
	trouble := func() {
		kind := rng.IntN(kinds)
		if few != nil && rng.IntN(8) != 0 {
			kind = few[rng.IntN(len(few))]
		}
		n := c.nodes[rng.IntN(3)]
		if i := c.Leader(); i >= 0 && rng.IntN(3) == 0 {
			n = c.nodes[i]
		}
		switch kind {
		case 19: // without power for up to more than a minute
			if n.core != nil {
				n.crash()
				n.silent = true
				later(75, func() {
					if n.core == nil {
						n.start()
					}
				})
			}
		case 20:
			if i := c.Leader(); i >= 0 && rng.IntN(2) == 0 {
				n = c.nodes[i]
			}
			n.freeze()
			later(30, n.thaw)
		case 21: // boots are slow, at once, or never
			c.cloud.factor, c.cloud.dead = []float64{0.01, 1, 6}[rng.IntN(3)], []float64{0, 0.5}[rng.IntN(2)]
			c.cloud.answers = time.Duration(rng.IntN(3000)) * time.Millisecond
			later(60, func() { c.cloud.factor, c.cloud.dead, c.cloud.answers = 0, 0, 0 })
		case 22:
			c.state.late, c.state.lateMore, c.state.lateShare = 2*time.Second, 10*time.Second, 0.05+rng.Float64()/3
			later(20, func() { c.state.late, c.state.lateMore, c.state.lateShare = 0, 0, 0 })
		case 23:
			if count > 0 {
				c.Storm(1000, 10*time.Second)
			}
		case 24:
			for range 25 {
				submit(func(j *protocol.Job) { j.Tasks, j.Spread = 1, false })
			}
		case 25: // one huge array of small tasks
			submit(func(j *protocol.Job) {
				j.Kind, j.Team, j.Tasks, j.CPUs, j.MemoryGB = protocol.Batch, "guest", 300*scale, 0.125, 0.1
			})
		case 14: // reports arrive, nothing of ours does
			for _, h := range hosts() {
				reset := rng.IntN(2) == 0
				for _, p := range c.nodes {
					if reset {
						c.ResetOneWay(p.name, h.name)
					} else {
						c.CutOneWay(p.name, h.name, rng.IntN(2) == 0)
					}
				}
				later(40, c.Heal)
			}
		case 15:
			if i := c.Leader(); i >= 0 && rng.IntN(2) == 0 {
				n = c.nodes[i]
			}
			c.Isolate(n)
			later(30, c.Heal)
		case 16: // back within a fraction of a second, perhaps twice in a row
			if i := c.Leader(); i >= 0 && rng.IntN(2) == 0 {
				n = c.nodes[i]
			}
			for range 1 + rng.IntN(2) {
				if n.core != nil {
					n.crash()
				}
				c.Advance(time.Duration(20+rng.IntN(400)) * time.Millisecond)
				if n.core == nil {
					n.start()
				}
				c.Advance(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		case 17:
			list := slices.DeleteFunc(slices.Clone(hosts()), func(h *host) bool { return h.worker.hung })
			for _, h := range list {
				h.worker.hang(true)
			}
			if len(list) > 0 {
				c.Advance(time.Duration(50+rng.IntN(900)) * time.Millisecond)
			}
			for _, h := range list {
				if !h.worker.dead {
					h.worker.hang(false)
				}
			}
		case 18:
			for _, h := range hosts() {
				h.worker.reboot()
			}
		case 0, 1:
			if i := c.Leader(); i >= 0 && rng.IntN(2) == 0 {
				n = c.nodes[i]
			}
			if n.core != nil {
				n.crash()
				later(6, func() {
					if n.core == nil {
						n.start()
					}
				})
			}
		case 2:
			c.state.setOutage(true)
			later(30, func() { c.state.setOutage(false) })
		case 3:
			c.state.refused[n.name] = true
			later(25, func() { c.state.admit(n.name) })
		case 4:
			c.state.late = time.Duration(rng.IntN(4000)) * time.Millisecond
			later(3, func() { c.state.late = 0 })
		case 5:
			c.cloud.outage = true
			later(30, func() { c.cloud.outage = false })
		case 6:
			c.cloud.late = time.Duration(rng.IntN(9000)) * time.Millisecond
			later(6, func() { c.cloud.late = 0 })
		case 7, 8:
			for _, h := range hosts() {
				w := h.worker
				if w.hung {
					continue
				}
				w.hang(true)
				later(25, func() {
					if !w.dead {
						w.hang(false)
					}
				})
			}
		case 9:
			for _, h := range hosts() {
				c.cloud.fail(h)
			}
		case 10:
			for _, h := range hosts() {
				h.worker.notice = c.now.Add(10 * time.Second)
				h.worker.change()
				c.after(10*time.Second, func() { c.cloud.end(h) })
			}
		case 11:
			for _, h := range hosts() {
				c.Cut(n.name, h.name, rng.IntN(2) == 0)
				later(15, c.Heal)
			}
		case 12:
			p := c.nodes[rng.IntN(3)]
			if p != n {
				c.Cut(n.name, p.name, rng.IntN(2) == 0)
			}
			for _, h := range c.cloud.hosts {
				if h.zone == n.zone && rng.IntN(2) == 0 {
					c.Cut(n.name, h.name, true)
				}
			}
			later(20, c.Heal)
		case 13:
			for _, h := range hosts() {
				w := h.worker
				w.sick = true
				later(20, func() { w.sick = false })
			}
		case 26: // the state service carries out, and its answer is lost
			c.state.lostShare = 0.05 + rng.Float64()/2
			later(20, func() { c.state.lostShare = 0 })
		case 27: // copies of reports reach the next leader as it begins
			c.keepShare = rng.Float64()
			later(60, func() { c.keepShare = 0 })
		case 28: // the machines reach no controller
			for _, h := range hosts() {
				h.worker.mute = true
				later(40, func() { h.worker.mute = false })
			}
		case 29:
			c.IsolateRefused(n)
			later(30, func() { c.state.admit(n.name); c.Heal() })
		case 30:
			c.CancelNow(1+rng.IntN(8), time.Duration(rng.IntN(2)*rng.IntN(25000))*time.Millisecond)
		case 31:
			c.endShare = rng.Float64()
			later(25, func() { c.endShare = 0 })
		case 32:
			for i := range 6 {
				c.after(time.Duration(i)*700*time.Millisecond, c.OddRequests)
			}
		case 33:
			c.closeLooks = true
			later(25, func() { c.closeLooks = false })
		case 34:
			c.state.slow, c.state.slowShare = time.Duration(200+rng.IntN(4000))*time.Millisecond, 0.05+rng.Float64()/2
			later(25, func() { c.state.slowShare = 0 })
		case 35: // one-task jobs four a second, a quarter of them cancelled
			if count > 400 {
				return
			}
			for i := range 80 {
				c.after(time.Duration(i)*250*time.Millisecond, func() {
					submit(func(j *protocol.Job) { j.Kind, j.Tasks, j.Spread, j.CPUs = protocol.Batch, 1, false, 0.25 })
					if id := fmt.Sprintf("run-%06d", count); rng.IntN(4) == 0 {
						later(20, func() { c.insistCancel(id) })
					}
				})
			}
		case 36:
			c.ChangeLeaders(2+rng.IntN(4), time.Duration(3+rng.IntN(10))*time.Second, time.Duration(100+rng.IntN(5000))*time.Millisecond)
		case 37: // something happens to the leader right before or after a moment
			what := []string{"b/q/", "b/f/", "c/", "e/leader", "m/"}[rng.IntN(5)]
			moment := []moment{onWrite, onWrite, onReport, onLostAnswer, onLeader, onDone}[rng.IntN(6)]
			if moment != onWrite {
				what = ""
			}
			k := rng.IntN(5)
			c.when(moment, what, rng.IntN(2) == 0, func() {
				i := c.Leader()
				if i < 0 {
					return
				}
				n := c.nodes[i]
				switch k {
				case 0:
					n.crash()
					later(6, func() {
						if n.core == nil {
							n.start()
						}
					})
				case 1:
					n.freeze()
					later(20, n.thaw)
				case 2:
					c.IsolateRefused(n)
					later(20, func() { c.state.admit(n.name); c.Heal() })
				case 3:
					c.Isolate(n)
					later(20, c.Heal)
				case 4:
					c.CancelNow(3, 0)
				}
			})
		case 38: // a zone, cut off from all others, the regional services included
			zone := zones[rng.IntN(len(zones))]
			hold := rng.IntN(2) == 0
			var inside, outside []string
			for _, p := range c.nodes {
				if p.zone == zone {
					inside = append(inside, p.name)
				} else {
					outside = append(outside, p.name)
				}
			}
			for _, h := range c.cloud.hosts {
				if h.zone == zone {
					inside = append(inside, h.name)
				}
			}
			for _, a := range inside {
				for _, b := range append(outside, "state", "cloud", "users") {
					c.Cut(a, b, hold)
				}
			}
			later(40, c.Heal)
		case 39: // nobody is there for up to more than a lease
			for _, p := range c.nodes {
				p.crash()
				later(40, func() {
					if p.core == nil {
						p.start()
					}
				})
			}
		}
	}
	// Controllers refuse each other's connections, and the leader loses its workers: before,
	// meanwhile, or right after.
	refusedAndBlind := func() {
		for _, n := range c.nodes {
			for _, p := range c.nodes {
				if n != p {
					c.ResetOneWay(n.name, p.name)
				}
			}
		}
		later(30, c.Heal)
		later(35, func() {
			i := c.Leader()
			if i < 0 {
				return
			}
			for _, h := range c.cloud.hosts {
				c.Cut(c.nodes[i].name, h.name, rng.IntN(2) == 0)
			}
			later(40, c.Heal)
		})
	}
	// A team's work comes several times as often for a while, and is checked for its ceiling
	// while the same leader goes on.
	surge := func() {
		team := []string{"red", "blue"}[rng.IntN(2)]
		most := 8.0
		for _, j := range c.jobs {
			if j.spec.Team == team && j.told == 0 && !j.asked {
				most += j.spec.CPUs * float64(j.spec.Tasks-len(j.completed))
			}
		}
		if most > 60*float64(scale) {
			return // there is more than enough
		}
		for range 4 {
			submit(func(j *protocol.Job) {
				j.Kind, j.Team, j.Priority, j.CPUs = protocol.Batch, team, protocol.Standard, 1
				j.Tasks = max(j.Tasks, int(most/2))
			})
		}
		leader := c.Leader()
		c.after(2*time.Second, func() {
			if leader >= 0 && c.Leader() == leader {
				c.Ceiling(team, o.Balance.CeilingShare)
			}
		})
		c.after(8*time.Second, func() { c.Ceiling(team, 0) })
	}
	for range 60 {
		if day.balance && count < 300 && rng.IntN(10) == 0 {
			surge()
		}
		if shards > 0 && rng.IntN(12) == 0 {
			refusedAndBlind()
		}
		if shards > 0 && rng.IntN(4) == 0 {
			n := c.nodes[rng.IntN(len(c.nodes))]
			if n.core != nil {
				n.run(func() { n.apply(n.core.Drain(c.now)) })
				later(20, func() {
					n.crash()
					later(4, func() {
						if n.core == nil {
							n.start()
						}
					})
				})
			}
		}
		c.Advance(time.Duration(200+rng.IntN(5000)) * time.Millisecond)
		for range rng.IntN(3) {
			submit(func(*protocol.Job) {})
		}
		if len(accepted) > 0 && rng.IntN(4) == 0 {
			c.CancelJob(rng.IntN(3), accepted[rng.IntN(len(accepted))], func(int, string) {})
		}
		if count > 0 {
			c.Poll(rng.IntN(3), fmt.Sprintf("run-%06d", 1+rng.IntN(count)), func(int, string) {})
		}
		for range []int{1, 1, 1, 2, 2, 3}[rng.IntN(6)] {
			trouble()
			if rng.IntN(2) == 0 { // or in the same moment
				c.Advance(time.Duration(rng.IntN(1200)) * time.Millisecond)
			}
			if len(accepted) > 0 && few != nil && rng.IntN(3) == 0 {
				c.insistCancel(accepted[rng.IntN(len(accepted))])
			}
		}
	}
	// Everything heals, and services are cancelled.
	c.Advance(45 * time.Second)
	c.Heal()
	c.state.setOutage(false)
	c.state.admit()
	c.state.late, c.state.lateShare, c.cloud.late, c.cloud.outage, c.reportCopies = 0, 0, 0, false, 0
	c.cloud.factor, c.cloud.dead, c.cloud.answers = 0, 0, 0
	c.state.lostShare, c.state.slowShare, c.keepShare, c.endShare, c.closeLooks, c.hooks = 0, 0, 0, 0, false, nil
	for _, h := range c.cloud.hosts {
		if h.worker != nil {
			h.worker.mute = false
		}
	}
	for _, n := range c.nodes {
		n.thaw()
		if n.core == nil {
			n.start()
		}
	}
	c.Advance(20 * time.Second)
	for _, u := range c.Unanswered() {
		t.Errorf("not answered once all is healed: %s", u)
	}
	// A submission whose answer was lost may have been accepted all the same.
	for i := range count {
		id := fmt.Sprintf("run-%06d", i+1)
		c.Advance(50 * time.Millisecond) // within what the state service takes
		if j := c.jobs[id]; j.spec.Kind == protocol.Service || j.bad {
			c.CancelJob(0, id, func(status int, state string) {
				if status != 200 && !(status == 404 && !j.accepted) {
					t.Errorf("cancelling %s: %d %s", id, status, state)
				}
			})
		}
	}
	c.Calm()
	c.Advance(10 * time.Minute)
	for _, s := range c.Starved() {
		if !strings.Contains(s, "waited") { // in minutes of trouble any may wait
			t.Error(s)
		}
	}
	for _, f := range c.Forgotten() {
		t.Log(f) // during the troubles it may be so
	}
	for _, id := range accepted {
		// Within what the state service takes: a node that hasn't heard of an outcome reads
		// it, and thousands of questions in one instant are one too many.
		c.Advance(25 * time.Millisecond)
		c.Poll(0, id, func(status int, text string) {
			if status != 200 || !strings.HasPrefix(text, "done") && !strings.HasPrefix(text, "aborted") {
				t.Errorf("%s in the end: %d %s", id, status, text)
			}
		})
	}
	c.Advance(10 * time.Second)
	for id, j := range c.jobs {
		if len(j.on) > 0 {
			t.Errorf("%s still has %d tasks on machines", id, len(j.on))
		}
	}
	for _, b := range c.Broken() {
		t.Error(b)
	}
	if day.balance {
		t.Log(c.Moved())
	}
}
