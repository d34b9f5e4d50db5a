package simulator

import (
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// chaosFaults are the kinds of fault that are drawn; some stand there twice, to come more often.
var chaosFaults = []func(*chaosRun, *controllerHost){
	(*chaosRun).controllerCrash,
	(*chaosRun).controllerCrash,
	(*chaosRun).stateOutage,
	(*chaosRun).refusedController,
	(*chaosRun).lateTransactionsShortly,
	(*chaosRun).cloudOutage,
	(*chaosRun).lateCloud,
	(*chaosRun).hungMachines,
	(*chaosRun).hungMachines,
	(*chaosRun).failedMachines,
	(*chaosRun).preemptionNotices,
	(*chaosRun).cutMachines,
	(*chaosRun).cutController,
	(*chaosRun).failingMachines,
	(*chaosRun).deafMachines,
	(*chaosRun).isolatedController,
	(*chaosRun).quickRestarts,
	(*chaosRun).shortHangs,
	(*chaosRun).agentRestarts,
	(*chaosRun).powerLoss,
	(*chaosRun).frozenController,
	(*chaosRun).oddBoots,
	(*chaosRun).lateTransactions,
	(*chaosRun).queryStorm,
	(*chaosRun).manySmallJobs,
	(*chaosRun).hugeArray,
	(*chaosRun).lostReplies,
	(*chaosRun).staleHeartbeats,
	(*chaosRun).unheardMachines,
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
	(*chaosRun).allControllersAway,
}

// powerLoss: without power for up to more than a minute.
func (r *chaosRun) powerLoss(n *controllerHost) {
	if n.core != nil {
		n.crash()
		n.poweredOff = true
		r.later(75, func() {
			if n.core == nil {
				n.start()
			}
		})
	}
}

func (r *chaosRun) frozenController(n *controllerHost) {
	if i := r.c.Leader(); i >= 0 && r.rng.IntN(2) == 0 {
		n = r.c.controllers[i]
	}
	n.freeze()
	r.later(30, n.thaw)
}

// oddBoots: boots are slow, at once, or never.
func (r *chaosRun) oddBoots(_ *controllerHost) {
	r.c.cloud.bootFactor, r.c.cloud.deadShare = []float64{0.01, 1, 6}[r.rng.IntN(3)], []float64{0, 0.5}[r.rng.IntN(2)]
	r.c.cloud.replyDelay = time.Duration(r.rng.IntN(3000)) * time.Millisecond
	r.later(60, func() { r.c.cloud.bootFactor, r.c.cloud.deadShare, r.c.cloud.replyDelay = 0, 0, 0 })
}

func (r *chaosRun) lateTransactions(_ *controllerHost) {
	r.c.state.delayedBy, r.c.state.delayJitter, r.c.state.delayedShare = 2*time.Second, 10*time.Second, 0.05+r.rng.Float64()/3
	r.later(20, func() { r.c.state.delayedBy, r.c.state.delayJitter, r.c.state.delayedShare = 0, 0, 0 })
}

func (r *chaosRun) queryStorm(_ *controllerHost) {
	if r.count > 0 {
		r.c.QueryStorm(1000, 10*time.Second)
	}
}

func (r *chaosRun) manySmallJobs(_ *controllerHost) {
	for range 25 {
		r.submit(func(j *protocol.Job) { j.Tasks, j.Spread = 1, false })
	}
}

// hugeArray: one huge array of small tasks.
func (r *chaosRun) hugeArray(_ *controllerHost) {
	r.submit(func(j *protocol.Job) {
		j.Kind, j.Team, j.Tasks, j.CPUs, j.MemoryGB = protocol.Batch, "guest", 300*r.scale, 0.125, 0.1
	})
}

// deafMachines: reports arrive, nothing of ours does.
func (r *chaosRun) deafMachines(_ *controllerHost) {
	for _, h := range r.machines() {
		reset := r.rng.IntN(2) == 0
		for _, p := range r.c.controllers {
			if reset {
				r.c.ResetOneWay(p.name, h.name)
			} else {
				r.c.CutOneWay(p.name, h.name, r.rng.IntN(2) == 0)
			}
		}
		r.later(40, r.c.Heal)
	}
}

func (r *chaosRun) isolatedController(n *controllerHost) {
	if i := r.c.Leader(); i >= 0 && r.rng.IntN(2) == 0 {
		n = r.c.controllers[i]
	}
	r.c.Isolate(n)
	r.later(30, r.c.Heal)
}

// quickRestarts: back within a fraction of a second, perhaps twice in a row.
func (r *chaosRun) quickRestarts(n *controllerHost) {
	if i := r.c.Leader(); i >= 0 && r.rng.IntN(2) == 0 {
		n = r.c.controllers[i]
	}
	for range 1 + r.rng.IntN(2) {
		if n.core != nil {
			n.crash()
		}
		r.c.Advance(time.Duration(20+r.rng.IntN(400)) * time.Millisecond)
		if n.core == nil {
			n.start()
		}
		r.c.Advance(time.Duration(r.rng.IntN(300)) * time.Millisecond)
	}
}

func (r *chaosRun) shortHangs(_ *controllerHost) {
	list := slices.DeleteFunc(slices.Clone(r.machines()), func(h *machine) bool { return h.agent.hung })
	for _, h := range list {
		h.agent.hang(true)
	}
	if len(list) > 0 {
		r.c.Advance(time.Duration(50+r.rng.IntN(900)) * time.Millisecond)
	}
	for _, h := range list {
		if !h.agent.dead {
			h.agent.hang(false)
		}
	}
}

func (r *chaosRun) agentRestarts(_ *controllerHost) {
	for _, h := range r.machines() {
		h.agent.reboot()
	}
}

func (r *chaosRun) controllerCrash(n *controllerHost) {
	if i := r.c.Leader(); i >= 0 && r.rng.IntN(2) == 0 {
		n = r.c.controllers[i]
	}
	if n.core != nil {
		n.crash()
		r.later(6, func() {
			if n.core == nil {
				n.start()
			}
		})
	}
}

func (r *chaosRun) stateOutage(_ *controllerHost) {
	r.c.state.setOutage(true)
	r.later(30, func() { r.c.state.setOutage(false) })
}

func (r *chaosRun) refusedController(n *controllerHost) {
	r.c.state.refused[n.name] = true
	r.later(25, func() { r.c.state.readmit(n.name) })
}

func (r *chaosRun) lateTransactionsShortly(_ *controllerHost) {
	r.c.state.delayedBy = time.Duration(r.rng.IntN(4000)) * time.Millisecond
	r.later(3, func() { r.c.state.delayedBy = 0 })
}

func (r *chaosRun) cloudOutage(_ *controllerHost) {
	r.c.cloud.outage = true
	r.later(30, func() { r.c.cloud.outage = false })
}

func (r *chaosRun) lateCloud(_ *controllerHost) {
	r.c.cloud.delayedBy = time.Duration(r.rng.IntN(9000)) * time.Millisecond
	r.later(6, func() { r.c.cloud.delayedBy = 0 })
}

func (r *chaosRun) hungMachines(_ *controllerHost) {
	for _, h := range r.machines() {
		w := h.agent
		if w.hung {
			continue
		}
		w.hang(true)
		r.later(25, func() {
			if !w.dead {
				w.hang(false)
			}
		})
	}
}

func (r *chaosRun) failedMachines(_ *controllerHost) {
	for _, h := range r.machines() {
		r.c.cloud.fail(h)
	}
}

func (r *chaosRun) preemptionNotices(_ *controllerHost) {
	for _, h := range r.machines() {
		h.agent.preemptionAt = r.c.now.Add(10 * time.Second)
		h.agent.statusChanged()
		r.c.after(10*time.Second, func() { r.c.cloud.end(h) })
	}
}

func (r *chaosRun) cutMachines(n *controllerHost) {
	for _, h := range r.machines() {
		r.c.Cut(n.name, h.name, r.rng.IntN(2) == 0)
		r.later(15, r.c.Heal)
	}
}

func (r *chaosRun) cutController(n *controllerHost) {
	p := r.c.controllers[r.rng.IntN(3)]
	if p != n {
		r.c.Cut(n.name, p.name, r.rng.IntN(2) == 0)
	}
	for _, h := range r.c.cloud.machines {
		if h.zone == n.zone && r.rng.IntN(2) == 0 {
			r.c.Cut(n.name, h.name, true)
		}
	}
	r.later(20, r.c.Heal)
}

func (r *chaosRun) failingMachines(_ *controllerHost) {
	for _, h := range r.machines() {
		w := h.agent
		w.failsTasks = true
		r.later(20, func() { w.failsTasks = false })
	}
}

// lostReplies: the state service carries out, and its answer is lost.
func (r *chaosRun) lostReplies(_ *controllerHost) {
	r.c.state.lostReplyShare = 0.05 + r.rng.Float64()/2
	r.later(20, func() { r.c.state.lostReplyShare = 0 })
}

// staleHeartbeats: copies of reports reach the next leader as it begins.
func (r *chaosRun) staleHeartbeats(_ *controllerHost) {
	r.c.staleHeartbeatShare = r.rng.Float64()
	r.later(60, func() { r.c.staleHeartbeatShare = 0 })
}

// unheardMachines: the machines reach no controller.
func (r *chaosRun) unheardMachines(_ *controllerHost) {
	for _, h := range r.machines() {
		h.agent.unheard = true
		r.later(40, func() { h.agent.unheard = false })
	}
}

func (r *chaosRun) refusedAndIsolated(n *controllerHost) {
	r.c.IsolateRefused(n)
	r.later(30, func() { r.c.state.readmit(n.name); r.c.Heal() })
}

func (r *chaosRun) cancellations(_ *controllerHost) {
	r.c.CancelNow(1+r.rng.IntN(8), time.Duration(r.rng.IntN(2)*r.rng.IntN(25000))*time.Millisecond)
}

func (r *chaosRun) cancellationsAtTheEnd(_ *controllerHost) {
	r.c.cancelAtEndShare = r.rng.Float64()
	r.later(25, func() { r.c.cancelAtEndShare = 0 })
}

func (r *chaosRun) invalidRequests(_ *controllerHost) {
	for i := range 6 {
		r.c.after(time.Duration(i)*700*time.Millisecond, r.c.InvalidRequests)
	}
}

func (r *chaosRun) queriesAfterChanges(_ *controllerHost) {
	r.c.queriesAfterChange = true
	r.later(25, func() { r.c.queriesAfterChange = false })
}

func (r *chaosRun) slowState(_ *controllerHost) {
	r.c.state.slow, r.c.state.slowShare = time.Duration(200+r.rng.IntN(4000))*time.Millisecond, 0.05+r.rng.Float64()/2
	r.later(25, func() { r.c.state.slowShare = 0 })
}

// jobStreamWithCancellations: one-task jobs four a second, a quarter of them cancelled.
func (r *chaosRun) jobStreamWithCancellations(_ *controllerHost) {
	if r.count > 400 {
		return
	}
	for i := range 80 {
		r.c.after(time.Duration(i)*250*time.Millisecond, func() {
			r.submit(func(j *protocol.Job) { j.Kind, j.Tasks, j.Spread, j.CPUs = protocol.Batch, 1, false, 0.25 })
			if id := fmt.Sprintf("run-%06d", r.count); r.rng.IntN(4) == 0 {
				r.later(20, func() { r.c.retryCancel(id) })
			}
		})
	}
}

func (r *chaosRun) leaderChanges(_ *controllerHost) {
	r.c.ChangeLeaders(2+r.rng.IntN(4), time.Duration(3+r.rng.IntN(10))*time.Second, time.Duration(100+r.rng.IntN(5000))*time.Millisecond)
}

// faultAtTrigger: something happens to the leader right before or after a moment.
func (r *chaosRun) faultAtTrigger(_ *controllerHost) {
	what := []string{"b/q/", "b/f/", "c/", "e/leader", "m/"}[r.rng.IntN(5)]
	moment := []triggerPoint{onWrite, onWrite, onHeartbeat, onLostReply, onLeader, onJobDone}[r.rng.IntN(6)]
	if moment != onWrite {
		what = ""
	}
	k := r.rng.IntN(5)
	r.c.onNext(moment, what, r.rng.IntN(2) == 0, func() {
		i := r.c.Leader()
		if i < 0 {
			return
		}
		n := r.c.controllers[i]
		switch k {
		case 0:
			n.crash()
			r.later(6, func() {
				if n.core == nil {
					n.start()
				}
			})
		case 1:
			n.freeze()
			r.later(20, n.thaw)
		case 2:
			r.c.IsolateRefused(n)
			r.later(20, func() { r.c.state.readmit(n.name); r.c.Heal() })
		case 3:
			r.c.Isolate(n)
			r.later(20, r.c.Heal)
		case 4:
			r.c.CancelNow(3, 0)
		}
	})
}

// zoneCut: a zone, cut off from all others, the regional services included.
func (r *chaosRun) zoneCut(_ *controllerHost) {
	zone := r.zones[r.rng.IntN(len(r.zones))]
	hold := r.rng.IntN(2) == 0
	var inside, outside []string
	for _, p := range r.c.controllers {
		if p.zone == zone {
			inside = append(inside, p.name)
		} else {
			outside = append(outside, p.name)
		}
	}
	for _, h := range r.c.cloud.machines {
		if h.zone == zone {
			inside = append(inside, h.name)
		}
	}
	for _, a := range inside {
		for _, b := range append(outside, "state", "cloud", "users") {
			r.c.Cut(a, b, hold)
		}
	}
	r.later(40, r.c.Heal)
}

// allControllersAway: nobody is there for up to more than a lease.
func (r *chaosRun) allControllersAway(_ *controllerHost) {
	for _, p := range r.c.controllers {
		p.crash()
		r.later(40, func() {
			if p.core == nil {
				p.start()
			}
		})
	}
}
