package simulator

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// runHeard: what came of the commands that ran in moments since the last time.
func (r *runner) runHeard(_ *testing.T, _ *datadriven.TestData) string {
	out := strings.Join(r.triggerOutput, "\n")
	r.triggerOutput = nil
	return out
}

// runDrained: drained NODE: whether it neither leads nor serves workers.
func (r *runner) runDrained(t *testing.T, d *datadriven.TestData) string {
	return fmt.Sprint(r.c.controllers[r.node(t, d, first(t, d))].core.Drained())
}

// runMoved: how many tasks of all jobs are on record as moved, and how often tasks were stopped.
func (r *runner) runMoved(_ *testing.T, _ *datadriven.TestData) string {
	return r.c.Migrations()
}

func (r *runner) runShares(t *testing.T, d *datadriven.TestData) string {
	return r.c.Shares(first(t, d))
}

func (r *runner) runShards(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.c.ShardOwners(), "\n")
}

func (r *runner) runOwners(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.c.OwnersByShards(), "\n")
}

// runGaps: gaps [reset]: the longest times between two answers to a worker.
func (r *runner) runGaps(_ *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) > 0 && d.CmdArgs[0].Key == "reset" {
		r.c.answerGaps.Reset()
		return ""
	}
	return r.c.AnswerGaps()
}

func (r *runner) runForgotten(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.c.Forgotten(), "\n")
}

func (r *runner) runStarved(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.c.Starved(), "\n")
}

func (r *runner) runUnanswered(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.c.Unanswered(), "\n")
}

func (r *runner) runLeads(_ *testing.T, _ *datadriven.TestData) string {
	if r.c.Leader() < 0 {
		return "nobody"
	}
	return "one"
}

func (r *runner) runShow(_ *testing.T, _ *datadriven.TestData) string {
	return r.show()
}

// runShowCount: how many jobs there are, by what their users know and what runs.
func (r *runner) runShowCount(_ *testing.T, _ *datadriven.TestData) string {
	return r.showCount()
}

func (r *runner) runFleet(_ *testing.T, _ *datadriven.TestData) string {
	return r.fleet()
}

// show lists what runs where, by type, zone and kind of machine.
func (r *runner) show() string {
	var b bytes.Buffer
	var ids []string
	for id := range r.c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := r.c.jobs[id]
		where := map[string]int{}
		for task := range j.runningOn {
			for w := range j.runningOn[task] {
				kind := ""
				if w.machine.spot {
					kind = " spot"
				}
				where[w.machine.typ+" "+w.machine.zone+kind]++
			}
		}
		var places []string
		for p, n := range where {
			places = append(places, fmt.Sprintf("%d on %s", n, p))
		}
		slices.Sort(places)
		fmt.Fprintf(&b, "%s: %s\n", id, strings.Join(places, ", "))
	}
	return b.String()
}

// showCount counts jobs by what their users were told, and tasks that run.
func (r *runner) showCount() string {
	told, tasks := map[string]int{}, 0
	for _, j := range r.c.jobs {
		tasks += len(j.runningOn)
		switch {
		case j.reported != 0:
			told[j.reported.String()]++
		case j.accepted:
			told["unfinished"]++
		default:
			told["not accepted"]++
		}
	}
	var list []string
	for what, n := range told {
		list = append(list, fmt.Sprintf("%d %s", n, what))
	}
	slices.Sort(list)
	return fmt.Sprintf("%s; %d tasks run", strings.Join(list, ", "), tasks)
}

// fleet counts the machines that are paid for.
func (r *runner) fleet() string {
	count := map[string]int{}
	for _, h := range r.c.cloud.machines {
		if h.returned.IsZero() && h.failedAt.IsZero() {
			kind := h.typ + " " + h.zone
			if h.spot {
				kind += " spot"
			}
			count[kind]++
		}
	}
	var list []string
	for kind, n := range count {
		list = append(list, fmt.Sprintf("%d %s", n, kind))
	}
	slices.Sort(list)
	return strings.Join(list, "\n")
}

// jobStarts tells how often tasks of a job started.
func (r *runner) jobStarts(t *testing.T, d *datadriven.TestData) string {
	j := r.c.jobs[first(t, d)]
	if j == nil {
		d.Fatalf(t, "no such job")
	}
	if j.failures > 0 {
		return fmt.Sprintf("starts=%d completed=%d failures=%d", j.starts, len(j.completed), j.failures)
	}
	return fmt.Sprintf("starts=%d completed=%d", j.starts, len(j.completed))
}
