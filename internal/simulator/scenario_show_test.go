package simulator

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// runTriggerOutput: what came of the commands that ran in moments since the last time.
func (r *scenarioRunner) runTriggerOutput(_ *testing.T, _ *datadriven.TestData) string {
	out := strings.Join(r.triggerOutput, "\n")
	r.triggerOutput = nil
	return out
}

// runDrained: drained NODE: whether it neither leads nor serves workers.
func (r *scenarioRunner) runDrained(t *testing.T, d *datadriven.TestData) string {
	return fmt.Sprint(r.cluster.controllers[r.controllerIndex(t, d, firstArg(t, d))].core.Drained())
}

// runMigrations: how many tasks of all jobs are on record as moved, and how often tasks were stopped.
func (r *scenarioRunner) runMigrations(_ *testing.T, _ *datadriven.TestData) string {
	return r.cluster.Migrations()
}

func (r *scenarioRunner) runShares(t *testing.T, d *datadriven.TestData) string {
	return r.cluster.TeamShares(firstArg(t, d))
}

func (r *scenarioRunner) runShards(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.ShardOwners(), "\n")
}

func (r *scenarioRunner) runOwnersByShards(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.ShardCounts(), "\n")
}

// runAnswerGaps: gaps [reset]: the longest times between two answers to a worker.
func (r *scenarioRunner) runAnswerGaps(_ *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) > 0 && d.CmdArgs[0].Key == "reset" {
		r.cluster.replyIntervals.Reset()
		return ""
	}
	return r.cluster.ReplyIntervals()
}

func (r *scenarioRunner) runForgotten(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.LongUnanswered(), "\n")
}

func (r *scenarioRunner) runStarved(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.Starved(), "\n")
}

func (r *scenarioRunner) runUnanswered(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.Unanswered(), "\n")
}

func (r *scenarioRunner) runHasLeader(_ *testing.T, _ *datadriven.TestData) string {
	if r.cluster.Leader() < 0 {
		return "nobody"
	}
	return "one"
}

func (r *scenarioRunner) runShow(_ *testing.T, _ *datadriven.TestData) string {
	return r.listRunningTasks()
}

// runShowCount: how many jobs there are, by what their users know and what runs.
func (r *scenarioRunner) runShowCount(_ *testing.T, _ *datadriven.TestData) string {
	return r.countJobs()
}

func (r *scenarioRunner) runMachineCount(_ *testing.T, _ *datadriven.TestData) string {
	return r.countMachines()
}

// listRunningTasks lists what runs where, by type, zone and kind of machine.
func (r *scenarioRunner) listRunningTasks() string {
	var b bytes.Buffer
	var ids []string
	for id := range r.cluster.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := r.cluster.jobs[id]
		where := map[string]int{}
		for task := range j.runningOn {
			for w := range j.runningOn[task] {
				kind := ""
				if w.machine.spot {
					kind = " spot"
				}
				where[w.machine.machineType+" "+w.machine.zone+kind]++
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

// countJobs counts jobs by what their users were told, and tasks that run.
func (r *scenarioRunner) countJobs() string {
	told, tasks := map[string]int{}, 0
	for _, j := range r.cluster.jobs {
		tasks += len(j.runningOn)
		switch {
		case j.reportedState != 0:
			told[j.reportedState.String()]++
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

// countMachines counts the machines that are paid for.
func (r *scenarioRunner) countMachines() string {
	count := map[string]int{}
	for _, h := range r.cluster.cloud.machines {
		if h.returnedAt.IsZero() && h.failedAt.IsZero() {
			kind := h.machineType + " " + h.zone
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

// runJobStarts tells how often tasks of a job started.
func (r *scenarioRunner) runJobStarts(t *testing.T, d *datadriven.TestData) string {
	j := r.cluster.jobs[firstArg(t, d)]
	if j == nil {
		d.Fatalf(t, "no such job")
	}
	if j.failures > 0 {
		return fmt.Sprintf("starts=%d completed=%d failures=%d", j.startCount, len(j.completed), j.failures)
	}
	return fmt.Sprintf("starts=%d completed=%d", j.startCount, len(j.completed))
}
