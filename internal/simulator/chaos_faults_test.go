package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// chaosFaults are the kinds of fault that are injected. Each gets a random controller, often the
// leader, and may ignore it. Those that are listed twice occur twice as often.
var chaosFaults = []func(*chaosRun, *controllerHost){
	(*chaosRun).controllerCrash,
	(*chaosRun).controllerCrash,
	(*chaosRun).stateOutage,
	(*chaosRun).refusedController,
	(*chaosRun).brieflyDelayedTransactions,
	(*chaosRun).cloudOutage,
	(*chaosRun).delayedCloud,
	(*chaosRun).hungMachines,
	(*chaosRun).hungMachines,
	(*chaosRun).failedMachines,
	(*chaosRun).preemptionNotices,
	(*chaosRun).cutMachines,
	(*chaosRun).cutController,
	(*chaosRun).machinesFailingTasks,
	(*chaosRun).machinesWithoutInbound,
	(*chaosRun).isolatedController,
	(*chaosRun).quickRestarts,
	(*chaosRun).shortHangs,
	(*chaosRun).agentRestarts,
	(*chaosRun).powerLoss,
	(*chaosRun).frozenController,
	(*chaosRun).abnormalBoots,
	(*chaosRun).delayedTransactions,
	(*chaosRun).queryStorm,
	(*chaosRun).manySmallJobs,
	(*chaosRun).hugeJob,
	(*chaosRun).lostReplies,
	(*chaosRun).staleHeartbeats,
	(*chaosRun).machinesWithoutOutbound,
	(*chaosRun).refusedAndIsolated,
	(*chaosRun).cancellations,
	(*chaosRun).cancellationsAtTheEnd,
	(*chaosRun).invalidRequests,
	(*chaosRun).queriesAfterChanges,
	(*chaosRun).slowState,
	(*chaosRun).jobStreamWithCancellations,
	(*chaosRun).leaderChanges,
	(*chaosRun).faultAtTrigger,
	(*chaosRun).zoneCut,
	(*chaosRun).allControllersDown,
}

// powerLoss cuts the power of a controller's host for up to 75.5 s. Meanwhile the host does not even
// refuse connections.
func (r *chaosRun) powerLoss(n *controllerHost) {
	if n.core != nil {
		n.crash()
		n.poweredOff = true
		r.afterRandomDelay(75, func() {
			if n.core == nil {
				n.start()
			}
		})
	}
}

// frozenController suspends a controller's process, half of the time the leader's.
func (r *chaosRun) frozenController(n *controllerHost) {
	if i := r.cluster.Leader(); i >= 0 && r.rng.IntN(2) == 0 {
		n = r.cluster.controllers[i]
	}
	n.freeze()
	r.afterRandomDelay(30, n.thaw)
}

// abnormalBoots delays responses to requests for machines. Boots may become instant or slow, and half
// of the new machines may never come up.
func (r *chaosRun) abnormalBoots(_ *controllerHost) {
	r.cluster.cloud.bootTimeFactor, r.cluster.cloud.bootFailureShare = []float64{0.01, 1, 6}[r.rng.IntN(3)], []float64{0, 0.5}[r.rng.IntN(2)]
	r.cluster.cloud.replyDelay = time.Duration(r.rng.IntN(3000)) * time.Millisecond
	r.afterRandomDelay(60, func() {
		r.cluster.cloud.bootTimeFactor, r.cluster.cloud.bootFailureShare, r.cluster.cloud.replyDelay = 0, 0, 0
	})
}

// delayedTransactions applies a share of the transactions 2 to 12 s late, without a response.
func (r *chaosRun) delayedTransactions(_ *controllerHost) {
	r.cluster.state.commitDelay, r.cluster.state.commitDelayJitter, r.cluster.state.delayedCommitShare = 2*time.Second, 10*time.Second, 0.05+r.rng.Float64()/3
	r.afterRandomDelay(20, func() {
		r.cluster.state.commitDelay, r.cluster.state.commitDelayJitter, r.cluster.state.delayedCommitShare = 0, 0, 0
	})
}

func (r *chaosRun) queryStorm(_ *controllerHost) {
	if r.submitted > 0 {
		r.cluster.QueryStorm(1000, 10*time.Second)
	}
}

func (r *chaosRun) manySmallJobs(_ *controllerHost) {
	for range 25 {
		r.submit(func(j *protocol.Job) { j.Tasks, j.Spread = 1, false })
	}
}

// hugeJob submits a job of 300 small tasks, or of 30,000 in a large fleet.
func (r *chaosRun) hugeJob(_ *controllerHost) {
	r.submit(func(j *protocol.Job) {
		j.Kind, j.Team, j.Tasks, j.CPUs, j.MemoryGB = protocol.Batch, "guest", 300*r.scale, 0.125, 0.1
	})
}

// machinesWithoutInbound cuts machines off from everything that controllers send, including replies
// to heartbeats, while the heartbeats still arrive.
func (r *chaosRun) machinesWithoutInbound(_ *controllerHost) {
	for _, h := range r.faultTargets() {
		reset := r.rng.IntN(2) == 0
		for _, p := range r.cluster.controllers {
			if reset {
				r.cluster.ResetOneWay(p.name, h.name)
			} else {
				r.cluster.CutOneWay(p.name, h.name, r.rng.IntN(2) == 0)
			}
		}
		r.afterRandomDelay(40, r.cluster.Heal)
	}
}

func (r *chaosRun) isolatedController(n *controllerHost) {
	if i := r.cluster.Leader(); i >= 0 && r.rng.IntN(2) == 0 {
		n = r.cluster.controllers[i]
	}
	r.cluster.Isolate(n)
	r.afterRandomDelay(30, r.cluster.Heal)
}

// quickRestarts restarts a controller within a fraction of a second, once or twice in a row.
func (r *chaosRun) quickRestarts(n *controllerHost) {
	if i := r.cluster.Leader(); i >= 0 && r.rng.IntN(2) == 0 {
		n = r.cluster.controllers[i]
	}
	for range 1 + r.rng.IntN(2) {
		if n.core != nil {
			n.crash()
		}
		r.cluster.Advance(time.Duration(20+r.rng.IntN(400)) * time.Millisecond)
		if n.core == nil {
			n.start()
		}
		r.cluster.Advance(time.Duration(r.rng.IntN(300)) * time.Millisecond)
	}
}

func (r *chaosRun) shortHangs(_ *controllerHost) {
	list := slices.DeleteFunc(slices.Clone(r.faultTargets()), func(h *machine) bool { return h.agent.hung })
	for _, h := range list {
		h.agent.setHung(true)
	}
	if len(list) > 0 {
		r.cluster.Advance(time.Duration(50+r.rng.IntN(900)) * time.Millisecond)
	}
	for _, h := range list {
		if !h.agent.dead {
			h.agent.setHung(false)
		}
	}
}

func (r *chaosRun) agentRestarts(_ *controllerHost) {
	for _, h := range r.faultTargets() {
		h.agent.reboot()
	}
}

func (r *chaosRun) controllerCrash(n *controllerHost) {
	if i := r.cluster.Leader(); i >= 0 && r.rng.IntN(2) == 0 {
		n = r.cluster.controllers[i]
	}
	if n.core != nil {
		n.crash()
		r.afterRandomDelay(6, func() {
			if n.core == nil {
				n.start()
			}
		})
	}
}

func (r *chaosRun) stateOutage(_ *controllerHost) {
	r.cluster.state.setOutage(true)
	r.afterRandomDelay(30, func() { r.cluster.state.setOutage(false) })
}

func (r *chaosRun) refusedController(n *controllerHost) {
	r.cluster.state.refusedControllers[n.name] = true
	r.afterRandomDelay(25, func() { r.cluster.state.readmit(n.name) })
}

// brieflyDelayedTransactions applies all transactions up to 4 s late, without a response.
func (r *chaosRun) brieflyDelayedTransactions(_ *controllerHost) {
	r.cluster.state.commitDelay = time.Duration(r.rng.IntN(4000)) * time.Millisecond
	r.afterRandomDelay(3, func() { r.cluster.state.commitDelay = 0 })
}

func (r *chaosRun) cloudOutage(_ *controllerHost) {
	r.cluster.cloud.outage = true
	r.afterRandomDelay(30, func() { r.cluster.cloud.outage = false })
}

func (r *chaosRun) delayedCloud(_ *controllerHost) {
	r.cluster.cloud.requestDelay = time.Duration(r.rng.IntN(9000)) * time.Millisecond
	r.afterRandomDelay(6, func() { r.cluster.cloud.requestDelay = 0 })
}

func (r *chaosRun) hungMachines(_ *controllerHost) {
	for _, h := range r.faultTargets() {
		w := h.agent
		if w.hung {
			continue
		}
		w.setHung(true)
		r.afterRandomDelay(25, func() {
			if !w.dead {
				w.setHung(false)
			}
		})
	}
}

func (r *chaosRun) failedMachines(_ *controllerHost) {
	for _, h := range r.faultTargets() {
		r.cluster.cloud.failMachine(h)
	}
}

func (r *chaosRun) preemptionNotices(_ *controllerHost) {
	for _, h := range r.faultTargets() {
		h.agent.preemptionAt = r.cluster.now.Add(10 * time.Second)
		h.agent.statusChanged()
		r.cluster.after(10*time.Second, func() { r.cluster.cloud.terminateMachine(h) })
	}
}

func (r *chaosRun) cutMachines(n *controllerHost) {
	for _, h := range r.faultTargets() {
		r.cluster.Cut(n.name, h.name, r.rng.IntN(2) == 0)
		r.afterRandomDelay(15, r.cluster.Heal)
	}
}

// cutController cuts a controller from another one and from about half of the machines in its zone.
func (r *chaosRun) cutController(n *controllerHost) {
	p := r.cluster.controllers[r.rng.IntN(3)]
	if p != n {
		r.cluster.Cut(n.name, p.name, r.rng.IntN(2) == 0)
	}
	for _, h := range r.cluster.cloud.machines {
		if h.zone == n.zone && r.rng.IntN(2) == 0 {
			r.cluster.Cut(n.name, h.name, true)
		}
	}
	r.afterRandomDelay(20, r.cluster.Heal)
}

func (r *chaosRun) machinesFailingTasks(_ *controllerHost) {
	for _, h := range r.faultTargets() {
		w := h.agent
		w.failsAllTasks = true
		r.afterRandomDelay(20, func() { w.failsAllTasks = false })
	}
}

// lostReplies loses responses of the state service to transactions that it applies.
func (r *chaosRun) lostReplies(_ *controllerHost) {
	r.cluster.state.lostReplyShare = 0.05 + r.rng.Float64()/2
	r.afterRandomDelay(20, func() { r.cluster.state.lostReplyShare = 0 })
}

// staleHeartbeats keeps copies of heartbeats, which reach the next leader as it takes over.
func (r *chaosRun) staleHeartbeats(_ *controllerHost) {
	r.cluster.staleHeartbeatShare = r.rng.Float64()
	r.afterRandomDelay(60, func() { r.cluster.staleHeartbeatShare = 0 })
}

// machinesWithoutOutbound loses all heartbeats of machines, while direct commands reach them.
func (r *chaosRun) machinesWithoutOutbound(_ *controllerHost) {
	for _, h := range r.faultTargets() {
		h.agent.heartbeatsLost = true
		r.afterRandomDelay(40, func() { h.agent.heartbeatsLost = false })
	}
}

// refusedAndIsolated cuts a controller from its peers, and the state service refuses it.
func (r *chaosRun) refusedAndIsolated(n *controllerHost) {
	r.cluster.IsolateRefused(n)
	r.afterRandomDelay(30, func() { r.cluster.state.readmit(n.name); r.cluster.Heal() })
}

func (r *chaosRun) cancellations(_ *controllerHost) {
	r.cluster.CancelRunningJobs(1+r.rng.IntN(8), time.Duration(r.rng.IntN(2)*r.rng.IntN(25000))*time.Millisecond)
}

func (r *chaosRun) cancellationsAtTheEnd(_ *controllerHost) {
	r.cluster.cancelOnCompletionShare = r.rng.Float64()
	r.afterRandomDelay(25, func() { r.cluster.cancelOnCompletionShare = 0 })
}

func (r *chaosRun) invalidRequests(_ *controllerHost) {
	for i := range 6 {
		r.cluster.after(time.Duration(i)*700*time.Millisecond, r.cluster.SendInvalidRequests)
	}
}

// queriesAfterChanges makes users query all controllers right after each change of a job.
func (r *chaosRun) queriesAfterChanges(_ *controllerHost) {
	r.cluster.queriesAfterChange = true
	r.afterRandomDelay(25, func() { r.cluster.queriesAfterChange = false })
}

func (r *chaosRun) slowState(_ *controllerHost) {
	r.cluster.state.maxRequestDelay, r.cluster.state.slowRequestShare = time.Duration(200+r.rng.IntN(4000))*time.Millisecond, 0.05+r.rng.Float64()/2
	r.afterRandomDelay(25, func() { r.cluster.state.slowRequestShare = 0 })
}

// jobStreamWithCancellations submits one-task jobs, four a second, and cancels a quarter of them.
func (r *chaosRun) jobStreamWithCancellations(_ *controllerHost) {
	if r.submitted > 400 {
		return
	}
	for i := range 80 {
		r.cluster.after(time.Duration(i)*250*time.Millisecond, func() {
			r.submit(func(j *protocol.Job) { j.Kind, j.Tasks, j.Spread, j.CPUs = protocol.Batch, 1, false, 0.25 })
			if id := fmt.Sprintf("run-%06d", r.submitted); r.rng.IntN(4) == 0 {
				r.afterRandomDelay(20, func() { r.cluster.retryCancel(id) })
			}
		})
	}
}

func (r *chaosRun) leaderChanges(_ *controllerHost) {
	r.cluster.CrashLeaders(2+r.rng.IntN(4), time.Duration(3+r.rng.IntN(10))*time.Second, time.Duration(100+r.rng.IntN(5000))*time.Millisecond)
}

// faultAtTrigger crashes, freezes or isolates the leader, or cancels jobs, right before or after a
// trigger point is reached.
func (r *chaosRun) faultAtTrigger(_ *controllerHost) {
	target := []string{"b/q/", "b/f/", "c/", "e/leader", "m/"}[r.rng.IntN(5)]
	point := []triggerPoint{onWrite, onWrite, onHeartbeat, onLostReply, onLeader, onJobDone}[r.rng.IntN(6)]
	if point != onWrite {
		target = ""
	}
	action := r.rng.IntN(5)
	r.cluster.onNext(point, target, r.rng.IntN(2) == 0, func() {
		i := r.cluster.Leader()
		if i < 0 {
			return
		}
		n := r.cluster.controllers[i]
		switch action {
		case 0:
			n.crash()
			r.afterRandomDelay(6, func() {
				if n.core == nil {
					n.start()
				}
			})
		case 1:
			n.freeze()
			r.afterRandomDelay(20, n.thaw)
		case 2:
			r.cluster.IsolateRefused(n)
			r.afterRandomDelay(20, func() { r.cluster.state.readmit(n.name); r.cluster.Heal() })
		case 3:
			r.cluster.Isolate(n)
			r.afterRandomDelay(20, r.cluster.Heal)
		case 4:
			r.cluster.CancelRunningJobs(3, 0)
		}
	})
}

// zoneCut cuts a zone off from all other zones, the regional services and the users.
func (r *chaosRun) zoneCut(_ *controllerHost) {
	zone := r.zones[r.rng.IntN(len(r.zones))]
	hold := r.rng.IntN(2) == 0
	var inside, outside []string
	for _, p := range r.cluster.controllers {
		if p.zone == zone {
			inside = append(inside, p.name)
		} else {
			outside = append(outside, p.name)
		}
	}
	for _, h := range r.cluster.cloud.machines {
		if h.zone == zone {
			inside = append(inside, h.name)
		}
	}
	for _, a := range inside {
		for _, b := range append(outside, "state", "cloud", "users") {
			r.cluster.Cut(a, b, hold)
		}
	}
	r.afterRandomDelay(40, r.cluster.Heal)
}

// allControllersDown crashes all controllers at once. Each restarts after up to 40.5 s, which
// can be longer than a worker's lease.
func (r *chaosRun) allControllersDown(_ *controllerHost) {
	for _, p := range r.cluster.controllers {
		p.crash()
		r.afterRandomDelay(40, func() {
			if p.core == nil {
				p.start()
			}
		})
	}
}
