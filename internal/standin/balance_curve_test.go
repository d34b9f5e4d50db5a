package standin

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brasskeel/internal/config"
	"brasskeel/internal/protocol"
)

// TestBalanceCurve measures, if BALANCE_CURVE is set to a number of machines, what balance does
// to a surge on simulated machines: the curve of docs/MEASUREMENTS.md.
func TestBalanceCurve(t *testing.T) {
	machines, _ := strconv.Atoi(os.Getenv("BALANCE_CURVE"))
	if machines == 0 {
		t.Skip("set BALANCE_CURVE to a number of machines")
	}
	settings := []*config.Balance{nil}
	for _, trade := range []float64{0, 1, 2, 5, 20} {
		settings = append(settings, &config.Balance{CeilingShare: 0.5, FetchQueueSeconds: 20, TradeSeconds: trade})
	}
	for _, trade := range []float64{2, 10, 30} {
		settings = append(settings, &config.Balance{CeilingShare: 0.5, FetchQueueSeconds: 20, TradeSeconds: trade, Moves: true, MoveMargin: 1.5})
	}
	for _, ceiling := range []float64{0.25, 0.75} {
		settings = append(settings, &config.Balance{CeilingShare: ceiling, FetchQueueSeconds: 20, TradeSeconds: 2})
	}
	fmt.Println("| setting | team above half, of machine-seconds | mean share | waits of the team, median and 99% | of others | GB fetched | changes | tasks moved |")
	for _, b := range settings {
		name := "off"
		if b != nil {
			name = fmt.Sprintf("ceiling %g, trade %g s", b.CeilingShare, b.TradeSeconds)
			if b.Moves {
				name += ", moves"
			}
		}
		fmt.Println("|", name, "|", measureSurge(t, machines, b), "|")
	}
}

// measureSurge plays a surge over three seeds.
func measureSurge(t *testing.T, machines int, b *config.Balance) string {
	shares := hdrhistogram.New(1, 1000, 3) // of the team, in hundredths of a machine, by machine and second
	mean, gb, changes, moved, samples := 0.0, 0.0, 0, 0, 0
	var surging, others []time.Duration
	const seeds = 3
	for seed := range seeds {
		o := Options{Seed: uint64(seed + 1), Nodes: 3, Machines: machines, Capacity: machines, Fleet: true, Balance: b}
		c := New(o)
		c.Advance(6 * time.Second)
		number := 0
		submit := func(team, image string, tasks int) {
			number++
			spec := protocol.Job{ID: fmt.Sprintf("run-%06d", number), Class: team, Team: team, Kind: protocol.Batch, Priority: protocol.Standard,
				Tasks: tasks, CPUs: 1, MemGB: 2, Image: image, ImageGB: 1.5, Estimate: 20 * time.Second,
				Checkpoint: 5 * time.Second, Save: 500 * time.Millisecond}
			c.insist(func(node int, done func(int, string)) { c.Submit(node, spec, 20*time.Second, false, done) })
		}
		// Others' work takes about a third of the fleet, the team's usual a tenth; its images
		// are on the machines where that ran.
		array := max(2, machines/10)
		for i := range 60 {
			c.after(time.Duration(i)*2*time.Second, func() { submit("blue", fmt.Sprintf("img-b%d", i%6), array) })
			if i%3 == 0 {
				c.after(time.Duration(i)*2*time.Second, func() { submit("guest", fmt.Sprintf("img-r%d", i%4), array) })
			}
		}
		for i := range 20 { // the surge, from 60 s to 100 s
			c.after(60*time.Second+time.Duration(i)*2*time.Second, func() { submit("guest", fmt.Sprintf("img-r%d", i%4), array) })
		}
		c.Advance(58 * time.Second)
		c.state.changed, c.fetched = 0, 0
		for range 60 {
			c.Advance(time.Second)
			sum, up := 0.0, 0
			for _, h := range c.cloud.hosts {
				if w := h.worker; w != nil && !w.dead {
					taken, _ := w.takenBy("guest")
					s := share(w, taken, taskShape{})
					_ = shares.RecordValue(int64(s * 100)) // within its range
					sum, up = sum+s, up+1
				}
			}
			mean += sum / float64(max(1, up))
			samples++
		}
		changes += c.state.changed
		gb += c.fetched
		c.Advance(2 * time.Minute)
		for _, j := range c.jobs {
			if j.began.IsZero() || j.submitted.Sub(c.begin) < 64*time.Second {
				continue
			}
			if wait := j.began.Sub(j.submitted); j.spec.Team == "guest" {
				surging = append(surging, wait)
			} else {
				others = append(others, wait)
			}
		}
		moved += len(c.moves.times)
		if broken := c.Broken(); len(broken) > 0 {
			t.Error(broken)
		}
	}
	waits := func(list []time.Duration) string {
		slices.Sort(list)
		q := quantiles(list)
		return fmt.Sprintf("%.2f s, %.2f s", q.P50.Seconds(), q.P99.Seconds())
	}
	above := 0
	for _, bar := range shares.Distribution() {
		if bar.From > 50 {
			above += int(bar.Count)
		}
	}
	return fmt.Sprintf("%.1f%% | %.0f%% | %s | %s | %.0f | %d | %d", 100*float64(above)/float64(shares.TotalCount()),
		100*mean/float64(samples), waits(surging), waits(others), gb/seeds, changes/seeds, moved/seeds)
}
