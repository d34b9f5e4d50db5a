package coordination

import (
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// rebalancer connects the leader to the balance package: it keeps the loads of machines and the
// surges of teams up to date, enforces the ceiling for surging teams, and migrates their tasks off
// overloaded machines. It is nil if the operator hasn't turned load balancing on: the methods that are
// called on a nil rebalancer then do nothing.
type rebalancer struct {
	leader        *leader
	settings      balance.Settings
	teams         map[string]*teamSurge
	classRunTimes map[classAndType]*balance.RunTimes
	migrations    migrations
	expectedBoots map[autoscaler.OfferKey]time.Time // result of expectedBootTimes in this round; nil: not computed yet
}

// teamSurge is the surge detection of a team.
type teamSurge struct {
	id    balance.Team // index of the team in the settings
	surge balance.Surge
}

// classAndType identifies the tasks whose run times are compared with each other: those of a job
// class on a machine type.
type classAndType struct{ class, machineType string }

func newRebalancer(l *leader) *rebalancer {
	o := l.controller.operator.Balance
	if o == nil {
		return nil
	}
	settings := balance.Settings{CeilingShare: o.CeilingShare, MaxFetchBacklog: o.MaxFetchBacklog(), LoadPenalty: o.LoadPenalty()}
	b := &rebalancer{leader: l, settings: settings, teams: map[string]*teamSurge{}, classRunTimes: map[classAndType]*balance.RunTimes{}}
	b.migrations.active = map[*attempt]*migration{}
	for i := range l.controller.cfg.Teams {
		b.teams[l.controller.cfg.Teams[i].Name] = &teamSurge{id: balance.Team(i)}
	}
	return b
}

// newLoad returns the load of a new machine; nil without load balancing.
func (b *rebalancer) newLoad() *balance.Load {
	if b == nil {
		return nil
	}
	return &balance.Load{}
}

// attemptAttached adds a new attempt to its machine's load.
func (b *rebalancer) attemptAttached(a *attempt) {
	if b == nil {
		return
	}
	m := a.machine
	if t := b.teams[a.job.Team]; t != nil {
		m.load.AddAttempt(t.id, placement.Needs(a.job.Job))
	}
	// Whether an attempt of an earlier leader still waits for its image isn't known, so it adds
	// nothing to the backlog of fetches.
	if !a.delivery.Inherited && m.Spec != nil && a.job.ImageGB > 0 && m.Images.CachedGB(a.job.imageID) == 0 {
		m.load.Fetches.Add(b.leader.controller.now, a.job.imageID, a.job.ImageGB, m.Spec.FetchGBPerSecond)
	}
}

// attemptDetached removes an attempt that is proven terminated from its machine's load. If the attempt
// didn't get to run, it removes its image fetch too.
func (b *rebalancer) attemptDetached(a *attempt) {
	if b == nil {
		return
	}
	m := a.machine
	if t := b.teams[a.job.Team]; t != nil {
		m.load.RemoveAttempt(t.id, placement.Needs(a.job.Job))
	}
	if a.state != protocol.Running && a.state != protocol.Checkpointing && m.Spec != nil {
		m.load.Fetches.Cancel(b.leader.controller.now, a.job.imageID, m.Spec.FetchGBPerSecond)
	}
}

// attemptStartedRunning records that the fetch of an attempt's image is complete.
func (b *rebalancer) attemptStartedRunning(a *attempt) {
	if b != nil && a.machine.Spec != nil {
		a.machine.load.Fetches.Complete(b.leader.controller.now, a.job.imageID, a.machine.Spec.FetchGBPerSecond)
	}
}

// attemptCompleted updates the speed of a machine with the run time of a completed task.
func (b *rebalancer) attemptCompleted(a *attempt, run time.Duration) {
	if b == nil {
		return
	}
	key := classAndType{a.job.Class, a.machine.Type}
	class := b.classRunTimes[key]
	if class == nil {
		class = &balance.RunTimes{}
		b.classRunTimes[key] = class
	}
	a.machine.load.Speed.Observe(run, a.job.EstimatedRuntime, &a.job.runTimes, class)
}

// workerRestarted discards the pending image fetches of a machine whose worker began a new
// incarnation.
func (b *rebalancer) workerRestarted(m *machine) {
	if b != nil {
		m.load.ResetFetches()
	}
}

// beginRound observes the demand of all teams before a placement round places any task: a large
// job may just have been submitted, and the round has to apply the ceiling to it.
func (b *rebalancer) beginRound() {
	if b == nil {
		return
	}
	b.expectedBoots = nil
	demand := map[string]float64{}
	for _, j := range b.leader.jobsByAge {
		if j.finalState == 0 {
			demand[j.Team] += float64(j.Tasks-j.doneTasks) * j.CPUs
		}
	}
	changed := false
	machineCPUs := b.smallestMachineCPUs()
	for i := range b.leader.controller.cfg.Teams {
		name := b.leader.controller.cfg.Teams[i].Name
		t := b.teams[name]
		switch t.surge.Observe(b.leader.controller.now.Round(0), demand[name], machineCPUs) {
		case balance.Started:
			b.leader.controller.log.Info("surge started", "team", name, "surge", t.surge.Number(), "cpus", demand[name])
			changed = true
		case balance.Ended:
			b.leader.controller.log.Info("surge ended", "team", name, "cpus", demand[name])
			changed = true
		}
	}
	if changed {
		b.recordSurges()
	}
}

// smallestMachineCPUs returns the number of CPUs of the smallest machine type; 0 if no type is known.
func (b *rebalancer) smallestMachineCPUs() float64 {
	smallest := 0.0
	for _, t := range b.leader.controller.types {
		if smallest == 0 || t.CPUs < smallest {
			smallest = t.CPUs
		}
	}
	return smallest
}

// recordSurges writes the active surges to the state service for the next leader.
func (b *rebalancer) recordSurges() {
	surges := records.Surges{}
	for name, t := range b.teams {
		if r, active := t.surge.Record(); active {
			surges[name] = records.Surge(r)
		}
	}
	b.leader.writer.put(records.KeySurges, records.Encode(surges))
}

// restoreSurges restores the surges that an earlier leader recorded. Records that can't be decoded
// are logged and ignored.
func (b *rebalancer) restoreSurges(items []protocol.KeyValue) {
	for _, it := range items {
		var surges records.Surges
		if err := protocol.Decode(it.Value, &surges); err != nil {
			b.leader.controller.log.Error("surges record unreadable", "key", it.Key, "error", err)
			continue
		}
		for name, r := range surges {
			if t := b.teams[name]; t != nil && r.Number > 0 {
				t.surge.Restore(b.leader.controller.now.Round(0), balance.SurgeRecord(r))
				b.leader.controller.log.Info("surge restored", "team", name, "surge", r.Number)
			}
		}
	}
}

// surgeOf returns the number of the active surge of a job's team; 0 if there is none.
func (b *rebalancer) surgeOf(j *job) uint64 {
	if b == nil {
		return 0
	}
	t := b.teams[j.Team]
	if t == nil {
		return 0
	}
	return t.surge.Number()
}
