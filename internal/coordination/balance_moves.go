package coordination

import (
	"log/slog"
	"slices"
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// Running work of surging teams that is moved off hot machines. A move goes by the steps of a
// preemption, with a record before the first of them:
//
//  1. that the task moves in this surge is recorded, and room is held on its target;
//  2. the attempt is told to stop;
//  3. it is proven gone, like any other;
//  4. the next round of placement starts the task on its target, before anything else.
//
// A leader that ends in between leaves a task that counts as moved and waits like others.

const (
	// gonePart is what a stop and its proof take besides saving: a call, and a report.
	gonePart = time.Second
	// movesPart bounds the moves under way, as a part of the fleet, and movesLeast from below.
	movesPart  = 50
	movesLeast = 2
)

// relocations are the moves of one leadership.
type relocations struct {
	under map[*attempt]*relocation // not proven gone yet
	gone  []*relocation            // proven gone, to be started on their targets
	begun int
	done  int
	lost  int // came to nothing: the task is placed like any other
}

// relocation is a task on its way from one machine to another.
type relocation struct {
	attempt *attempt
	to      *machine
	needs   placement.Resources // held on the target
	until   time.Time           // when the target's room is given up
}

// moveStep is the regular turn: it gives up moves that come to nothing, and plans new ones.
func (b *balancer) moveStep() {
	if b == nil {
		return
	}
	for _, r := range b.moves.sorted() {
		if !b.l.controller.now.Before(r.until) || !b.l.open(r.to) {
			b.giveUp(r, "its target is lost, or too late")
		}
	}
	if b.mayMove() {
		b.plan()
	}
}

// sorted gives the moves under way in a fixed order.
func (v *relocations) sorted() []*relocation {
	list := make([]*relocation, 0, len(v.under))
	for _, r := range v.under {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *relocation) int { return compareAttempts(x.attempt, y.attempt) })
	return list
}

// mayMove reports whether moves may begin: this leader has heard its machines, its right lasts,
// and neither it nor the state service has more to do than it can.
func (b *balancer) mayMove() bool {
	l, c := b.l, b.l.controller
	if l.controller.op.Balance == nil || !l.controller.op.Balance.Moves || l.phase != active || c.storeDown() || l.autoscaler.demandIncomplete {
		return false
	}
	if c.now.Sub(l.settled) < c.reconnectTime() || l.lease.validUntil.Sub(c.now) < l.lease.ttl/2 {
		return false
	}
	return !c.behind() && !c.strained() && len(l.journal.urgent) <= c.cfg.TxnOps
}

// plan begins the moves that pay.
func (b *balancer) plan() {
	l, c := b.l, b.l.controller
	most := max(movesLeast, len(l.fleetList)/movesPart) - len(b.moves.under) - len(b.moves.gone)
	if most <= 0 || !b.surging() {
		return
	}
	sources := b.sources()
	if len(sources) == 0 {
		return
	}
	terms := balance.Terms{Settings: b.settings, Now: c.now, Gone: gonePart, Margin: c.op.Balance.MoveMargin, Most: most,
		Change: time.Duration(float64(time.Second) / c.cfg.StateWriteRPS)}
	moves := l.newPlanner().Cool(terms, sources)
	if len(moves) == 0 {
		return
	}
	saving, cost := time.Duration(0), time.Duration(0)
	for i := range moves {
		saving, cost = saving+moves[i].Saving, cost+moves[i].Cost
		b.begin(moves[i].Work.Of.(*attempt), l.machines[moves[i].To.Name])
	}
	c.log.Info("moving running work", "tasks", len(moves), "saves", saving.Round(time.Millisecond), "costs", cost.Round(time.Millisecond),
		"inAll", b.moves.begun, "done", b.moves.done, "lost", b.moves.lost)
}

// surging reports whether any team surges.
func (b *balancer) surging() bool {
	for _, t := range b.teams {
		if t.surge.Number() != 0 {
			return true
		}
	}
	return false
}

// sources are the machines that are heard and run work that may be moved.
func (b *balancer) sources() []balance.Source {
	var list []balance.Source
	for _, m := range b.l.fleetList {
		if m.Spec == nil || !b.l.open(m) {
			continue
		}
		s := balance.Source{Site: balance.Site{Machine: &m.Machine, Load: m.load}}
		for _, a := range m.sortedAttempts() {
			if b.movable(a) {
				s.Work = append(s.Work, b.work(a))
			}
		}
		if len(s.Work) > 0 {
			list = append(list, s)
		}
	}
	return list
}

// movable reports whether an attempt is one of a surging team's that runs or fetches, and that
// wasn't moved in this surge. Replicas and gangs stay where they are: they serve together.
func (b *balancer) movable(a *attempt) bool {
	j := a.job
	surge := b.surge(j)
	return surge != 0 && j.Kind == protocol.Batch && j.outcome == 0 && j.task(a.task).moved != surge &&
		a.recorded && a.reported && !a.stopRequested && (a.state == protocol.Running || a.state == protocol.Fetching)
}

// work is an attempt as the planner sees it.
func (b *balancer) work(a *attempt) balance.Work {
	j, m := a.job, a.machine
	w := balance.Work{Task: j.wants(), Team: b.teams[j.Team].id, Running: a.state == protocol.Running, Saves: j.Checkpoint > 0,
		MayUse: j.zoneAllows, Of: a}
	if w.Running {
		w.Ran = b.l.controller.now.Sub(a.stateSince)
	}
	likely := time.Duration(float64(j.Estimate) * b.l.biasOf(j.Class) * m.load.Speed.Slowness())
	w.Remaining = max(0, likely-w.Ran) // one that is overdue may end at any moment
	return w
}

// begin holds room for a task on its target and has its mark recorded.
func (b *balancer) begin(a *attempt, to *machine) {
	l := b.l
	t := a.job.task(a.task)
	t.moved = b.surge(a.job)
	r := &relocation{attempt: a, to: to, needs: placement.Needs(a.job.Job), until: l.controller.now.Add(l.controller.cfg.WorkerLease + a.job.Save + gonePart)}
	to.holdRoom(r.needs)
	b.moves.under[a] = r
	b.moves.begun++
	chunk := a.job.chunk(a.task)
	chunk.marks = append(chunk.marks, a)
	l.journal.touch(chunk)
	l.controller.log.Debug("task moves", "job", a.job.ID, "task", a.task, "attempt", a.number, "from", a.machine.Name, "to", to.Name)
}

// holdRoom keeps room for a task that is to move here.
func (m *machine) holdRoom(needs placement.Resources) {
	m.Held = m.Held.Plus(needs)
	m.reservedMoves++
}

// freeRoom gives such room back.
func (m *machine) freeRoom(needs placement.Resources) {
	m.Held = m.Held.Minus(needs)
	if m.reservedMoves--; m.reservedMoves == 0 {
		m.Held = placement.Resources{} // no rounding left behind
	}
}

// marked notes that it is on record that an attempt moves: now it may be stopped.
func (b *balancer) marked(a *attempt) {
	if b == nil || b.moves.under[a] == nil || a.job.task(a.task).live != a {
		return
	}
	b.l.stopAttempt(a, b.l.checkpointGrace(a))
}

// departed notes that an attempt is proven gone.
func (b *balancer) departed(a *attempt) {
	if b == nil {
		return
	}
	if r := b.moves.under[a]; r != nil {
		delete(b.moves.under, a)
		b.moves.gone = append(b.moves.gone, r)
	}
}

// releaseUnresponsive gives a target's room back. Its task, if it is told to stop, is placed like others.
func (b *balancer) giveUp(r *relocation, why string) {
	delete(b.moves.under, r.attempt)
	r.to.freeRoom(r.needs)
	b.moves.lost++
	b.l.controller.log.Debug("a move came to nothing", "job", r.attempt.job.ID, "task", r.attempt.task, "to", r.to.Name, "why", why)
}

// land starts tasks whose old attempts are proven gone on their targets, before anything else
// is placed: their teams' limits and their zones count them without a gap.
func (b *balancer) land() {
	if b == nil {
		return
	}
	gone := b.moves.gone
	b.moves.gone = nil
	for _, r := range gone {
		r.to.freeRoom(r.needs)
		if b.l.lands(r) {
			b.moves.done++
		} else {
			b.moves.lost++
		}
	}
}

// lands starts a moved task on its target if it still may.
func (l *leader) lands(r *relocation) bool {
	j, i, m := r.attempt.job, r.attempt.task, r.to
	t := j.task(i)
	if j.outcome != 0 || t.done || t.live != nil || m.removed || !l.open(m) || l.controller.now.Before(j.notBefore) || l.journal.full() {
		return false
	}
	if !l.takes(m, j) || !j.zoneAllows(m.Zone) || !l.underLimit(j) {
		return false
	}
	k := slices.Index(j.waiting, i)
	if k < 0 {
		return false
	}
	j.waiting = slices.Delete(j.waiting, k, k+1)
	l.start(j, i, m)
	return true
}

// setMoved puts the marks of a chunk's tasks into its record: those of the latest surge.
func (chunk *chunk) setMoved(r *records.Chunk) {
	surge := uint64(0)
	for i := range chunk.tasks {
		surge = max(surge, chunk.tasks[i].moved)
	}
	if surge == 0 {
		return
	}
	moved := make([]bool, len(chunk.tasks))
	for i := range chunk.tasks {
		moved[i] = chunk.tasks[i].moved == surge
	}
	r.SetMoved(surge, moved)
}

// loadMoved takes the marks of a record. Where they can't be read, all tasks count as moved.
func (chunk *chunk) loadMoved(r *records.Chunk, log *slog.Logger) {
	if r.Surge == 0 && r.Moved == "" {
		return
	}
	moved, err := r.IsMoved(len(chunk.tasks))
	if err != nil {
		log.Error("unreadable marks of moves", "job", chunk.job.ID, "chunk", chunk.index, "err", err)
	}
	for i := range chunk.tasks {
		if err != nil || moved[i] {
			chunk.tasks[i].moved = r.Surge
		}
	}
}
