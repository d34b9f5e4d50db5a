package shard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"brasskeel/internal/records"
)

var start = time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)

func member(controller string) Member { return Member{Name: controller, Incarnation: 1} }

// newTestTable returns a table with three members, and shards that are owned by the named controllers.
func newTestTable(t *testing.T, owners ...string) *Table {
	t.Helper()
	table := NewTable()
	put := func(key string, value any, version uint64) {
		if err := table.Put(key, records.Encode(value), version); err != nil {
			t.Fatal(err)
		}
	}
	for _, controller := range []string{"a", "b", "c"} {
		put(records.KeyMember(controller), MemberRecord{Member: member(controller)}, 10)
	}
	for i, controller := range owners {
		put(records.KeyOwner(i+1), OwnerRecord{Owner: Ownership{member(controller), uint64(i + 1)}, Generation: 1}, 20)
	}
	return table
}

var leader = LeaderState{LeaderVersion: 5, Term: 9, TermVersion: 6, ShardingRecorded: true}

// conditionVersions are the versions that a change is conditional on, by key.
func conditionVersions(c *Change) map[string]uint64 {
	conditions := map[string]uint64{}
	for _, k := range c.Txn.Conditions {
		conditions[k.Key] = k.Version
	}
	return conditions
}

// Shards are assigned only if the membership of the previous owner has ended, and the change is
// conditional on that.
func TestAssignAfterOwnerEnded(t *testing.T) {
	table := newTestTable(t, "a", "a")
	if c := table.Assign([]Assignment{{1, member("b")}}, leader); len(c.Records) != 0 {
		t.Errorf("shard with a live owner assigned: %+v", c.Records)
	}
	table.Remove(records.KeyMember("a"), 30)
	c := table.Assign([]Assignment{{1, member("b")}, {2, member("c")}}, leader)
	conditions := conditionVersions(c)
	if version, found := conditions[records.KeyMember("a")]; !found || version != 0 {
		t.Errorf("change isn't conditional on the absence of the previous owner's member record: %v", conditions)
	}
	if conditions[records.KeyLeader] != 5 || conditions[records.KeyTerm] != 6 || conditions[records.KeyOwner(1)] != 20 {
		t.Errorf("change has the conditions %v, want versions 5 of the leader, 6 of the term and 20 of the owner", conditions)
	}
	if r := c.Records[1]; r.HandedOver || r.Owner.Term != 10 || c.Records[2].Owner.Term != 11 || c.Term != 11 {
		t.Errorf("records %+v, want terms 10 and 11 and no HandedOver", c.Records)
	}
}

// A move is proposed by the leader and carried out by the owner, each conditional on the record's
// version.
func TestMove(t *testing.T) {
	table := newTestTable(t, "a")
	if table.HandOver(1, member("a"), true) != nil {
		t.Error("handed over without a proposed move")
	}
	proposal := table.ProposeMove(1, member("b"), leader)
	table.Applied(proposal, 40)
	if table.ProposeMove(1, member("c"), leader) != nil {
		t.Error("second move proposed for a shard that is moving")
	}
	if table.HandOver(1, member("b"), true) != nil {
		t.Error("handed over by a member that isn't the owner")
	}
	handover := table.HandOver(1, member("a"), true)
	if conditions := conditionVersions(handover); conditions[records.KeyOwner(1)] != 40 || len(conditions) != 1 {
		t.Errorf("handover has the conditions %v, want only version 40 of the owner", conditions)
	}
	table.Applied(handover, 41)
	if owner, ok := table.Owner(1); !ok || owner.Name != "b" || owner.Term != 10 {
		t.Errorf("owner %+v after the handover, want b under term 10", owner)
	}
	// An older record that arrives later is ignored.
	if err := table.Put(records.KeyOwner(1), records.Encode(OwnerRecord{Owner: Ownership{member("a"), 1}}), 20); err != nil {
		t.Fatal(err)
	}
	if owner, _ := table.Owner(1); owner.Name != "b" {
		t.Errorf("owner %+v after an older record arrived, want b", owner)
	}
}

// A shard whose record can't be parsed has no known owner.
func TestUnreadableRecord(t *testing.T) {
	table := newTestTable(t, "a")
	if table.Put(records.KeyOwner(1), json.RawMessage(`{"owner":7}`), 50) == nil {
		t.Error("invalid record accepted")
	}
	if _, ok := table.Owner(1); ok {
		t.Error("shard with an unreadable record has an owner")
	}
	if version, unreadable := table.Unreadable(1); !unreadable || version != 50 {
		t.Errorf("version %d, unreadable %t; want 50, true", version, unreadable)
	}
}

// fleetWithLoads returns three healthy controllers that use the given parts of their processor shares,
// and six shards of a hundred machines each, two per controller.
func fleetWithLoads(shares ...float64) ([]Controller, []Shard) {
	var controllers []Controller
	for i, controller := range []string{"a", "b", "c"} {
		controllers = append(controllers, Controller{Member: member(controller), Zone: "z", Healthy: true, Load: Load{CPUShare: shares[i]}})
	}
	var shards []Shard
	for i := range 6 {
		shards = append(shards, Shard{ID: ID(i + 1), Owner: controllers[i%3].Member, Machines: 100, Zone: "z"})
	}
	return controllers, shards
}

// No shard moves because of loads that differ little, or differ much for a short time only.
func TestNoMoveForNoise(t *testing.T) {
	p := NewPlanner()
	for i := range 120 {
		share := []float64{0.4, 0.5, 0.55}
		if i%10 == 0 {
			share[i%3] = 0.95
		}
		controllers, shards := fleetWithLoads(share...)
		if d := p.Plan(start.Add(time.Duration(i)*time.Second), controllers, shards); len(d) > 0 {
			t.Fatalf("after %d s: decisions %+v, want none", i, d)
		}
	}
}

// A lasting difference of loads moves one shard, and another only after rebalanceInterval.
func TestRebalance(t *testing.T) {
	p := NewPlanner()
	controllers, shards := fleetWithLoads(0.95, 0.3, 0.3)
	var at []int
	for i := range 60 {
		for _, d := range p.Plan(start.Add(time.Duration(i)*time.Second), controllers, shards) {
			if d.Reason != ReasonBalance || d.To.Name == "a" {
				t.Fatalf("after %d s: decision %+v, want a move away from a for balance", i, d)
			}
			at = append(at, i)
		}
	}
	if len(at) == 0 || at[0] < 15 || len(at) > 1 && at[1]-at[0] < 20 {
		t.Errorf("moves after %v s, want the first one after at least 15 s and the next at least 20 s later", at)
	}
}

// The shards of a draining controller are moved away, maxConcurrentMoves at a time. Neither a draining
// nor an unhealthy controller gets any.
func TestDrain(t *testing.T) {
	p := NewPlanner()
	controllers, shards := fleetWithLoads(0.4, 0.4, 0.4)
	controllers[0].Draining = true
	controllers[1].Healthy = false
	d := p.Plan(start, controllers, shards)
	if len(d) != maxConcurrentMoves {
		t.Fatalf("decisions %+v, want maxConcurrentMoves of them", d)
	}
	for _, k := range d {
		if k.Reason != ReasonDraining || k.To.Name != "c" || shards[k.ID-1].Owner.Name != "a" {
			t.Errorf("decision %+v, want a move from a to c because a is draining", k)
		}
	}
}

// A shard whose machines no controller reaches is assigned to each controller once without delay, and
// then not to one that failed to reach its machines within reachFailureTTL.
func TestUnreachableShardIsTriedOncePerController(t *testing.T) {
	p := NewPlanner()
	controllers, shards := fleetWithLoads(0.4, 0.4, 0.4)
	lastOwned := map[Member]time.Time{}
	moves := 0
	for i := range 300 {
		now := start.Add(time.Duration(i) * time.Second)
		for k := range controllers { // only the shard's owner doesn't reach its workers
			controllers[k].Healthy, controllers[k].Reachability = true, ReachabilityUnknown
			if controllers[k].Member == shards[0].Owner {
				controllers[k].Healthy, controllers[k].Reachability = false, WorkersUnreachable
			}
		}
		lastOwned[shards[0].Owner] = now
		for _, d := range p.Plan(now, controllers, shards[:1]) {
			if at, ok := lastOwned[d.To]; ok && now.Sub(at) < reachFailureTTL {
				t.Errorf("after %s the shard moved back to %s, which owned it %s ago", now.Sub(start), d.To.Name, now.Sub(at))
			}
			shards[0].Owner = d.To
			moves++
		}
		if i == 2 && moves != 2 {
			t.Errorf("shard moved %d times in 3 s, want 2", moves)
		}
	}
	if moves < 2 || moves > 2+2*300/60 {
		t.Errorf("shard moved %d times in five minutes, want 2 to 12", moves)
	}
}

// An owner whose messages don't reach the leader, while the state service shows that it reaches its
// workers, keeps its last shard for lastShardKeepTime. None of its shards moves to a controller that
// would then use more than maxTakeoverCPUShare.
func TestUnresponsiveOwnerThatServes(t *testing.T) {
	for _, c := range []struct {
		share            float64 // processor share used by the controller that would get the shards
		reportsReachable bool
		sinceLastMessage time.Duration
		want             int
	}{{0.1, true, unresponsiveAfter, 1}, {0.9, true, unresponsiveAfter, 0}, {0.1, false, unresponsiveAfter, 2}, {0.1, true, lastShardKeepTime, 2}, {0.9, true, lastShardKeepTime, 0}} {
		p := NewPlanner()
		controllers, shards := fleetWithLoads(c.share, 0.4, 0.9)
		for k := range controllers {
			controllers[k].Load.Machines = 200
		}
		controllers[1].SinceLastMessage, controllers[1].Healthy = c.sinceLastMessage+time.Second, false
		if c.reportsReachable {
			controllers[1].Reachability = WorkersReachable
		}
		moved := 0
		for _, d := range p.Plan(start, controllers, shards) {
			if d.Reason == ReasonUnresponsive {
				moved++
			}
		}
		if moved != c.want {
			t.Errorf("%+v: %d shards moved, want %d", c, moved, c.want)
		}
	}
}

const messageRoom, entries = 4000, 200 // bytes of a message, and entries of each list

func messageBytes(v any) int { return len(records.Encode(v)) }

// oversizedMessages returns instructions and observations that don't fit one message.
func oversizedMessages() (*Instructions, *Observations) {
	in, observed := &Instructions{}, &Observations{Status: &Status{}}
	for i := range entries {
		k := AttemptID{Machine: fmt.Sprintf("vm-%06d", i), Job: "run-000001", TaskIndex: i, Attempt: 1}
		in.Machines = append(in.Machines, Machine{Name: k.Machine, Type: "t", Zone: "z", Starts: []Start{{AttemptID: k}, {AttemptID: k}}})
		in.Starts = append(in.Starts, Start{AttemptID: k})
		in.TerminatedMachines = append(in.TerminatedMachines, k.Machine)
		observed.TaskStates = append(observed.TaskStates, TaskState{AttemptID: k})
		observed.Terminations = append(observed.Terminations, Termination{AttemptID: k, Reason: "no longer reported"})
		observed.Status.Unhealthy = append(observed.Status.Unhealthy, UnhealthyWorker{Machine: k.Machine, UnseenMillis: 5000})
	}
	return in, observed
}

// Instructions are split into messages of at most messageRoom bytes that together hold all of them, in
// order.
func TestTakeFittingInstructions(t *testing.T) {
	in, _ := oversizedMessages()
	machines, starts, terminated := 0, 0, 0
	for !in.Empty() {
		message, _ := in.TakeFitting(messageRoom)
		if size := messageBytes(message); size > messageRoom || message.Empty() {
			t.Fatalf("message of %d bytes is empty or exceeds messageRoom", size)
		}
		if len(message.Starts) > 0 && machines+len(message.Machines) < entries {
			t.Error("starts sent before their machines")
		}
		machines, starts = machines+len(message.Machines), starts+len(message.Starts)
		terminated += len(message.TerminatedMachines)
	}
	if machines != entries || starts != entries || terminated != entries {
		t.Errorf("messages hold %d machines, %d starts and %d terminated machines, want all entries", machines, starts, terminated)
	}
}

// Observations are split into messages that together hold all of them, the status in parts at the end.
func TestTakeFittingObservations(t *testing.T) {
	_, observed := oversizedMessages()
	states, terminations, unhealthy, parts := 0, 0, 0, 0
	for !observed.Empty() {
		message := observed.TakeFitting(messageRoom)
		if size := messageBytes(message); size > messageRoom {
			t.Fatalf("message of %d bytes exceeds messageRoom", size)
		}
		states, terminations = states+len(message.TaskStates), terminations+len(message.Terminations)
		if s := message.Status; s != nil {
			if s.Part != parts || s.More != (unhealthy+len(s.Unhealthy) < entries) {
				t.Errorf("part %d of the status: %+v, wrong part number or More", parts, s)
			}
			unhealthy, parts = unhealthy+len(s.Unhealthy), parts+1
		}
	}
	if states != entries || terminations != entries || unhealthy != entries || parts < 2 {
		t.Errorf("messages hold %d states, %d terminations and %d unhealthy workers in %d parts, want all entries in several parts", states, terminations, unhealthy, parts)
	}
}

// A channel detects a lost message and requests a snapshot, accepts no message twice and none of
// another epoch, and can send again after a full window was acknowledged.
func TestChannel(t *testing.T) {
	e := ChannelEpoch{Term: 3, Member: member("a")}
	from, to := NewChannel(e), NewChannel(e)
	first, lost, third := from.NextHeader(start, true), from.NextHeader(start, true), from.NextHeader(start, true)
	if !to.Receive(first) || to.Receive(first) {
		t.Error("first message not accepted exactly once")
	}
	_ = lost
	if to.Receive(third) {
		t.Error("message after a lost one accepted")
	}
	from.Receive(to.NextHeader(start, false))
	from.CheckTimeouts(start.Add(time.Second))
	if !from.SnapshotDue() || !to.Receive(from.NextHeader(start.Add(time.Second), true)) {
		t.Error("no snapshot due after a lost message, or snapshot not accepted")
	}
	if to.Receive(Header{Epoch: ChannelEpoch{Term: 4, Member: member("a")}, Sequence: 1, Snapshot: true}) {
		t.Error("message of another epoch accepted")
	}
	for !from.WindowFull() {
		from.NextHeader(start, true)
	}
	from.Receive(Header{Epoch: e, Acknowledged: from.sent})
	if from.WindowFull() {
		t.Error("window full although all messages are acknowledged")
	}
}
