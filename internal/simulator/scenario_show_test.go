package simulator

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// runTriggerOutput handles "trigger_output": it prints the results of the commands that triggers
// have run since the previous "trigger_output".
func (r *scenarioRunner) runTriggerOutput(_ *testing.T, _ *datadriven.TestData) string {
	out := strings.Join(r.triggerOutput, "\n")
	r.triggerOutput = nil
	return out
}

// runDrained handles "drained NODE": whether the controller neither leads nor serves workers.
func (r *scenarioRunner) runDrained(t *testing.T, d *datadriven.TestData) string {
	return fmt.Sprint(r.cluster.controllers[r.controllerIndex(t, d, firstArg(t, d))].core.Drained())
}

// runMigrations handles "migrations": how many tasks of all jobs are on record as migrated, and how
// many stop orders reached tasks that were fetching or running.
func (r *scenarioRunner) runMigrations(_ *testing.T, _ *datadriven.TestData) string {
	return r.cluster.Migrations()
}

// runShares handles "shares TEAM": the shares of machines that the team's tasks take.
func (r *scenarioRunner) runShares(t *testing.T, d *datadriven.TestData) string {
	return r.cluster.TeamShares(firstArg(t, d))
}

// runShards handles "shards": the owner of each shard.
func (r *scenarioRunner) runShards(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.ShardOwners(), "\n")
}

// runShardCounts handles "shard_counts": how many shards each controller owns, and how many move.
func (r *scenarioRunner) runShardCounts(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.ShardCounts(), "\n")
}

// runReplyIntervals handles "reply_intervals [reset]": the distribution of the times between two
// responses to a worker. With reset it forgets the times so far instead.
func (r *scenarioRunner) runReplyIntervals(_ *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) > 0 && d.CmdArgs[0].Key == "reset" {
		r.cluster.replyIntervals.Reset()
		return ""
	}
	return r.cluster.ReplyIntervals()
}

// runLongUnanswered handles "long_unanswered": the jobs whose queries got no answer for longer than
// maxTimeUnanswered.
func (r *scenarioRunner) runLongUnanswered(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.LongUnanswered(), "\n")
}

// runStarved handles "starved": the teams and classes of which fewer than half of the jobs have
// started, and large jobs that waited longer than maxTimeToFirstStart (see Cluster.Starved).
func (r *scenarioRunner) runStarved(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.Starved(), "\n")
}

// runUnanswered handles "unanswered": the accepted and not cancelled jobs for which a query to some
// running controller fails.
func (r *scenarioRunner) runUnanswered(_ *testing.T, _ *datadriven.TestData) string {
	return strings.Join(r.cluster.Unanswered(), "\n")
}

// runHasLeader handles "has_leader": whether there is a leader.
func (r *scenarioRunner) runHasLeader(_ *testing.T, _ *datadriven.TestData) string {
	if r.cluster.Leader() < 0 {
		return "nobody"
	}
	return "one"
}

// runShow handles "show": the running tasks of each job and the types of their machines.
func (r *scenarioRunner) runShow(_ *testing.T, _ *datadriven.TestData) string {
	return r.listRunningTasks()
}

// runShowCount handles "show_count": the number of jobs by the state that their users know, and the
// number of running tasks.
func (r *scenarioRunner) runShowCount(_ *testing.T, _ *datadriven.TestData) string {
	return r.countJobs()
}

// runMachineCounts handles "machine_counts": the number of machines of each type and zone that are
// neither terminated nor failed.
func (r *scenarioRunner) runMachineCounts(_ *testing.T, _ *datadriven.TestData) string {
	return r.countMachines()
}

// listRunningTasks lists for each job its running tasks by type and zone of their machines, and
// counts those on spot machines separately.
func (r *scenarioRunner) listRunningTasks() string {
	var b bytes.Buffer
	var ids []string
	for id := range r.cluster.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := r.cluster.jobs[id]
		tasksByPlace := map[string]int{}
		for task := range j.runningOn {
			for w := range j.runningOn[task] {
				kind := ""
				if w.machine.spot {
					kind = " spot"
				}
				tasksByPlace[w.machine.machineType+" "+w.machine.zone+kind]++
			}
		}
		var places []string
		for p, n := range tasksByPlace {
			places = append(places, fmt.Sprintf("%d on %s", n, p))
		}
		slices.Sort(places)
		fmt.Fprintf(&b, "%s: %s\n", id, strings.Join(places, ", "))
	}
	return b.String()
}

// countJobs counts the jobs by the state that their users were told, and the running tasks.
func (r *scenarioRunner) countJobs() string {
	counts, tasks := map[string]int{}, 0
	for _, j := range r.cluster.jobs {
		tasks += len(j.runningOn)
		switch {
		case j.reportedState != 0:
			counts[j.reportedState.String()]++
		case j.accepted:
			counts["unfinished"]++
		default:
			counts["not accepted"]++
		}
	}
	var list []string
	for state, n := range counts {
		list = append(list, fmt.Sprintf("%d %s", n, state))
	}
	slices.Sort(list)
	return fmt.Sprintf("%s; %d tasks run", strings.Join(list, ", "), tasks)
}

// countMachines counts the machines that are neither terminated nor failed, by type and zone, and
// spot machines separately.
func (r *scenarioRunner) countMachines() string {
	count := map[string]int{}
	for _, h := range r.cluster.cloud.machines {
		if h.terminatedAt.IsZero() && h.failedAt.IsZero() {
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

// runJobStarts handles "job_starts JOB": how often tasks of the job started and failed, and how
// many have completed.
func (r *scenarioRunner) runJobStarts(t *testing.T, d *datadriven.TestData) string {
	j := r.cluster.jobs[firstArg(t, d)]
	if j == nil {
		d.Fatalf(t, "there is no job %q", firstArg(t, d))
	}
	if j.failures > 0 {
		return fmt.Sprintf("starts=%d completed=%d failures=%d", j.startCount, len(j.completed), j.failures)
	}
	return fmt.Sprintf("starts=%d completed=%d", j.startCount, len(j.completed))
}
