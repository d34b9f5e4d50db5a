package coordination

import (
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// balancer is the leader's part in balance: it tells the loads of machines what happens, and
// bounds what surging teams may put on one. It is nil where operators didn't turn balance on;
// its methods then do nothing.
type balancer struct {
	l        *leader
	settings balance.Settings
	teams    map[string]*balancedTeam
	classes  map[classOnType]*balance.Runs
	moves    relocations
	boots    map[offerKey]time.Time // when the first machine of a kind is likely up; nil: not looked at in this round
}

// balancedTeam is a team with its surge.
type balancedTeam struct {
	id    balance.Team
	surge balance.Surge
}

// classOnType is a kind of tasks whose run times are compared.
type classOnType struct{ class, machineType string }

func newBalancer(l *leader) *balancer {
	o := l.controller.op.Balance
	if o == nil {
		return nil
	}
	settings := balance.Settings{CeilingShare: o.CeilingShare, FetchQueue: o.FetchQueue(), Trade: o.Trade()}
	b := &balancer{l: l, settings: settings, teams: map[string]*balancedTeam{}, classes: map[classOnType]*balance.Runs{}}
	b.moves.under = map[*attempt]*relocation{}
	for i := range l.controller.cfg.Teams {
		b.teams[l.controller.cfg.Teams[i].Name] = &balancedTeam{id: balance.Team(i)}
	}
	return b
}

// newLoad is the load of a machine that becomes known.
func (b *balancer) newLoad() *balance.Load {
	if b == nil {
		return nil
	}
	return &balance.Load{}
}

// attached notes an attempt that counts from now on.
func (b *balancer) attached(a *attempt) {
	if b == nil {
		return
	}
	m := a.machine
	if t := b.teams[a.job.Team]; t != nil {
		m.load.Reserve(t.id, placement.Needs(a.job.Job))
	}
	// What an earlier leader's attempts wait for isn't known.
	if !a.inherited && m.Spec != nil && a.job.ImageGB > 0 && m.Images.Bytes(a.job.image) == 0 {
		m.load.Fetches.Want(b.l.controller.now, a.job.image, a.job.ImageGB, m.Spec.FetchRate)
	}
}

// detached notes an attempt that is proven gone.
func (b *balancer) detached(a *attempt) {
	if b == nil {
		return
	}
	m := a.machine
	if t := b.teams[a.job.Team]; t != nil {
		m.load.Free(t.id, placement.Needs(a.job.Job))
	}
	if a.state != protocol.Running && a.state != protocol.Saving && m.Spec != nil {
		m.load.Fetches.GiveUp(b.l.controller.now, a.job.image, m.Spec.FetchRate)
	}
}

// runs notes that an attempt has its image.
func (b *balancer) runs(a *attempt) {
	if b != nil && a.machine.Spec != nil {
		a.machine.load.Fetches.Done(b.l.controller.now, a.job.image, a.machine.Spec.FetchRate)
	}
}

// completed takes a completed task's run time.
func (b *balancer) completed(a *attempt, run time.Duration) {
	if b == nil {
		return
	}
	key := classOnType{a.job.Class, a.machine.Type}
	class := b.classes[key]
	if class == nil {
		class = &balance.Runs{}
		b.classes[key] = class
	}
	a.machine.load.Speed.Ran(run, a.job.Estimate, &a.job.runs, class)
}

// incarnationBegan notes that a worker lost what it had.
func (b *balancer) incarnationBegan(m *machine) {
	if b != nil {
		m.load.NewSession()
	}
}

// beginRound observes the teams' demand before tasks are placed: what is bounded must be
// known by then, and a whole array may just have come.
func (b *balancer) beginRound() {
	if b == nil {
		return
	}
	b.boots = nil
	demand := map[string]float64{}
	for _, j := range b.l.order {
		if j.outcome == 0 {
			demand[j.Team] += float64(j.Tasks-j.doneCount) * j.CPUs
		}
	}
	changed := false
	worth := b.smallestMachine()
	for i := range b.l.controller.cfg.Teams {
		name := b.l.controller.cfg.Teams[i].Name
		t := b.teams[name]
		switch t.surge.Observe(b.l.controller.now.Round(0), demand[name], worth) {
		case balance.Begun:
			b.l.controller.log.Info("surge begins", "team", name, "surge", t.surge.Number(), "cpus", demand[name])
			changed = true
		case balance.Ended:
			b.l.controller.log.Info("surge ends", "team", name, "cpus", demand[name])
			changed = true
		}
	}
	if changed {
		b.record()
	}
}

// smallestMachine is the CPUs of the smallest machine type.
func (b *balancer) smallestMachine() float64 {
	least := 0.0
	for _, t := range b.l.controller.types {
		if least == 0 || t.CPUs < least {
			least = t.CPUs
		}
	}
	return least
}

// record keeps the surges under way for the next leader.
func (b *balancer) record() {
	surges := records.Surges{}
	for name, t := range b.teams {
		if r, under := t.surge.Record(); under {
			surges[name] = records.Surge(r)
		}
	}
	b.l.journal.extra = append(b.l.journal.extra, protocol.Op{Put: records.KeySurges, Value: records.Encode(surges)})
}

// restore takes the surges on record.
func (b *balancer) restore(items []protocol.Item) {
	for _, it := range items {
		var surges records.Surges
		if err := protocol.Decode(it.Value, &surges); err != nil {
			b.l.controller.log.Error("unreadable record of surges", "key", it.Key, "err", err)
			continue
		}
		for name, r := range surges {
			if t := b.teams[name]; t != nil && r.Number > 0 {
				t.surge.Restore(b.l.controller.now.Round(0), balance.SurgeRecord(r))
				b.l.controller.log.Info("surge under way", "team", name, "surge", r.Number)
			}
		}
	}
}

// surge is the number of the surge of a job's team, 0 without one.
func (b *balancer) surge(j *job) uint64 {
	if b == nil {
		return 0
	}
	t := b.teams[j.Team]
	if t == nil {
		return 0
	}
	return t.surge.Number()
}
