package coordination

import (
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// newShardedLeader returns a leader and a recorded attempt on its one machine, which is in shard 1.
// n1 owns the shard under term 5; n2 is a member too.
func newShardedLeader(t *testing.T) (*leader, *attempt) {
	t.Helper()
	c, l := newTestLeader(phaseActive)
	c.operator.Sharding = &config.Sharding{ShardsPerController: 1}
	c.sharding = &sharding{controller: c, table: shard.NewTable(), tableLoaded: true}
	for _, controller := range []string{"n1", "n2"} {
		putShardRecord(t, c.sharding.table, records.KeyMember(controller), shard.MemberRecord{Member: shard.Member{Name: controller, Incarnation: 1}}, 3)
	}
	putShardRecord(t, c.sharding.table, records.KeyOwner(1), shard.OwnerRecord{Owner: shard.Ownership{Member: shard.Member{Name: "n1", Incarnation: 1}, Term: 5}}, 4)
	l.shards = newShardCoordinator(l, c.sharding, false)
	l.shards.ownershipChanged()
	m := l.newMachine("vm-1", "small", "a", false)
	m.shard, m.recorded, m.session.Registered, m.group = 1, true, true, &machineGroup{stage: groupStored}
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: benchJob(2)})
	l.assign(l.jobsByAge[0], 0, m)
	a := l.jobsByAge[0].task(0).live
	a.recorded = true
	return l, a
}

func putShardRecord(t *testing.T, table *shard.Table, key string, value any, version uint64) {
	t.Helper()
	if err := table.Put(key, records.Encode(value), version); err != nil {
		t.Fatal(err)
	}
}

// observationsFrom returns a message of an owner that serves shard 1 under a term.
func observationsFrom(l *leader, controller string, term, seq uint64) *shard.Observations {
	member := shard.Member{Name: controller, Incarnation: 1}
	return &shard.Observations{Header: shard.Header{Epoch: shard.ChannelEpoch{Term: l.term, Member: member}, Sequence: seq, Snapshot: seq == 1},
		ServedTerms: map[shard.ID]uint64{1: term}}
}

// An owner's observations are applied while it owns the shard, but not if they arrive after another
// member became the owner: the new owner may have started an attempt that the previous owner
// reported as terminated.
func TestObservationsOfEarlierOwners(t *testing.T) {
	l, a := newShardedLeader(t)
	l.shards.receive("n1", observationsFrom(l, "n1", 5, 1))
	putShardRecord(t, l.controller.sharding.table, records.KeyOwner(1), shard.OwnerRecord{Owner: shard.Ownership{Member: shard.Member{Name: "n2", Incarnation: 1}, Term: 7}}, 6)
	l.shards.ownershipChanged()
	outdated := observationsFrom(l, "n1", 5, 2)
	outdated.Terminations = []shard.Termination{{AttemptID: attemptTask(a), Reason: "never sent"}}
	l.shards.receive("n1", outdated)
	if l.jobsByAge[0].task(0).live != a {
		t.Fatal("termination from the previous owner of the shard was applied")
	}
	l.shards.receive("n2", observationsFrom(l, "n2", 7, 1))
	current := observationsFrom(l, "n2", 7, 2)
	current.Terminations = outdated.Terminations
	l.shards.receive("n2", current)
	if l.jobsByAge[0].task(0).live != nil {
		t.Error("termination from the current owner of the shard was not applied")
	}
}

// While no messages arrive from a shard's owner, the leader doesn't consider its workers unresponsive:
// it waits for the reports of the next owner.
func TestOwnerTimeoutIsNotWorkerFailure(t *testing.T) {
	l, a := newShardedLeader(t)
	l.shards.receive("n1", observationsFrom(l, "n1", 5, 1))
	a.machine.session.LastSeen, a.machine.session.LastAnswered, a.machine.session.LastReached, a.machine.session.RegisteredAt = l.controller.now, l.controller.now, l.controller.now, l.controller.now
	l.controller.now = l.controller.now.Add(time.Minute)
	if s := l.assessReachability(); len(s.unresponsive) != 0 {
		t.Errorf("%s counts as unresponsive although its owner has timed out", a.machine.Name)
	}
	l.shards.receive("n1", observationsFrom(l, "n1", 5, 2)) // its status follows within a second
	if s := l.assessReachability(); len(s.unresponsive) != 0 {
		t.Errorf("%s counts as unresponsive as soon as a message arrives from its owner again", a.machine.Name)
	}
}

// newTestShardOwner returns an owner of shard 1 under term 7, with the machine vm-1, connected to
// leader n1 of term 9.
func newTestShardOwner(t *testing.T) *shardOwner {
	t.Helper()
	c, _ := newTestLeader(phaseActive)
	c.leader = nil
	c.sharding = &sharding{controller: c, table: shard.NewTable(), tableLoaded: true, member: shard.Member{Name: "n0", Incarnation: 1}}
	o := newShardOwner(c.sharding, leadership.Lease{ID: 3, TTL: 2 * time.Second, ValidUntil: c.now.Add(time.Hour)})
	c.sharding.owner = o
	o.jobsKnownAt = c.now.Add(time.Hour)
	o.shards[1] = &ownedShard{epoch: sessions.Epoch{Term: 7, Since: c.now, PredecessorUntil: c.now}}
	o.newMachine(shard.Machine{Shard: 1, Name: "vm-1", Type: "small", Zone: "a"}, o.shards[1])
	o.feed.connect("n1", 9)
	c.takeEffects()
	return o
}

// instructionsWithTask returns a leader's snapshot that lists the owner's machine under a term of
// the shard's ownership, with a task to start.
func instructionsWithTask(o *shardOwner, term uint64) *shard.Instructions {
	start := shard.Start{AttemptID: shard.AttemptID{Machine: "vm-1", Job: "run-000001", TaskIndex: 0, Attempt: 1}, FirstNotice: true}
	return &shard.Instructions{Header: shard.Header{Epoch: o.feed.Channel.Epoch(), Sequence: 1, Snapshot: true},
		Machines: []shard.Machine{{Shard: 1, Term: term, Name: "vm-1", Type: "small", Zone: "a", Starts: []shard.Start{start}}}}
}

// A machine's entry for another ownership epoch of the shard isn't applied: it may lack attempts that
// an owner in between started.
func TestMachineEntriesOfOtherTerms(t *testing.T) {
	o := newTestShardOwner(t)
	o.feed.receive("n1", instructionsWithTask(o, 5))
	if m := o.machines["vm-1"]; m.attemptsKnown || len(m.attemptList) != 0 {
		t.Error("machine entry of an earlier ownership epoch was applied")
	}
	o = newTestShardOwner(t)
	o.feed.receive("n1", instructionsWithTask(o, 7))
	if m := o.machines["vm-1"]; !m.attemptsKnown || len(m.attemptList) != 1 {
		t.Error("machine entry of the current ownership epoch was not applied")
	}
}

// An owner whose shard is to move to another member redirects its workers to that member, and
// answers them again once the move is cancelled.
func TestOwnerHandingOverRedirectsWorkers(t *testing.T) {
	o := newTestShardOwner(t)
	putShardRecord(t, o.sharding.table, records.KeyMember("n0"), shard.MemberRecord{Member: o.sharding.member}, 3)
	next := shard.Ownership{Member: shard.Member{Name: "n2", Incarnation: 1}, Term: 8}
	record := shard.OwnerRecord{Owner: shard.Ownership{Member: o.sharding.member, Term: 7}, Next: &next}
	putShardRecord(t, o.sharding.table, records.KeyOwner(1), record, 4)
	o.applyTable()
	e := o.controller.Request(o.controller.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	if len(e.Replies) != 1 || e.Replies[0].Status != 421 || protocol.ParseRedirect(e.Replies[0].Body) != "n2" {
		t.Errorf("replies %+v to a heartbeat during the move, want a redirect to n2", e.Replies)
	}
	record.Next = nil // the move is cancelled
	putShardRecord(t, o.sharding.table, records.KeyOwner(1), record, 5)
	o.applyTable()
	if e := o.controller.Request(o.controller.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(5)); len(e.Replies) != 1 || e.Replies[0].Status != 200 {
		t.Errorf("replies %+v to a heartbeat after the move was cancelled, want status 200", e.Replies)
	}
}

// Workers of a partitioned owner that send no heartbeats don't count as unresponsive while another
// controller may reach them, but do once every controller has tried to.
func TestUnresponsiveWorkersOfPartitionedOwner(t *testing.T) {
	l, a := newShardedLeader(t)
	l.shards.receive("n1", observationsFrom(l, "n1", 5, 1))
	m := a.machine
	m.session.FailedProbes, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached, m.session.RegisteredAt = sessions.UnreachableProbeThreshold, l.controller.now, l.controller.now, l.controller.now, l.controller.now
	owner, other := l.shards.channels["n1"], l.shards.channels["n2"]
	later := l.controller.now.Add(l.controller.timing().UnresponsiveAfter() + time.Second)
	unresponsive := func(alternative bool) bool {
		l.controller.now = later
		owner.lastReceivedAt, other.lastReceivedAt, l.shards.ownerContactSinceByShard[1] = later, later, later.Add(-time.Minute)
		owner.partitioned, owner.alternatives = true, map[string]bool{m.Zone: alternative}
		return len(l.assessReachability().unresponsive) > 0
	}
	if unresponsive(true) {
		t.Error("worker counts as unresponsive although another controller may reach it")
	}
	if !unresponsive(false) {
		t.Error("worker doesn't count as unresponsive although every controller has tried to reach it")
	}
}

// A worker that contacts this controller again after a redirect to the leader gets a redirect without
// a target, so that it tries all controllers one after the other. Workers aren't redirected to a
// leader that lost contact with its own workers or that has sent no message within
// leaderContactWindow.
func TestWorkersThatDoNotReachTheLeader(t *testing.T) {
	o := newTestShardOwner(t)
	c, s := o.controller, &o.sharding.redirector
	*s = newRedirector(c)
	setElectionKeys(c, protocol.KeyValue{Key: records.KeyLeader, Value: records.Encode(records.Leader{Controller: "n1", Term: 9}), Version: 1})
	c.peers["n1"] = &peers.Status{LastReceivedAt: c.now}
	if got := s.target("vm-7"); got != "n1" {
		t.Fatalf("redirected to %q, want the leader n1", got)
	}
	c.now = c.now.Add(sessions.LostHeartbeatDelay)
	c.peers["n1"].LastReceivedAt = c.now
	if got := s.target("vm-7"); got != "" {
		t.Errorf("second redirect is to %q, want no target", got)
	}
	if got := s.target("vm-8"); got != "n1" {
		t.Errorf("another worker is redirected to %q, want the leader n1", got)
	}
	c.peers["n1"].WorkersUnreachable = true
	if got := s.target("vm-9"); got != "" {
		t.Errorf("redirected to %q, a leader that lost its workers", got)
	}
	c.peers["n1"].WorkersUnreachable, c.now = false, c.now.Add(leaderContactWindow+time.Second)
	if got := s.target("vm-9"); got != "" {
		t.Errorf("redirected to %q, a leader that has sent no message within leaderContactWindow", got)
	}
}

// A termination is sent again if its message was lost: the owner drops terminated attempts, so that
// no snapshot would contain it.
func TestLostTerminationIsResent(t *testing.T) {
	o := newTestShardOwner(t)
	f := o.feed
	f.receive("n1", instructionsWithTask(o, 7))
	o.attemptTerminated(o.machines["vm-1"].attemptList[0], "no longer reported")
	sentTerminations := func() (count int, last uint64) {
		f.flush()
		for _, s := range o.controller.takeEffects().Unicasts {
			message, err := shard.ParseMessage(s.Body)
			if err != nil {
				t.Fatal(err)
			}
			count += len(message.Observations.Terminations)
			last = max(last, message.Observations.Sequence)
		}
		return count, last
	}
	sent, last := sentTerminations()
	if sent != 1 {
		t.Fatalf("%d terminations sent, want 1", sent)
	}
	acknowledge := func(ack uint64, requestSnapshot bool) {
		o.controller.now = o.controller.now.Add(time.Second)
		f.receive("n1", &shard.Instructions{Header: shard.Header{Epoch: f.Channel.Epoch(), Acknowledged: ack, SnapshotRequested: requestSnapshot}})
		f.Channel.CheckTimeouts(o.controller.now)
	}
	acknowledge(last-1, true)
	sent, last = sentTerminations()
	if sent != 1 {
		t.Errorf("%d terminations in the snapshot after a lost message, want 1", sent)
	}
	acknowledge(last, true)
	if sent, _ := sentTerminations(); sent != 0 {
		t.Errorf("%d terminations sent again after they were acknowledged, want none", sent)
	}
}

// An exit that the worker still reports is sent to a new leader that lists the attempt as running,
// even if the previous leader allowed the worker to forget it.
func TestForgottenExitIsSentToNextLeader(t *testing.T) {
	o := newTestShardOwner(t)
	o.feed.receive("n1", instructionsWithTask(o, 7))
	m := o.machines["vm-1"]
	exit := protocol.TaskStatus{Job: "run-000001", TaskIndex: 0, Attempt: 1, State: protocol.Exited, Reason: protocol.ExitStopped}
	o.taskExitReported(m, m.attemptList[0], &exit)
	o.applyForget(&shard.AttemptID{Machine: "vm-1", Job: "run-000001", TaskIndex: 0, Attempt: 1})
	if !o.taskExitReported(m, nil, &exit) {
		t.Fatal("worker may not forget the exit although the leader allowed it")
	}
	o.feed.flush()
	o.controller.takeEffects()
	o.feed.connect("n2", 10)
	o.feed.receive("n2", instructionsWithTask(o, 7))
	if len(m.attemptList) != 1 {
		t.Fatal("machine entry of the next leader was not applied")
	}
	o.feed.flush()
	o.controller.takeEffects()
	if o.taskExitReported(m, m.attemptList[0], &exit) {
		t.Error("worker may forget the exit before the next leader knows of it")
	}
	if len(o.feed.pending.Exits) != 1 {
		t.Error("exit isn't sent to the next leader")
	}
}

// An owner that hands over a shard while an earlier owner may still answer its workers records the
// next owner without HandedOver, so that the next owner waits for the earlier owner's grace period.
func TestHandOverWhileEarlierOwnerMayAnswer(t *testing.T) {
	handedOverExclusively := func(wait time.Duration) bool {
		o := newTestShardOwner(t)
		o.shards[1].epoch.PredecessorUntil = o.controller.now.Add(wait)
		putShardRecord(t, o.sharding.table, records.KeyMember("n0"), shard.MemberRecord{Member: o.sharding.member}, 3)
		next := shard.Ownership{Member: shard.Member{Name: "n2", Incarnation: 1}, Term: 8}
		putShardRecord(t, o.sharding.table, records.KeyOwner(1), shard.OwnerRecord{Owner: shard.Ownership{Member: o.sharding.member, Term: 7}, Next: &next}, 4)
		o.applyTable()
		for _, k := range o.controller.takeEffects().Calls {
			if k.Target != protocol.PathTransactions {
				continue
			}
			txn, err := protocol.ParseTxn(k.Body)
			if err != nil {
				t.Fatal(err)
			}
			for _, op := range txn.Ops {
				var r shard.OwnerRecord
				if op.Put == records.KeyOwner(1) && protocol.Decode(op.Value, &r) == nil {
					return r.HandedOver
				}
			}
		}
		t.Fatal("no transaction with the handover was sent")
		return false
	}
	if handedOverExclusively(time.Second) {
		t.Error("recorded with HandedOver although an earlier owner may still answer workers")
	}
	if !handedOverExclusively(0) {
		t.Error("recorded without HandedOver although no earlier owner may answer workers any longer")
	}
}

// An owner stops serving a shard when a worker of it has seen a later fencing token. It resumes
// serving the other workers once it has read the table again and the table shows no other owner.
func TestOneWorkerWithNewerToken(t *testing.T) {
	o := newTestShardOwner(t)
	putShardRecord(t, o.sharding.table, records.KeyMember("n0"), shard.MemberRecord{Member: o.sharding.member}, 3)
	putShardRecord(t, o.sharding.table, records.KeyOwner(1), shard.OwnerRecord{Owner: shard.Ownership{Member: o.sharding.member, Term: 7}}, 4)
	o.newMachine(shard.Machine{Shard: 1, Name: "vm-2", Type: "small", Zone: "a"}, o.shards[1])
	status := func(machine string, seq, term uint64) int {
		body := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: machine, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: seq, FencingToken: term << sessions.TokenBits})
		return o.controller.Request(o.controller.now, seq, "POST", protocol.PathHeartbeat, body).Replies[0].Status
	}
	if got := status("vm-1", 1, 9); got != 421 {
		t.Errorf("status %d for a worker with a later token, want 421", got)
	}
	o.applyTable() // the table was not read again
	if got := status("vm-2", 2, 7); got != 421 {
		t.Errorf("status %d for the other workers before the table is read, want 421", got)
	}
	o.sharding.tableGeneration = o.sharding.watchGeneration
	o.applyTable()
	if got := status("vm-2", 3, 7); got != 200 {
		t.Errorf("status %d for the other workers although there is no other owner, want 200", got)
	}
	if got := status("vm-1", 4, 9); got != 421 {
		t.Errorf("status %d for the worker with a later token after the table was read, want 421", got)
	}
	if got := status("vm-2", 5, 7); got != 200 {
		t.Errorf("status %d for the other workers after another heartbeat with the later token, want 200", got)
	}
}
