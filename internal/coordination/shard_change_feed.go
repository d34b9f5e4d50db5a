package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
)

// Limits of the messages between the leader and shard owners.
const (
	// itemsPerMessage is about how many workers and task states are collected for one message.
	itemsPerMessage = 400
	// exitRetention is how long an owner keeps an exit after the leader allowed the worker to
	// forget it.
	exitRetention = 30 * time.Second
)

// changeFeed exchanges messages between a shard owner and the leader: it sends the changes that
// the owner observes, and applies the instructions that it receives.
type changeFeed struct {
	owner                *shardOwner
	shard.Outbox         // to the leader; its Channel is nil while no leader is known
	leader               string
	pending              shard.Observations // not yet sent; the entries of changedWorkers are added to a message when it is sent
	changedWorkers       map[*machine]bool  // with an entry to send
	snapshotWorkers      map[*machine]bool  // of changedWorkers, those whose task states are sent as well
	leaderLastReceivedAt time.Time          // when the latest message of any leader was received
	// unacknowledged are the terminations that were sent and that the leader may not have received.
	unacknowledged shard.UnacknowledgedTerminations
}

func newChangeFeed(o *shardOwner) *changeFeed {
	return &changeFeed{owner: o, changedWorkers: map[*machine]bool{}, leaderLastReceivedAt: o.controller.now}
}

// workerChanged queues the entry of a worker to be sent.
func (f *changeFeed) workerChanged(m *machine) { f.changedWorkers[m] = true; f.schedule() }

func (f *changeFeed) taskStateChanged(a *attempt) {
	f.pending.TaskStates = append(f.pending.TaskStates, shard.TaskState{AttemptID: attemptTask(a), State: a.state})
	f.schedule()
}

func (f *changeFeed) taskExited(exited *reportedExit) {
	f.pending.Exits = append(f.pending.Exits, exited.exit)
	f.schedule()
}

func (f *changeFeed) attemptTerminated(a *attempt, reason string) {
	f.pending.Terminations = append(f.pending.Terminations, shard.Termination{AttemptID: attemptTask(a), Reason: reason})
	f.schedule()
}

func (f *changeFeed) orphanReported(t shard.AttemptID) {
	f.pending.Orphans = append(f.pending.Orphans, t)
	f.schedule()
}

// announceOwnership sends the served shards to the leader without delay, so that the leader sends
// their machines.
func (f *changeFeed) announceOwnership() { f.flush() }

func attemptTask(a *attempt) shard.AttemptID {
	return shard.AttemptID{Machine: a.machine.Name, Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number}
}

// schedule arranges that a message is sent at the end of the step, or once the minimum interval
// between messages has passed.
func (f *changeFeed) schedule() {
	c := f.owner.controller
	f.Schedule(c.now, c.runAfter, func() {
		if f.owner.alive() {
			f.flush()
		}
	})
}

// flush begins a snapshot if one is due, and sends a message, and further ones while anything is
// pending, as far as the send window allows. While no leader is known, it discards what is pending.
func (f *changeFeed) flush() {
	if f.Channel == nil {
		f.pending, f.changedWorkers = shard.Observations{}, map[*machine]bool{} // a new channel begins with a snapshot
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

// beginSnapshot queues what a snapshot consists of: the entries of all workers, the states of all their
// tasks, and the terminations that the leader may not have received. Other pending observations are
// dropped, except for a status of which no part was sent. Exits and orphans are sent again when their
// workers next report them.
func (f *changeFeed) beginSnapshot() {
	terminations := f.pending.Terminations
	f.pending, f.changedWorkers, f.snapshotWorkers = shard.Observations{Status: f.pending.Status}, map[*machine]bool{}, map[*machine]bool{}
	f.pending.Terminations = append(f.unacknowledged.Take(), terminations...)
	if f.pending.Status != nil && f.pending.Status.Part > 0 {
		f.pending.Status = nil // a part of it was already sent; the next status follows within a second
	}
	for _, m := range f.owner.fleetList {
		f.changedWorkers[m], f.snapshotWorkers[m] = true, true
		for _, k := range m.reportedExits {
			k.sentAt = time.Time{} // the exit is sent again when the worker next reports it
		}
		clear(m.orphans)
	}
}

// appendWorkers moves changed workers into the pending message, about as many as one message
// holds, and in a snapshot the states of their tasks.
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
	clear(f.changedWorkers) // the remaining ones are machines that were removed
	clear(f.snapshotWorkers)
}

// appendTaskStates adds the states of a machine's tasks to the pending message, and returns their
// number.
func (f *changeFeed) appendTaskStates(m *machine) (count int) {
	for _, a := range m.sortedAttempts() {
		if a.state != 0 {
			f.pending.TaskStates = append(f.pending.TaskStates, shard.TaskState{AttemptID: attemptTask(a), State: a.state})
			count++
		}
	}
	return count
}

// workerEntry returns the state of a machine's worker for a message.
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

// sendMessage completes a message with its header and the served terms, and sends it.
func (f *changeFeed) sendMessage(message shard.Observations) {
	c := f.owner.controller
	message.Header = f.NextHeader(c.now, true)
	f.unacknowledged.Sent(message.Sequence, message.Terminations)
	message.ServedTerms = f.owner.servedTerms()
	c.sendShardMessage(f.leader, shard.Message{Observations: &message})
}

// connect opens a channel to the leader of a term, unless it is already open or the current channel
// is to the leader of a later term.
func (f *changeFeed) connect(leader string, term uint64) {
	epoch := shard.ChannelEpoch{Term: term, Member: f.owner.sharding.member}
	if f.Channel != nil && f.Channel.Epoch() == epoch || f.Channel != nil && f.Channel.Epoch().Term > term {
		return
	}
	// Unacknowledged terminations are dropped: the snapshot of the new leader lists the attempts that
	// it considers live. Those that have terminated are added here again, and proven terminated again.
	f.Channel, f.leader, f.unacknowledged = shard.NewChannel(epoch), leader, shard.UnacknowledgedTerminations{}
	f.schedule()
}

// receive applies a message of the leader.
func (f *changeFeed) receive(from string, in *shard.Instructions) {
	if in.Epoch.Member != f.owner.sharding.member {
		return // addressed to an earlier incarnation of this controller
	}
	f.leaderLastReceivedAt = f.owner.controller.now
	f.connect(from, in.Epoch.Term)
	accepted := f.Channel.Receive(in.Header)
	f.unacknowledged.Acknowledged(f.Channel.Acknowledged())
	if !accepted {
		return
	}
	if in.Snapshot {
		for _, m := range f.owner.fleetList {
			m.attemptsKnown = false // until a message of the snapshot lists the machine
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

// applyMachine applies the leader's entry of a machine, which lists all attempts that may be on it.
func (o *shardOwner) applyMachine(entry *shard.Machine) {
	owned := o.shards[entry.Shard]
	if owned == nil || owned.epoch.Term != entry.Term {
		return // the entry is for an earlier or a later ownership epoch
	}
	m := o.machines[entry.Name]
	if m == nil {
		m = o.newMachine(*entry, owned)
	}
	if m.addr == "" {
		m.addr = entry.Addr
	}
	m.registeredBefore = m.registeredBefore || entry.RegisteredBefore
	starts := map[taskKey]*shard.Start{}
	for i := range entry.Starts {
		start := &entry.Starts[i]
		starts[taskKey{start.Job, start.TaskIndex}] = start
	}
	for _, a := range m.sortedAttempts() {
		if r := starts[taskKey{a.job.ID, a.taskIndex}]; r == nil || r.Attempt != a.number {
			o.removeAttempt(a) // the leader knows that it has terminated
		}
	}
	for i := range entry.Starts {
		start := &entry.Starts[i]
		a := m.attempts[taskKey{start.Job, start.TaskIndex}]
		switch {
		case a == nil:
			// An owner that was notified of the attempt before may have sent its start.
			o.addAttempt(m, *start, !start.FirstNotice)
		case start.Stopping:
			o.stopAttempt(a, time.Duration(start.GraceMillis)*time.Millisecond)
		}
	}
	m.attemptsKnown = true
	o.controller.resumeDeferred()
}

// applyStart adds a recorded attempt that no owner was notified of before. If the machine's attempts
// aren't known here, or an attempt of the same task is already known, it requests a snapshot instead.
func (o *shardOwner) applyStart(r *shard.Start) {
	m := o.machines[r.Machine]
	if m == nil || !m.attemptsKnown || m.attempts[taskKey{r.Job, r.TaskIndex}] != nil {
		o.feed.Channel.RequestSnapshot()
		return
	}
	o.addAttempt(m, *r, false)
}

// applyStop stops an attempt. If this owner doesn't know it, the task is stopped when its worker
// reports it.
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

// applyForget allows a worker to forget an exited task: the leader has recorded its result or has
// nothing to record.
func (o *shardOwner) applyForget(t *shard.AttemptID) {
	m := o.machines[t.Machine]
	if m == nil {
		return
	}
	if k := m.reportedExits[taskKey{t.Job, t.TaskIndex}]; k != nil && k.exit.Attempt == t.Attempt {
		k.forget, k.sentAt = true, o.controller.now
	}
}

// dropTerminatedMachine removes a machine that the leader knows to be terminated.
func (o *shardOwner) dropTerminatedMachine(name string) {
	if m := o.machines[name]; m != nil {
		o.removeMachine(m)
	}
}

// sendStatus sends the owner's load and its unhealthy workers to the leader. It also writes the
// owner's reachability if no leader sends messages, checks the channel for timeouts, and drops old
// exits.
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
		if worker, ok := o.unhealthy(m); ok {
			s.Unhealthy = append(s.Unhealthy, worker)
		}
		o.sweepExits(m)
	}
	if f.pending.Status == nil || f.pending.Status.Part == 0 { // a status of which a part was sent is sent completely first
		f.pending.Status = s
	}
	f.flush()
}

// unhealthy returns the status entry of a worker that sends no messages, that doesn't answer probes,
// for which there is no recent proof that anything sent reaches it, or whose heartbeats go
// unanswered. It returns false for other workers.
func (o *shardOwner) unhealthy(m *machine) (shard.UnhealthyWorker, bool) {
	unseen, unreached, unanswered := o.unseenFor(m), o.unreachedFor(m), o.unansweredFor(m)
	if !o.expectsHeartbeats(m) || unseen <= o.controller.timing().SuspectAfter() && m.session.FailedProbes == 0 && unreached <= o.controller.timing().UnreachedProbeAfter() && unanswered <= o.controller.timing().SuspectAfter()+sessions.LostHeartbeatDelay {
		return shard.UnhealthyWorker{}, false
	}
	return shard.UnhealthyWorker{Machine: m.Name, UnseenMillis: unseen.Milliseconds(), UnreachedMillis: unreached.Milliseconds(),
		UnansweredMillis: unanswered.Milliseconds(), FailedProbes: m.session.FailedProbes}, true
}

// sweepExits drops the exits on a machine that its worker was allowed to forget longer than
// exitRetention ago.
func (o *shardOwner) sweepExits(m *machine) {
	for key, k := range m.reportedExits {
		if k.forget && o.controller.now.Sub(k.sentAt) > exitRetention {
			delete(m.reportedExits, key)
		}
	}
}
