package simulator

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// runCancelNow: cancel_now COUNT [hang=D]: jobs that run and have long to go.
func (r *runner) runCancelNow(t *testing.T, d *datadriven.TestData) string {
	count, _ := strconv.Atoi(first(t, d))
	r.c.CancelNow(count, duration(t, d, arg(d, "hang", "0s")))
	return ""
}

// runCancelAtEnd: cancel_at_end SHARE, of the jobs that end from now on.
func (r *runner) runCancelAtEnd(t *testing.T, d *datadriven.TestData) string {
	share, err := strconv.ParseFloat(first(t, d), 64)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	r.c.cancelAtEndShare = share
	return ""
}

// runOddRequests: odd_requests COUNT every=D
func (r *runner) runOddRequests(t *testing.T, d *datadriven.TestData) string {
	count, _ := strconv.Atoi(first(t, d))
	every := duration(t, d, arg(d, "every", "500ms"))
	for i := range count {
		r.c.after(time.Duration(i)*every, r.c.InvalidRequests)
	}
	return ""
}

func (r *runner) runCloseLooks(t *testing.T, d *datadriven.TestData) string {
	r.c.queriesAfterChange = first(t, d) == "on"
	return ""
}

// runChanges: changes COUNT every=D [down=D]: the leader crashes that often, and is back after down.
func (r *runner) runChanges(t *testing.T, d *datadriven.TestData) string {
	count, _ := strconv.Atoi(first(t, d))
	r.c.ChangeLeaders(count, duration(t, d, arg(d, "every", "12s")), duration(t, d, arg(d, "down", "300ms")))
	return ""
}

func (r *runner) runCrash(t *testing.T, d *datadriven.TestData) string {
	if first(t, d) == "all" {
		for _, n := range r.c.controllers {
			n.crash()
		}
		return ""
	}
	r.c.controllers[r.node(t, d, first(t, d))].crash()
	return ""
}

func (r *runner) runRestart(t *testing.T, d *datadriven.TestData) string {
	for _, n := range r.c.controllers {
		if n.core == nil && (first(t, d) == "all" || n.name == first(t, d)) {
			n.start()
		}
	}
	return ""
}

// runSilence: silence NODE: its machine has lost power. It is back with restart.
func (r *runner) runSilence(t *testing.T, d *datadriven.TestData) string {
	n := r.c.controllers[r.node(t, d, first(t, d))]
	n.crash()
	n.poweredOff = true
	return n.name
}

// runSurges: surges TEAM share=S: from now on no task of the team's may go above its ceiling
// while others have room; share=0 ends it.
func (r *runner) runSurges(t *testing.T, d *datadriven.TestData) string {
	r.c.CheckCeiling(first(t, d), number(t, d, "share", "0"))
	return ""
}

func (r *runner) runFreeze(t *testing.T, d *datadriven.TestData) string {
	n := r.c.controllers[r.node(t, d, first(t, d))]
	n.freeze()
	return n.name
}

func (r *runner) runThaw(_ *testing.T, _ *datadriven.TestData) string {
	for _, n := range r.c.controllers {
		n.thaw()
	}
	return ""
}

// runStorm: storm COUNT over=D
func (r *runner) runStorm(t *testing.T, d *datadriven.TestData) string {
	count, _ := strconv.Atoi(first(t, d))
	r.c.QueryStorm(count, duration(t, d, arg(d, "over", "10s")))
	return ""
}

func (r *runner) runState(t *testing.T, d *datadriven.TestData) string {
	switch first(t, d) {
	case "down":
		r.c.state.setOutage(true)
	case "up":
		r.c.state.setOutage(false)
		r.c.state.readmit()
		r.c.state.delayedBy, r.c.state.delayJitter, r.c.state.delayedShare = 0, 0, 0
		r.c.state.lostReplyShare, r.c.state.slowShare, r.c.state.slowWatches = 0, 0, 0
	case "refuse":
		r.c.state.refused[r.c.controllers[r.node(t, d, arg(d, "node", "leader"))].name] = true
	case "late":
		// late by=D [more=D] [share=S]
		r.c.state.delayedBy = duration(t, d, arg(d, "by", "2s"))
		r.c.state.delayJitter = duration(t, d, arg(d, "more", "0s"))
		r.c.state.delayedShare = number(t, d, "share", "0")
	case "lost":
		// lost share=S, of transactions: applied at once, answered never
		r.c.state.lostReplyShare = number(t, d, "share", "0.33")
	case "slow":
		// slow by=D share=S, of requests: up to D each; slow by=D watches: new watches, by D
		if arg(d, "watches", "") != "" {
			r.c.state.slowWatches = duration(t, d, arg(d, "by", "2s"))
			return ""
		}
		r.c.state.slow, r.c.state.slowShare = duration(t, d, arg(d, "by", "2s")), number(t, d, "share", "0.33")
	case "spent":
		// Since the start or the last time.
		s := r.c.state
		out := fmt.Sprintf("changes=%d limited=%d", s.writes, s.rateLimited)
		s.writes, s.rateLimited = 0, 0
		return out
	default:
		d.Fatalf(t, "unknown state of the state service")
	}
	return ""
}

func (r *runner) runCloud(t *testing.T, d *datadriven.TestData) string {
	k := r.c.cloud
	switch first(t, d) {
	case "down":
		k.outage = true
	case "up":
		k.outage, k.delayedBy, k.neverBoots, k.deadShare, k.bootFactor, k.replyDelay = false, 0, false, 0, 0, 0
	case "late":
		k.delayedBy = duration(t, d, arg(d, "by", "5s"))
	case "never":
		k.neverBoots = true
	case "boots":
		// boots factor=F [dead=S] [answers=D]: boot times, the share that never comes
		// up, and how late rentals are answered.
		k.bootFactor, k.deadShare = number(t, d, "factor", "1"), number(t, d, "dead", "0")
		k.replyDelay = duration(t, d, arg(d, "answers", "0s"))
	default:
		d.Fatalf(t, "unknown state of the cloud")
	}
	return ""
}

// runMachine: machine WHAT NAME
func (r *runner) runMachine(t *testing.T, d *datadriven.TestData) string {
	if strings.HasPrefix(d.CmdArgs[1].Key, "machines:") {
		for _, name := range r.hosts(t, d, d.CmdArgs[1].Key) {
			if out := r.machineFault(t, d, name); out != "" {
				return out
			}
		}
		return ""
	}
	return r.machineFault(t, d, d.CmdArgs[1].Key)
}

// runCut: cut A B [hold] [oneway] [reset]: a host, "zone:Z", "zone:leader", "zone:others", "machines" or "nodes";
// oneway stops only what A sends to B, reset does so by ending connections.
func (r *runner) runCut(t *testing.T, d *datadriven.TestData) string {
	for _, a := range r.hosts(t, d, d.CmdArgs[0].Key) {
		for _, b := range r.hosts(t, d, d.CmdArgs[1].Key) {
			switch {
			case a == b:
			case arg(d, "reset", "") != "":
				r.c.ResetOneWay(a, b)
			case arg(d, "oneway", "") != "":
				r.c.CutOneWay(a, b, arg(d, "hold", "") != "")
			default:
				r.c.Cut(a, b, arg(d, "hold", "") != "")
			}
		}
	}
	return ""
}

// runIsolate: isolate NODE [refused]: it gets no answers from the state service, or 503.
func (r *runner) runIsolate(t *testing.T, d *datadriven.TestData) string {
	n := r.c.controllers[r.node(t, d, first(t, d))]
	if arg(d, "refused", "") != "" {
		r.c.IsolateRefused(n)
	} else {
		r.c.Isolate(n)
	}
	return ""
}

// runLinks: links slow=D: every message takes up to D more.
func (r *runner) runLinks(t *testing.T, d *datadriven.TestData) string {
	r.c.slowLinks = duration(t, d, arg(d, "slow", "0s"))
	return ""
}

// runHeal: heal [A B]
func (r *runner) runHeal(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) == 2 {
		for _, a := range r.hosts(t, d, d.CmdArgs[0].Key) {
			for _, b := range r.hosts(t, d, d.CmdArgs[1].Key) {
				r.c.HealBetween(a, b)
			}
		}
		return ""
	}
	r.c.Heal()
	return ""
}

// runCopies: copies on|off, of direct orders; copies reports=D, of reports up to D late;
// copies next=SHARE, of reports for the next leader.
func (r *runner) runCopies(t *testing.T, d *datadriven.TestData) string {
	r.c.duplicateCommands = first(t, d) == "on"
	r.c.staleHeartbeatShare = number(t, d, "next", "0")
	r.c.duplicateHeartbeats = duration(t, d, arg(d, "reports", "0s"))
	return ""
}

// machineFault befalls a machine.
func (r *runner) machineFault(t *testing.T, d *datadriven.TestData, name string) string {
	h := r.host(t, d, name)
	switch first(t, d) {
	case "hang":
		h.agent.hang(true)
	case "resume":
		if h.agent == nil || h.agent.dead {
			return "gone"
		}
		h.agent.hang(false)
	case "fail":
		r.c.cloud.fail(h)
	case "take":
		r.c.cloud.end(h)
	case "notice":
		h.agent.preemptionAt = r.c.now.Add(duration(t, d, arg(d, "in", "20s")))
		h.agent.statusChanged()
		r.c.after(duration(t, d, arg(d, "in", "20s")), func() { r.c.cloud.end(h) })
	case "sick":
		h.agent.failsTasks = true
	case "mute":
		h.agent.unheard = true
	case "unmute":
		h.agent.unheard = false
	case "reboot":
		h.agent.reboot()
	default:
		d.Fatalf(t, "unknown trouble")
	}
	return ""
}

// hosts are those that a name stands for: one, "zone:Z", "machines", "machines:N" for
// the first N that run, or "nodes".
func (r *runner) hosts(t *testing.T, d *datadriven.TestData, name string) []string {
	if count, ok := strings.CutPrefix(name, "machines:"); ok {
		return r.firstMachines(t, d, count)
	}
	if zone, ok := strings.CutPrefix(name, "zone:"); ok {
		return r.hostsOfZone(t, d, zone)
	}
	var list []string
	switch {
	case name == "machines":
		for _, h := range r.c.cloud.machines {
			list = append(list, h.name)
		}
	case name == "nodes":
		for _, n := range r.c.controllers {
			list = append(list, n.name)
		}
	case name == "leader" || name == "follower":
		list = append(list, r.c.controllers[r.node(t, d, name)].name)
	case strings.Contains(name, "/"):
		list = append(list, r.host(t, d, name).name)
	default:
		list = append(list, name)
	}
	return list
}

// firstMachines are the first that run, as many as count says.
func (r *runner) firstMachines(t *testing.T, d *datadriven.TestData, count string) (list []string) {
	n, err := strconv.Atoi(count)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	for _, h := range r.c.cloud.machines {
		if len(list) < n && h.agent != nil && !h.agent.dead {
			list = append(list, h.name)
		}
	}
	return list
}

// hostsOfZone are the machines and controllers of a zone: by its name, "leader" for the
// leader's, or "others" for all but that.
func (r *runner) hostsOfZone(t *testing.T, d *datadriven.TestData, zone string) (list []string) {
	others := zone == "others"
	if zone == "leader" || others {
		zone = r.c.controllers[r.node(t, d, "leader")].zone
	}
	for _, h := range r.c.cloud.machines {
		if (h.zone == zone) != others {
			list = append(list, h.name)
		}
	}
	for _, n := range r.c.controllers {
		if (n.zone == zone) != others {
			list = append(list, n.name)
		}
	}
	return list
}
