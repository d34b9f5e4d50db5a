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

// newShardedLeader is a leader of one machine that runs a task, in a shard which n2 owns under term
// 7 and which n1 owned under term 5.
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

// observationsFrom is a message of an owner's that tells of a shard under a term.
func observationsFrom(l *leader, controller string, term, seq uint64) *shard.Observations {
	member := shard.Member{Name: controller, Incarnation: 1}
	return &shard.Observations{Header: shard.Header{Epoch: shard.ChannelEpoch{Term: l.term, Member: member}, Sequence: seq, Snapshot: seq == 1},
		ServedTerms: map[shard.ID]uint64{1: term}}
}

// What an owner saw is taken while it owns the shard, and not when it comes after another one
// took over: the successor may have started what the first saw missing.
func TestObservationsOfEarlierOwners(t *testing.T) {
	l, a := newShardedLeader(t)
	l.shards.receive("n1", observationsFrom(l, "n1", 5, 1))
	putShardRecord(t, l.controller.sharding.table, records.KeyOwner(1), shard.OwnerRecord{Owner: shard.Ownership{Member: shard.Member{Name: "n2", Incarnation: 1}, Term: 7}}, 6)
	l.shards.ownershipChanged()
	late := observationsFrom(l, "n1", 5, 2)
	late.Terminations = []shard.Termination{{Task: attemptTask(a), Reason: "never sent"}}
	l.shards.receive("n1", late)
	if l.jobsByAge[0].task(0).live != a {
		t.Fatal("the word of an earlier owner was taken")
	}
	l.shards.receive("n2", observationsFrom(l, "n2", 7, 1))
	now := observationsFrom(l, "n2", 7, 2)
	now.Terminations = late.Terminations
	l.shards.receive("n2", now)
	if l.jobsByAge[0].task(0).live != nil {
		t.Error("the owner's word was not taken")
	}
}

// Nobody is silent while its owner isn't heard: the leader waits for the next owner's word.
func TestOwnerTimeoutIsNotWorkerSilence(t *testing.T) {
	l, a := newShardedLeader(t)
	l.shards.receive("n1", observationsFrom(l, "n1", 5, 1))
	a.machine.session.LastSeen, a.machine.session.LastAnswered, a.machine.session.LastReached, a.machine.session.RegisteredAt = l.controller.now, l.controller.now, l.controller.now, l.controller.now
	l.controller.now = l.controller.now.Add(time.Minute)
	if s := l.assessReachability(); len(s.unresponsive) != 0 {
		t.Errorf("%s is given up while nobody tells of it", a.machine.Name)
	}
	l.shards.receive("n1", observationsFrom(l, "n1", 5, 2)) // its status comes within a second
	if s := l.assessReachability(); len(s.unresponsive) != 0 {
		t.Errorf("%s is given up as soon as its owner is heard again", a.machine.Name)
	}
}

// newTestShardOwner is an owner of shard 1 under term 7, with one machine.
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

// instructionsWithTask is a leader's message that lists the owner's machine with a task to run.
func instructionsWithTask(o *shardOwner, term uint64) *shard.Instructions {
	run := shard.Start{Task: shard.Task{Machine: "vm-1", Job: "run-000001", TaskIndex: 0, Attempt: 1}, FirstNotice: true}
	return &shard.Instructions{Header: shard.Header{Epoch: o.feed.Channel.Epoch(), Sequence: 1, Snapshot: true},
		Machines: []shard.Machine{{Shard: 1, Term: term, Name: "vm-1", Type: "small", Zone: "a", Starts: []shard.Start{run}}}}
}

// A list that was made for another ownership epoch of the shard isn't taken: it may lack what the owner
// between them started.
func TestMachineListsOfOtherTerms(t *testing.T) {
	o := newTestShardOwner(t)
	o.feed.receive("n1", instructionsWithTask(o, 5))
	if m := o.machines["vm-1"]; m.attemptsKnown || len(m.attemptList) != 0 {
		t.Error("the list of an earlier tenure was taken")
	}
	o = newTestShardOwner(t)
	o.feed.receive("n1", instructionsWithTask(o, 7))
	if m := o.machines["vm-1"]; !m.attemptsKnown || len(m.attemptList) != 1 {
		t.Error("the list was not taken")
	}
}

// An owner that is asked to release a shard answers none of its workers, and names the next.
func TestOwnerHandingOverRedirectsWorkers(t *testing.T) {
	o := newTestShardOwner(t)
	putShardRecord(t, o.sharding.table, records.KeyMember("n0"), shard.MemberRecord{Member: o.sharding.member}, 3)
	next := shard.Ownership{Member: shard.Member{Name: "n2", Incarnation: 1}, Term: 8}
	record := shard.OwnerRecord{Owner: shard.Ownership{Member: o.sharding.member, Term: 7}, Next: &next}
	putShardRecord(t, o.sharding.table, records.KeyOwner(1), record, 4)
	o.applyTable()
	e := o.controller.Request(o.controller.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	if len(e.Replies) != 1 || e.Replies[0].Status != 421 || protocol.ParseRedirect(e.Replies[0].Body) != "n2" {
		t.Errorf("answers %+v", e.Replies)
	}
	record.Next = nil // taken back
	putShardRecord(t, o.sharding.table, records.KeyOwner(1), record, 5)
	o.applyTable()
	if e := o.controller.Request(o.controller.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(5)); len(e.Replies) != 1 || e.Replies[0].Status != 200 {
		t.Errorf("answers %+v", e.Replies)
	}
}

// The silence of workers that a partitioned owner tells of isn't theirs while another controller may
// reach them, and is once each has tried.
func TestSilentWorkersOfPartitionedOwner(t *testing.T) {
	l, a := newShardedLeader(t)
	l.shards.receive("n1", observationsFrom(l, "n1", 5, 1))
	m := a.machine
	m.session.FailedProbes, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached, m.session.RegisteredAt = sessions.UnreachableProbeThreshold, l.controller.now, l.controller.now, l.controller.now, l.controller.now
	owner, other := l.shards.channels["n1"], l.shards.channels["n2"]
	later := l.controller.now.Add(l.controller.timing().UnresponsiveAfter() + time.Second)
	silent := func(untried bool) bool {
		l.controller.now = later
		owner.heardAt, other.heardAt, l.shards.ownerHeardSinceByShard[1] = later, later, later.Add(-time.Minute)
		owner.partitioned, owner.alternatives = true, map[string]bool{m.Zone: untried}
		return len(l.assessReachability().unresponsive) > 0
	}
	if silent(true) {
		t.Error("given up although another controller may reach it")
	}
	if !silent(false) {
		t.Error("kept although every controller has tried")
	}
}

// A worker that comes back from the leader tries all controllers in turn.
func TestWorkersThatDoNotReachTheLeader(t *testing.T) {
	o := newTestShardOwner(t)
	c, s := o.controller, &o.sharding.redirector
	*s = newRedirector(c)
	setElectionKeys(c, protocol.KeyValue{Key: records.KeyLeader, Value: records.Encode(records.Leader{Node: "n1", Term: 9}), Version: 1})
	c.peers["n1"] = &peers.Status{HeardAt: c.now}
	if got := s.target("vm-7"); got != "n1" {
		t.Fatalf("sent to %q", got)
	}
	c.now = c.now.Add(sessions.LostHeartbeatDelay)
	c.peers["n1"].HeardAt = c.now
	if got := s.target("vm-7"); got != "" {
		t.Errorf("sent to %q again", got)
	}
	if got := s.target("vm-8"); got != "n1" {
		t.Errorf("another one is sent to %q", got)
	}
	c.peers["n1"].WorkersUnreachable = true
	if got := s.target("vm-9"); got != "" {
		t.Errorf("sent to %q, which lost its workers", got)
	}
	c.peers["n1"].WorkersUnreachable, c.now = false, c.now.Add(leaderHeardWindow+time.Second)
	if got := s.target("vm-9"); got != "" {
		t.Errorf("sent to %q, which isn't heard", got)
	}
}

// A proof that an attempt is gone is told again when its message was lost: the owner forgets the
// attempt, so that no report of what it holds would tell of it.
func TestLostTerminationIsResent(t *testing.T) {
	o := newTestShardOwner(t)
	f := o.feed
	f.receive("n1", instructionsWithTask(o, 7))
	o.attemptTerminated(o.machines["vm-1"].attemptList[0], "no longer reported")
	gone := func() (count int, last uint64) {
		f.flush()
		for _, s := range o.controller.takeEffects().Unicasts {
			line, err := shard.ParseMessage(s.Body)
			if err != nil {
				t.Fatal(err)
			}
			count += len(line.Observations.Terminations)
			last = max(last, line.Observations.Sequence)
		}
		return count, last
	}
	told, last := gone()
	if told != 1 {
		t.Fatalf("%d proofs told", told)
	}
	ask := func(ack uint64, again bool) {
		o.controller.now = o.controller.now.Add(time.Second)
		f.receive("n1", &shard.Instructions{Header: shard.Header{Epoch: f.Channel.Epoch(), Acknowledged: ack, SnapshotRequested: again}})
		f.Channel.CheckTimeouts(o.controller.now)
	}
	ask(last-1, true)
	told, last = gone()
	if told != 1 {
		t.Errorf("%d proofs in the account after a lost line", told)
	}
	ask(last, true)
	if told, _ := gone(); told != 0 {
		t.Errorf("%d proofs told again after they arrived", told)
	}
}

// An exit that an earlier leader let be forgotten, and that the worker still reports, is told
// to a leader that lists the attempt as running.
func TestForgottenExitIsSentToNextLeader(t *testing.T) {
	o := newTestShardOwner(t)
	o.feed.receive("n1", instructionsWithTask(o, 7))
	m := o.machines["vm-1"]
	exit := protocol.TaskStatus{Job: "run-000001", TaskIndex: 0, Attempt: 1, State: protocol.Exited, Reason: protocol.ExitStopped}
	o.taskExitReported(m, m.attemptList[0], &exit)
	o.applyForget(&shard.Task{Machine: "vm-1", Job: "run-000001", TaskIndex: 0, Attempt: 1})
	if !o.taskExitReported(m, nil, &exit) {
		t.Fatal("the worker may not forget it")
	}
	o.feed.flush()
	o.controller.takeEffects()
	o.feed.connect("n2", 10)
	o.feed.receive("n2", instructionsWithTask(o, 7))
	if len(m.attemptList) != 1 {
		t.Fatal("the next leader's list was not taken")
	}
	o.feed.flush()
	o.controller.takeEffects()
	if o.taskExitReported(m, m.attemptList[0], &exit) {
		t.Error("the worker may forget it before the next leader knows")
	}
	if len(o.feed.pending.Exits) != 1 {
		t.Error("the next leader isn't told")
	}
}

// An owner that gives a shard away while somebody before it may still answer the shard's
// workers says so, and the next owner waits for that.
func TestHandOverWhileEarlierOwnerMayAnswer(t *testing.T) {
	released := func(wait time.Duration) bool {
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
		t.Fatal("nothing is released")
		return false
	}
	if released(time.Second) {
		t.Error("released although one before may still answer")
	}
	if !released(0) {
		t.Error("the next owner has to wait for nobody")
	}
}

// An owner pauses when a worker has seen a later token, and goes on with the others once the
// table, read since, shows that nobody took the shard.
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
		t.Errorf("a worker with a later token gets %d", got)
	}
	o.applyTable() // the table is as old as before
	if got := status("vm-2", 2, 7); got != 421 {
		t.Errorf("the others get %d before the table is read", got)
	}
	o.sharding.tableGeneration = o.sharding.watchGeneration
	o.applyTable()
	if got := status("vm-2", 3, 7); got != 200 {
		t.Errorf("the others get %d although nobody took the shard", got)
	}
	if got := status("vm-1", 4, 9); got != 421 {
		t.Errorf("a worker with a later token gets %d", got)
	}
	if got := status("vm-2", 5, 7); got != 200 {
		t.Errorf("the others get %d after its next report", got)
	}
}
