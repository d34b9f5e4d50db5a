package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
)

// Messages between the leader and owners.
const (
	// itemsPerMessage is about how many workers and states are gathered for one message at a time.
	itemsPerMessage = 400
	// exitRetention is how long an exit is remembered after the leader let it be forgotten.
	exitRetention = 30 * time.Second
)

// changeFeed is what an owner tells the leader, and takes from it.
type changeFeed struct {
	owner           *shardOwner
	shard.Outbox    // to the leader; without a channel while none is known
	leader          string
	pending         shard.Observations // that is being filled
	changedWorkers  map[*machine]bool  // to be told in it
	snapshotWorkers map[*machine]bool  // of them, those whose tasks' states are to be told, too
	leaderHeardAt   time.Time          // when a leader last told something
	// unacknowledged are the terminations that the leader may not know of yet.
	unacknowledged shard.UnacknowledgedTerminations
}

func newChangeFeed(o *shardOwner) *changeFeed {
	return &changeFeed{owner: o, changedWorkers: map[*machine]bool{}, leaderHeardAt: o.controller.now}
}

func (f *changeFeed) workerChanged(m *machine) { f.changedWorkers[m] = true; f.schedule() }

func (f *changeFeed) taskStateChanged(a *attempt) {
	f.pending.TaskStates = append(f.pending.TaskStates, shard.TaskState{Task: attemptTask(a), State: a.state})
	f.schedule()
}

func (f *changeFeed) taskExited(k *reportedExit) {
	f.pending.Exits = append(f.pending.Exits, k.exit)
	f.schedule()
}

func (f *changeFeed) attemptTerminated(a *attempt, why string) {
	f.pending.Terminations = append(f.pending.Terminations, shard.Termination{Task: attemptTask(a), Reason: why})
	f.schedule()
}

func (f *changeFeed) orphanReported(t shard.Task) {
	f.pending.Orphans = append(f.pending.Orphans, t)
	f.schedule()
}

// announceOwnership lets the leader know at once which shards are served, so that it tells of
// their machines.
func (f *changeFeed) announceOwnership() { f.flush() }

func attemptTask(a *attempt) shard.Task {
	return shard.Task{Machine: a.machine.Name, Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number}
}

// schedule wants a message sent.
func (f *changeFeed) schedule() {
	c := f.owner.controller
	f.Schedule(c.now, c.runAfter, func() {
		if f.owner.alive() {
			f.flush()
		}
	})
}

// flush sends what there is to tell, as far as messages may be on their way, and begins a
// snapshot if the leader lacks it.
func (f *changeFeed) flush() {
	if f.Channel == nil {
		f.pending, f.changedWorkers = shard.Observations{}, map[*machine]bool{} // a snapshot will come
		return
	}
	if f.Channel.SnapshotDue() {
		f.beginSnapshot()
	}
	f.Flush(f.hasPending, func() {
		if len(f.pending.Workers)+len(f.pending.TaskStates) == 0 {
			f.appendWorkers()
		}
		f.sendMessage(f.pending.TakeFitting(messageBudget))
	})
}

func (f *changeFeed) hasPending() bool { return !f.pending.Empty() || len(f.changedWorkers) > 0 }

// beginSnapshot wants all told that is known of the workers.
func (f *changeFeed) beginSnapshot() {
	gone := f.pending.Terminations
	f.pending, f.changedWorkers, f.snapshotWorkers = shard.Observations{Status: f.pending.Status}, map[*machine]bool{}, map[*machine]bool{}
	f.pending.Terminations = append(f.unacknowledged.Take(), gone...)
	if f.pending.Status != nil && f.pending.Status.Part > 0 {
		f.pending.Status = nil // half of it was told: the next one comes within a second
	}
	for _, m := range f.owner.fleetList {
		f.changedWorkers[m], f.snapshotWorkers[m] = true, true
		for _, k := range m.reportedExits {
			k.sentAt = time.Time{} // the next snapshot brings it
		}
		clear(m.orphans)
	}
}

// appendWorkers adds workers that are to be told of, about as many as a message holds, and in a
// snapshot the states of their tasks.
func (f *changeFeed) appendWorkers() {
	if len(f.changedWorkers) == 0 {
		return
	}
	items := 0
	for _, m := range f.owner.fleetList {
		if !f.changedWorkers[m] {
			continue
		}
		if items >= itemsPerMessage {
			return
		}
		delete(f.changedWorkers, m)
		f.pending.Workers = append(f.pending.Workers, f.workerEntry(m))
		items++
		if f.snapshotWorkers[m] {
			delete(f.snapshotWorkers, m)
			items += f.appendTaskStates(m)
		}
		if len(f.changedWorkers) == 0 {
			return
		}
	}
	clear(f.changedWorkers) // of machines that are gone
	clear(f.snapshotWorkers)
}

func (f *changeFeed) appendTaskStates(m *machine) (count int) {
	for _, a := range m.sortedAttempts() {
		if a.state != 0 {
			f.pending.TaskStates = append(f.pending.TaskStates, shard.TaskState{Task: attemptTask(a), State: a.state})
			count++
		}
	}
	return count
}

func (f *changeFeed) workerEntry(m *machine) shard.Worker {
	w := shard.Worker{Machine: m.Name, Shard: m.shard, Addr: m.addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, IncarnationReset: m.incarnationReset}
	if m.session.Registered {
		w.Incarnation, w.Reconciled, w.Reached = m.session.Incarnation, m.session.Reconciled, !m.session.LastReached.IsZero()
	}
	if m.lifecycle.preemptionNoticed() {
		w.PreemptionMillis = max(1, m.lifecycle.preemptionAt.Sub(f.owner.controller.now).Milliseconds())
	}
	return w
}

// sendMessage sends a message.
func (f *changeFeed) sendMessage(line shard.Observations) {
	c := f.owner.controller
	line.Header = f.NextHeader(c.now, true)
	f.unacknowledged.Sent(line.Sequence, line.Terminations)
	line.ServedTerms = f.owner.servedTerms()
	c.sendShardMessage(f.leader, shard.Message{Observations: &line})
}

// connect begins to talk to whoever leads.
func (f *changeFeed) connect(leader string, term uint64) {
	epoch := shard.ChannelEpoch{Term: term, Member: f.owner.sharding.member}
	if f.Channel != nil && f.Channel.Epoch() == epoch || f.Channel != nil && f.Channel.Epoch().Term > term {
		return
	}
	f.Channel, f.leader, f.unacknowledged = shard.NewChannel(epoch), leader, shard.UnacknowledgedTerminations{} // the leader lists what it knows
	f.schedule()
}

// receive takes a message of the leader's.
func (f *changeFeed) receive(from string, in *shard.Instructions) {
	if in.Epoch.Member != f.owner.sharding.member {
		return // meant for an earlier life
	}
	f.leaderHeardAt = f.owner.controller.now
	f.connect(from, in.Epoch.Term)
	taken := f.Channel.Receive(in.Header)
	f.unacknowledged.Acknowledged(f.Channel.Acknowledged())
	if !taken {
		return
	}
	if in.Snapshot {
		for _, m := range f.owner.fleetList {
			m.attemptsKnown = false // until the snapshot lists it
		}
	}
	for i := range in.Machines {
		f.owner.applyMachine(&in.Machines[i])
	}
	for i := range in.Starts {
		f.owner.applyStart(&in.Starts[i])
	}
	for i := range in.Stops {
		f.owner.applyStop(&in.Stops[i])
	}
	for i := range in.Forgets {
		f.owner.applyForget(&in.Forgets[i])
	}
	for _, name := range in.TerminatedMachines {
		f.owner.dropTerminatedMachine(name)
	}
	if f.Ready() {
		f.schedule()
	}
}

// applyMachine takes a machine and all attempts that may be on it.
func (o *shardOwner) applyMachine(k *shard.Machine) {
	h := o.shards[k.Shard]
	if h == nil || h.epoch.Term != k.Term {
		return // it was meant for an earlier or a later ownership epoch
	}
	m := o.machines[k.Name]
	if m == nil {
		m = o.newMachine(*k, h)
	}
	if m.addr == "" {
		m.addr = k.Addr
	}
	m.registeredBefore = m.registeredBefore || k.RegisteredBefore
	runs := map[taskKey]*shard.Start{}
	for i := range k.Starts {
		r := &k.Starts[i]
		runs[taskKey{r.Job, r.TaskIndex}] = r
	}
	for _, a := range m.sortedAttempts() {
		if r := runs[taskKey{a.job.ID, a.taskIndex}]; r == nil || r.Attempt != a.number {
			o.removeAttempt(a) // the leader knows that it is gone
		}
	}
	for i := range k.Starts {
		r := &k.Starts[i]
		a := m.attempts[taskKey{r.Job, r.TaskIndex}]
		switch {
		case a == nil:
			// Who was told of it before, if anybody was, may have sent its start.
			o.addAttempt(m, *r, !r.FirstNotice)
		case r.Stopping:
			o.stopAttempt(a, time.Duration(r.GraceMillis)*time.Millisecond)
		}
	}
	m.attemptsKnown = true
	o.controller.resumeDeferred()
}

// applyStart takes an attempt that was recorded and told to nobody before.
func (o *shardOwner) applyStart(r *shard.Start) {
	m := o.machines[r.Machine]
	if m == nil || !m.attemptsKnown || m.attempts[taskKey{r.Job, r.TaskIndex}] != nil {
		o.feed.Channel.RequestSnapshot()
		return
	}
	o.addAttempt(m, *r, false)
}

// applyStop ends a task, known here or not.
func (o *shardOwner) applyStop(s *shard.Stop) {
	m := o.machines[s.Machine]
	if m == nil {
		return
	}
	key := taskKey{s.Job, s.TaskIndex}
	if a := m.attempts[key]; a != nil && a.number == s.Attempt {
		o.stopAttempt(a, time.Duration(s.GraceMillis)*time.Millisecond)
		return
	}
	m.orphanStops[key] = s.Attempt
}

// applyForget lets a worker forget an exited task.
func (o *shardOwner) applyForget(t *shard.Task) {
	m := o.machines[t.Machine]
	if m == nil {
		return
	}
	if k := m.reportedExits[taskKey{t.Job, t.TaskIndex}]; k != nil && k.exit.Attempt == t.Attempt {
		k.forget, k.sentAt = true, o.controller.now
	}
}

// dropTerminatedMachine drops a machine that was proven gone.
func (o *shardOwner) dropTerminatedMachine(name string) {
	if m := o.machines[name]; m != nil {
		o.removeMachine(m)
	}
}

// sendStatus tells how this owner and its workers are.
func (o *shardOwner) sendStatus() {
	o.writeReachability()
	f := o.feed
	if f.Channel == nil {
		return
	}
	f.Channel.CheckTimeouts(o.controller.now)
	s := &shard.Status{Load: shard.Load{CPUShare: o.controller.processorLoad.share, Lag: o.controller.overload.TakePeak(), HeartbeatRate: float64(o.heartbeatsSinceStatus), Machines: len(o.fleetList)}}
	o.heartbeatsSinceStatus = 0
	for _, m := range o.fleetList {
		if late, ok := o.unhealthy(m); ok {
			s.Unhealthy = append(s.Unhealthy, late)
		}
		o.sweepExits(m)
	}
	if f.pending.Status == nil || f.pending.Status.Part == 0 { // else the last one isn't told yet
		f.pending.Status = s
	}
	f.flush()
}

// unhealthy tells of a worker that isn't well.
func (o *shardOwner) unhealthy(m *machine) (shard.UnhealthyWorker, bool) {
	silent, unreached, unreported := o.silentFor(m), o.unreachedFor(m), o.unansweredFor(m)
	if !o.expectsHeartbeats(m) || silent <= o.controller.timing().SuspectAfter() && m.session.FailedProbes == 0 && unreached <= o.controller.timing().UnreachedProbeAfter() && unreported <= o.controller.timing().SuspectAfter()+sessions.LostHeartbeatDelay {
		return shard.UnhealthyWorker{}, false
	}
	return shard.UnhealthyWorker{Machine: m.Name, SilentMillis: silent.Milliseconds(), UnreachedMillis: unreached.Milliseconds(),
		UnansweredMillis: unreported.Milliseconds(), FailedProbes: m.session.FailedProbes}, true
}

// sweepExits drops exits that were forgotten long ago.
func (o *shardOwner) sweepExits(m *machine) {
	for key, k := range m.reportedExits {
		if k.forget && o.controller.now.Sub(k.sentAt) > exitRetention {
			delete(m.reportedExits, key)
		}
	}
}
