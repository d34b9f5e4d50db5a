package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/shard"
)

// Lines between the leader and owners.
const (
	// lineEvery is the least time between lines to one side: what happens meanwhile shares
	// one, since each line costs both sides some wake-ups.
	lineEvery = 25 * time.Millisecond
	// lineItems is about how many workers and states are gathered for one line at a time.
	lineItems = 400
	// exitKept is how long an exit is remembered after the leader let it be forgotten.
	exitKept = 30 * time.Second
)

// ownerFeed is what an owner tells the leader, and takes from it.
type ownerFeed struct {
	o       *shardOwner
	link    *shard.Link // to the leader; nil while none is known
	leader  string
	line    shard.Observations // that is being filled
	workers map[*machine]bool  // to be told in it
	full    map[*machine]bool  // of them, those whose tasks' states are to be told, too
	due     bool               // a line waits for its time
	blocked bool               // more waits until lines are acknowledged
	sentAt  time.Time
	heard   time.Time // when a leader last told something
	// gone are the proofs that the leader hasn't acknowledged. The attempts are forgotten
	// here, so that no account tells of them: one whose only line was lost counted for ever.
	gone []toldGone
}

// toldGone is a proof, and the line that told of it.
type toldGone struct {
	line uint64
	gone shard.Gone
}

func newOwnerFeed(o *shardOwner) *ownerFeed {
	return &ownerFeed{o: o, workers: map[*machine]bool{}, heard: o.controller.now}
}

func (f *ownerFeed) tellWorker(m *machine) { f.workers[m] = true; f.soon() }

func (f *ownerFeed) tellState(a *attempt) {
	f.line.States = append(f.line.States, shard.State{Task: attemptTask(a), State: a.state})
	f.soon()
}

func (f *ownerFeed) tellExit(k *toldExit) { f.line.Exits = append(f.line.Exits, k.exit); f.soon() }

func (f *ownerFeed) tellGone(a *attempt, why string) {
	f.line.Gone = append(f.line.Gone, shard.Gone{Task: attemptTask(a), Why: why})
	f.soon()
}

func (f *ownerFeed) tellStray(t shard.Task) { f.line.Strays = append(f.line.Strays, t); f.soon() }

// tellGrants lets the leader know at once which shards are served, so that it tells of
// their machines.
func (f *ownerFeed) tellGrants() { f.flush() }

func attemptTask(a *attempt) shard.Task {
	return shard.Task{Machine: a.machine.Name, Job: a.job.ID, Index: a.task, Attempt: a.number}
}

// soon wants a line sent, at the end of the step or when the last one is long enough ago.
func (f *ownerFeed) soon() {
	if f.due {
		return
	}
	f.due = true
	c := f.o.controller
	c.after(max(0, f.sentAt.Add(lineEvery).Sub(c.now)), func() {
		f.due = false
		if f.o.alive() {
			f.flush()
		}
	})
}

// flush sends what there is to tell, as far as lines may be on their way, and begins a full
// account if the leader lacks it.
func (f *ownerFeed) flush() {
	if f.link == nil {
		f.line, f.workers = shard.Observations{}, map[*machine]bool{} // a full account will come
		return
	}
	if f.link.NeedsReset() {
		f.beginAccount()
	}
	first := true
	for ; !f.link.Full() && (first || !f.line.Empty() || len(f.workers) > 0); first = false {
		if len(f.line.Workers)+len(f.line.States) == 0 {
			f.addWorkers()
		}
		f.send(f.line.Cut(messageBudget))
	}
	f.blocked = !f.line.Empty() || len(f.workers) > 0
}

// beginAccount wants all told that is known of the workers.
func (f *ownerFeed) beginAccount() {
	gone := f.line.Gone
	f.line, f.workers, f.full = shard.Observations{Status: f.line.Status}, map[*machine]bool{}, map[*machine]bool{}
	for i := range f.gone {
		f.line.Gone = append(f.line.Gone, f.gone[i].gone)
	}
	f.line.Gone = append(f.line.Gone, gone...)
	f.gone = nil // they are told anew
	if f.line.Status != nil && f.line.Status.Part > 0 {
		f.line.Status = nil // half of it was told: the next one comes within a second
	}
	for _, m := range f.o.fleetList {
		f.workers[m], f.full[m] = true, true
		for _, k := range m.exits {
			k.at = time.Time{} // the next report brings it
		}
		clear(m.orphans)
	}
}

// addWorkers adds workers that are to be told of, about as many as a line holds, and in a full
// account the states of their tasks.
func (f *ownerFeed) addWorkers() {
	if len(f.workers) == 0 {
		return
	}
	items := 0
	for _, m := range f.o.fleetList {
		if !f.workers[m] {
			continue
		}
		if items >= lineItems {
			return
		}
		delete(f.workers, m)
		f.line.Workers = append(f.line.Workers, f.worker(m))
		items++
		if f.full[m] {
			delete(f.full, m)
			items += f.addStates(m)
		}
		if len(f.workers) == 0 {
			return
		}
	}
	clear(f.workers) // of machines that are gone
	clear(f.full)
}

func (f *ownerFeed) addStates(m *machine) (count int) {
	for _, a := range m.sortedAttempts() {
		if a.state != 0 {
			f.line.States = append(f.line.States, shard.State{Task: attemptTask(a), State: a.state})
			count++
		}
	}
	return count
}

func (f *ownerFeed) worker(m *machine) shard.Worker {
	w := shard.Worker{Machine: m.Name, Shard: m.shard, Addr: m.addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Anew: m.incarnationReset}
	if m.registered {
		w.Session, w.Compared, w.Reached = m.incarnation, m.reconciled, !m.lastReached.IsZero()
	}
	if !m.preemptionAt.IsZero() {
		w.Notice = max(1, m.preemptionAt.Sub(f.o.controller.now).Milliseconds())
	}
	return w
}

// send sends a line.
func (f *ownerFeed) send(line shard.Observations) {
	c := f.o.controller
	line.Header = f.link.Next(c.now, true)
	for i := range line.Gone {
		f.gone = append(f.gone, toldGone{line.Seq, line.Gone[i]})
	}
	line.Grants = f.o.grants()
	f.sentAt = c.now
	c.sendShardLine(f.leader, shardLine{Observations: &line})
}

// follow begins to talk to whoever leads.
func (f *ownerFeed) follow(leader string, term uint64) {
	epoch := shard.Epoch{Term: term, Member: f.o.sharding.member}
	if f.link != nil && f.link.Epoch() == epoch || f.link != nil && f.link.Epoch().Term > term {
		return
	}
	f.link, f.leader, f.gone = shard.NewLink(epoch), leader, nil // the leader lists what it knows
	f.soon()
}

// take takes a line of the leader's.
func (f *ownerFeed) take(from string, in *shard.Instructions) {
	if in.Epoch.Member != f.o.sharding.member {
		return // meant for an earlier life
	}
	f.heard = f.o.controller.now
	f.follow(from, in.Epoch.Term)
	taken := f.link.Take(in.Header)
	f.gone = slices.DeleteFunc(f.gone, func(k toldGone) bool { return k.line <= f.link.Acked() })
	if !taken {
		return
	}
	if in.Reset {
		for _, m := range f.o.fleetList {
			m.attemptsKnown = false // until the account lists it
		}
	}
	for i := range in.Machines {
		f.o.list(&in.Machines[i])
	}
	for i := range in.Runs {
		f.o.run(&in.Runs[i])
	}
	for i := range in.Stops {
		f.o.stopTask(&in.Stops[i])
	}
	for i := range in.Forgets {
		f.o.forget(&in.Forgets[i])
	}
	for _, name := range in.Gone {
		f.o.forgetMachine(name)
	}
	if f.link.AckDue() || f.blocked && !f.link.Full() {
		f.soon()
	}
}

// list takes a machine and all attempts that may be on it.
func (o *shardOwner) list(k *shard.Machine) {
	h := o.held[k.Shard]
	if h == nil || h.epoch.term != k.Term {
		return // it was meant for an earlier or a later tenure
	}
	m := o.machines[k.Name]
	if m == nil {
		m = o.newMachine(*k, h)
	}
	if m.addr == "" {
		m.addr = k.Addr
	}
	m.registeredBefore = m.registeredBefore || k.Up
	runs := map[taskKey]*shard.Run{}
	for i := range k.Runs {
		r := &k.Runs[i]
		runs[taskKey{r.Job, r.Index}] = r
	}
	for _, a := range m.sortedAttempts() {
		if r := runs[taskKey{a.job.ID, a.task}]; r == nil || r.Attempt != a.number {
			o.remove(a) // the leader knows that it is gone
		}
	}
	for i := range k.Runs {
		r := &k.Runs[i]
		a := m.attempts[taskKey{r.Job, r.Index}]
		switch {
		case a == nil:
			// Who was told of it before, if anybody was, may have sent its start.
			o.add(m, *r, !r.New)
		case r.Stop:
			o.stop(a, time.Duration(r.Grace)*time.Millisecond)
		}
	}
	m.attemptsKnown = true
	o.controller.resumeDeferred()
}

// run takes an attempt that was recorded and told to nobody before.
func (o *shardOwner) run(r *shard.Run) {
	m := o.machines[r.Machine]
	if m == nil || !m.attemptsKnown || m.attempts[taskKey{r.Job, r.Index}] != nil {
		o.feed.link.Lost()
		return
	}
	o.add(m, *r, false)
}

// stopTask ends a task, known here or not.
func (o *shardOwner) stopTask(s *shard.Stop) {
	m := o.machines[s.Machine]
	if m == nil {
		return
	}
	key := taskKey{s.Job, s.Index}
	if a := m.attempts[key]; a != nil && a.number == s.Attempt {
		o.stop(a, time.Duration(s.Grace)*time.Millisecond)
		return
	}
	m.orphanStops[key] = s.Attempt
}

// forget lets a worker forget an exited task.
func (o *shardOwner) forget(t *shard.Task) {
	m := o.machines[t.Machine]
	if m == nil {
		return
	}
	if k := m.exits[taskKey{t.Job, t.Index}]; k != nil && k.exit.Attempt == t.Attempt {
		k.forget, k.at = true, o.controller.now
	}
}

// forgetMachine drops a machine that was proven gone.
func (o *shardOwner) forgetMachine(name string) {
	if m := o.machines[name]; m != nil {
		o.removeMachine(m)
	}
}

// status tells how this owner and its workers are.
func (o *shardOwner) status() {
	o.showReach()
	f := o.feed
	if f.link == nil {
		return
	}
	f.link.Check(o.controller.now)
	s := &shard.Status{Load: shard.Load{Share: o.controller.processorLoad.share, Lag: o.controller.takePeakLag(), Reports: float64(o.answered), Machines: len(o.fleetList)}}
	o.answered = 0
	for _, m := range o.fleetList {
		if late, ok := o.late(m); ok {
			s.Late = append(s.Late, late)
		}
		o.sweepExits(m)
	}
	if f.line.Status == nil || f.line.Status.Part == 0 { // else the last one isn't told yet
		f.line.Status = s
	}
	f.flush()
}

// late tells of a worker that isn't well.
func (o *shardOwner) late(m *machine) (shard.Late, bool) {
	silent, unreached, unreported := o.silentFor(m), o.unreachedFor(m), o.unansweredFor(m)
	if !o.expected(m) || silent <= o.suspectAfter() && m.failedProbes == 0 && unreached <= o.unreachedProbeAfter() && unreported <= o.suspectAfter()+lostHeartbeatDelay {
		return shard.Late{}, false
	}
	return shard.Late{Machine: m.Name, Silent: silent.Milliseconds(), Unreached: unreached.Milliseconds(),
		Unreported: unreported.Milliseconds(), Fails: m.failedProbes}, true
}

// sweepExits drops exits that were forgotten long ago.
func (o *shardOwner) sweepExits(m *machine) {
	for key, k := range m.exits {
		if k.forget && o.controller.now.Sub(k.at) > exitKept {
			delete(m.exits, key)
		}
	}
}
