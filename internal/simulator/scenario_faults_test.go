package simulator

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// runCancelNow handles "cancel_now COUNT [hang=D]": it cancels random running jobs whose tasks still
// have long to run (see CancelRunningJobs). With hang, up to eight of their machines hang for D.
func (r *scenarioRunner) runCancelNow(t *testing.T, d *datadriven.TestData) string {
	count, _ := strconv.Atoi(firstArg(t, d))
	r.cluster.CancelRunningJobs(count, parseDuration(t, d, arg(d, "hang", "0s")))
	return ""
}

// runCancelAtEnd handles "cancel_at_end SHARE": from now on this share of the jobs is cancelled
// just as they complete.
func (r *scenarioRunner) runCancelAtEnd(t *testing.T, d *datadriven.TestData) string {
	share, err := strconv.ParseFloat(firstArg(t, d), 64)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	r.cluster.cancelOnCompletionShare = share
	return ""
}

// runInvalidRequests handles "invalid_requests COUNT [every=D]": it sends invalid and repeated
// requests COUNT times.
func (r *scenarioRunner) runInvalidRequests(t *testing.T, d *datadriven.TestData) string {
	count, _ := strconv.Atoi(firstArg(t, d))
	every := parseDuration(t, d, arg(d, "every", "500ms"))
	for i := range count {
		r.cluster.after(time.Duration(i)*every, r.cluster.SendInvalidRequests)
	}
	return ""
}

// runQueryAfterChange handles "query_after_change on|off": while it is on, users query all
// controllers right after each change of a job.
func (r *scenarioRunner) runQueryAfterChange(t *testing.T, d *datadriven.TestData) string {
	r.cluster.queriesAfterChange = firstArg(t, d) == "on"
	return ""
}

// runCrashLeaders handles "crash_leaders COUNT [every=D] [down=D]": the leader crashes COUNT times,
// and each time restarts after the time that down gives.
func (r *scenarioRunner) runCrashLeaders(t *testing.T, d *datadriven.TestData) string {
	count, _ := strconv.Atoi(firstArg(t, d))
	r.cluster.CrashLeaders(count, parseDuration(t, d, arg(d, "every", "12s")), parseDuration(t, d, arg(d, "down", "300ms")))
	return ""
}

// runCrash handles "crash NODE" and "crash all".
func (r *scenarioRunner) runCrash(t *testing.T, d *datadriven.TestData) string {
	if firstArg(t, d) == "all" {
		for _, n := range r.cluster.controllers {
			n.crash()
		}
		return ""
	}
	r.cluster.controllers[r.controllerIndex(t, d, firstArg(t, d))].crash()
	return ""
}

// runRestart handles "restart NAME" and "restart all": it starts controllers that are down.
func (r *scenarioRunner) runRestart(t *testing.T, d *datadriven.TestData) string {
	for _, n := range r.cluster.controllers {
		if n.core == nil && (firstArg(t, d) == "all" || n.name == firstArg(t, d)) {
			n.start()
		}
	}
	return ""
}

// runPowerOff handles "power_off NODE": the controller's host loses power, until "restart". Unlike a
// host whose controller has crashed, it does not even refuse connections.
func (r *scenarioRunner) runPowerOff(t *testing.T, d *datadriven.TestData) string {
	n := r.cluster.controllers[r.controllerIndex(t, d, firstArg(t, d))]
	n.crash()
	n.poweredOff = true
	return n.name
}

// runCheckCeiling handles "check_ceiling TEAM share=S": from now on it is a violation if the team's
// tasks take more than this share of a machine while other machines have free capacity. share=0
// ends the check.
func (r *scenarioRunner) runCheckCeiling(t *testing.T, d *datadriven.TestData) string {
	r.cluster.SetCeilingCheck(firstArg(t, d), numberArg(t, d, "share", "0"))
	return ""
}

// runFreeze handles "freeze NODE": the controller's process does nothing until "thaw".
func (r *scenarioRunner) runFreeze(t *testing.T, d *datadriven.TestData) string {
	n := r.cluster.controllers[r.controllerIndex(t, d, firstArg(t, d))]
	n.freeze()
	return n.name
}

// runThaw handles "thaw": all frozen processes resume and handle what arrived meanwhile.
func (r *scenarioRunner) runThaw(_ *testing.T, _ *datadriven.TestData) string {
	for _, n := range r.cluster.controllers {
		n.thaw()
	}
	return ""
}

// runQueryStorm handles "query_storm COUNT [over=D]": users send COUNT queries for random jobs, spread
// over D.
func (r *scenarioRunner) runQueryStorm(t *testing.T, d *datadriven.TestData) string {
	count, _ := strconv.Atoi(firstArg(t, d))
	r.cluster.QueryStorm(count, parseDuration(t, d, arg(d, "over", "10s")))
	return ""
}

// runState handles "state FAULT ..." for faults of the state service, "state up", which ends them,
// and "state usage", which prints the writes and the requests refused by the rate limits.
func (r *scenarioRunner) runState(t *testing.T, d *datadriven.TestData) string {
	switch firstArg(t, d) {
	case "down":
		r.cluster.state.setOutage(true)
	case "up":
		r.cluster.state.setOutage(false)
		r.cluster.state.readmit()
		r.cluster.state.commitDelay, r.cluster.state.commitDelayJitter, r.cluster.state.delayedCommitShare = 0, 0, 0
		r.cluster.state.lostReplyShare, r.cluster.state.slowRequestShare, r.cluster.state.watchDelay = 0, 0, 0
	case "refuse":
		r.cluster.state.refusedControllers[r.cluster.controllers[r.controllerIndex(t, d, arg(d, "node", "leader"))].name] = true
	case "late":
		// late [by=D] [more=E] [share=S]: this share of transactions, or all of them without
		// share, is applied D to D+E later, without a response.
		r.cluster.state.commitDelay = parseDuration(t, d, arg(d, "by", "2s"))
		r.cluster.state.commitDelayJitter = parseDuration(t, d, arg(d, "more", "0s"))
		r.cluster.state.delayedCommitShare = numberArg(t, d, "share", "0")
	case "lost":
		// lost [share=S]: this share of transactions is applied at once and gets no response.
		r.cluster.state.lostReplyShare = numberArg(t, d, "share", "0.33")
	case "slow":
		// slow [by=D] [share=S]: this share of requests takes up to D longer.
		// slow [by=D] watches: responses to watches arrive D later.
		if arg(d, "watches", "") != "" {
			r.cluster.state.watchDelay = parseDuration(t, d, arg(d, "by", "2s"))
			return ""
		}
		r.cluster.state.maxRequestDelay, r.cluster.state.slowRequestShare = parseDuration(t, d, arg(d, "by", "2s")), numberArg(t, d, "share", "0.33")
	case "usage":
		// The counts since the start or the previous "state usage".
		s := r.cluster.state
		out := fmt.Sprintf("changes=%d limited=%d", s.writes, s.rateLimited)
		s.writes, s.rateLimited = 0, 0
		return out
	default:
		d.Fatalf(t, "unknown fault of the state service")
	}
	return ""
}

// runCloud handles "cloud FAULT ..." for faults of the cloud, and "cloud up", which ends them.
func (r *scenarioRunner) runCloud(t *testing.T, d *datadriven.TestData) string {
	k := r.cluster.cloud
	switch firstArg(t, d) {
	case "down":
		k.outage = true
	case "up":
		k.outage, k.requestDelay, k.neverBoots, k.bootFailureShare, k.bootTimeFactor, k.replyDelay = false, 0, false, 0, 0, 0
	case "late":
		k.requestDelay = parseDuration(t, d, arg(d, "by", "5s"))
	case "never":
		k.neverBoots = true
	case "boots":
		// boots [factor=F] [dead=S] [answers=D]: a factor for boot times, the share of new
		// machines that never boot, and the delay of responses to requests for machines.
		k.bootTimeFactor, k.bootFailureShare = numberArg(t, d, "factor", "1"), numberArg(t, d, "dead", "0")
		k.replyDelay = parseDuration(t, d, arg(d, "answers", "0s"))
	default:
		d.Fatalf(t, "unknown fault of the cloud")
	}
	return ""
}

// runMachine handles "machine FAULT MACHINE", or "machine FAULT machines:N" for the first N machines
// that run.
func (r *scenarioRunner) runMachine(t *testing.T, d *datadriven.TestData) string {
	if strings.HasPrefix(d.CmdArgs[1].Key, "machines:") {
		for _, name := range r.hostNames(t, d, d.CmdArgs[1].Key) {
			if out := r.injectMachineFault(t, d, name); out != "" {
				return out
			}
		}
		return ""
	}
	return r.injectMachineFault(t, d, d.CmdArgs[1].Key)
}

// runCut handles "cut A B [hold] [oneway] [reset]". A and B are names as hostNames takes them. Messages
// between A and B are lost; with hold, they are delivered when the cut ends. With oneway, this
// applies only to messages from A to B. With reset, connections fail when A sends to B instead.
func (r *scenarioRunner) runCut(t *testing.T, d *datadriven.TestData) string {
	for _, a := range r.hostNames(t, d, d.CmdArgs[0].Key) {
		for _, b := range r.hostNames(t, d, d.CmdArgs[1].Key) {
			switch {
			case a == b:
			case arg(d, "reset", "") != "":
				r.cluster.ResetOneWay(a, b)
			case arg(d, "oneway", "") != "":
				r.cluster.CutOneWay(a, b, arg(d, "hold", "") != "")
			default:
				r.cluster.Cut(a, b, arg(d, "hold", "") != "")
			}
		}
	}
	return ""
}

// runIsolate handles "isolate NODE [refused]": the controller is cut off from the other controllers
// and from the state service. With refused, the state service replies with status 503 instead.
func (r *scenarioRunner) runIsolate(t *testing.T, d *datadriven.TestData) string {
	n := r.cluster.controllers[r.controllerIndex(t, d, firstArg(t, d))]
	if arg(d, "refused", "") != "" {
		r.cluster.IsolateRefused(n)
	} else {
		r.cluster.Isolate(n)
	}
	return ""
}

// runLinks handles "links [slow=D]": every message takes up to D longer.
func (r *scenarioRunner) runLinks(t *testing.T, d *datadriven.TestData) string {
	r.cluster.extraLinkDelay = parseDuration(t, d, arg(d, "slow", "0s"))
	return ""
}

// runHeal handles "heal [A B]": it ends the cuts between A and B, or all cuts.
func (r *scenarioRunner) runHeal(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) == 2 {
		for _, a := range r.hostNames(t, d, d.CmdArgs[0].Key) {
			for _, b := range r.hostNames(t, d, d.CmdArgs[1].Key) {
				r.cluster.HealBetween(a, b)
			}
		}
		return ""
	}
	r.cluster.Heal()
	return ""
}

// runDuplicates handles "duplicates on|off [reports=D] [next=SHARE]". While it is on, direct commands
// are delivered a second time after duplicateDelay. With reports, heartbeats are delivered again one
// second and up to D later. With next, copies of a share of the heartbeats are kept and delivered
// to every controller when the next leader is elected.
func (r *scenarioRunner) runDuplicates(t *testing.T, d *datadriven.TestData) string {
	r.cluster.duplicateCommands = firstArg(t, d) == "on"
	r.cluster.staleHeartbeatShare = numberArg(t, d, "next", "0")
	r.cluster.duplicateHeartbeatDelay = parseDuration(t, d, arg(d, "reports", "0s"))
	return ""
}

// injectMachineFault injects the fault that the first argument names, or ends it. It returns
// "gone" if a machine that should resume no longer runs.
func (r *scenarioRunner) injectMachineFault(t *testing.T, d *datadriven.TestData, name string) string {
	h := r.findMachine(t, d, name)
	switch firstArg(t, d) {
	case "hang":
		h.agent.setHung(true)
	case "resume":
		if h.agent == nil || h.agent.dead {
			return "gone"
		}
		h.agent.setHung(false)
	case "fail":
		r.cluster.cloud.failMachine(h)
	case "terminate":
		r.cluster.cloud.terminateMachine(h)
	case "notice":
		h.agent.preemptionAt = r.cluster.now.Add(parseDuration(t, d, arg(d, "in", "20s")))
		h.agent.statusChanged()
		r.cluster.after(parseDuration(t, d, arg(d, "in", "20s")), func() { r.cluster.cloud.terminateMachine(h) })
	case "fail_tasks":
		h.agent.failsAllTasks = true
	case "lose_heartbeats":
		h.agent.heartbeatsLost = true
	case "restore_heartbeats":
		h.agent.heartbeatsLost = false
	case "reboot":
		h.agent.reboot()
	default:
		d.Fatalf(t, "unknown fault of a machine")
	}
	return ""
}

// hostNames returns the names of the hosts that a name stands for: "zone:Z" (see zoneHostNames),
// "machines" for all machines, "machines:N" for the first N that run, "nodes" for all controllers,
// "leader", "follower", "job/task" for the machine that runs it, or any single host.
func (r *scenarioRunner) hostNames(t *testing.T, d *datadriven.TestData, name string) []string {
	if count, ok := strings.CutPrefix(name, "machines:"); ok {
		return r.runningMachineNames(t, d, count)
	}
	if zone, ok := strings.CutPrefix(name, "zone:"); ok {
		return r.zoneHostNames(t, d, zone)
	}
	var list []string
	switch {
	case name == "machines":
		for _, h := range r.cluster.cloud.machines {
			list = append(list, h.name)
		}
	case name == "nodes":
		for _, n := range r.cluster.controllers {
			list = append(list, n.name)
		}
	case name == "leader" || name == "follower":
		list = append(list, r.cluster.controllers[r.controllerIndex(t, d, name)].name)
	case strings.Contains(name, "/"):
		list = append(list, r.findMachine(t, d, name).name)
	default:
		list = append(list, name)
	}
	return list
}

// runningMachineNames returns the first machines that run, count at the most.
func (r *scenarioRunner) runningMachineNames(t *testing.T, d *datadriven.TestData, count string) (list []string) {
	n, err := strconv.Atoi(count)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	for _, h := range r.cluster.cloud.machines {
		if len(list) < n && h.agent != nil && !h.agent.dead {
			list = append(list, h.name)
		}
	}
	return list
}

// zoneHostNames returns the machines and controllers of a zone, given by its name, of the leader's
// zone for "leader", or of all other zones for "others".
func (r *scenarioRunner) zoneHostNames(t *testing.T, d *datadriven.TestData, zone string) (list []string) {
	others := zone == "others"
	if zone == "leader" || others {
		zone = r.cluster.controllers[r.controllerIndex(t, d, "leader")].zone
	}
	for _, h := range r.cluster.cloud.machines {
		if (h.zone == zone) != others {
			list = append(list, h.name)
		}
	}
	for _, n := range r.cluster.controllers {
		if (n.zone == zone) != others {
			list = append(list, n.name)
		}
	}
	return list
}
