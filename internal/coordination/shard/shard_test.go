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

// tableGeneration has three members, and shards that are owned by the controllers named.
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

// conditionVersions are the conditions of a change.
func conditionVersions(c *Change) map[string]uint64 {
	when := map[string]uint64{}
	for _, k := range c.Txn.Conditions {
		when[k.Key] = k.Version
	}
	return when
}

// Shards are given only where the owner before has ended, and the change says so.
func TestAssignAfterTheOwnerEnded(t *testing.T) {
	table := newTestTable(t, "a", "a")
	if c := table.Assign([]Assignment{{1, member("b")}}, leader); len(c.Records) != 0 {
		t.Errorf("the shard of a member that is alive was given: %+v", c.Records)
	}
	table.Remove(records.KeyMember("a"), 30)
	c := table.Assign([]Assignment{{1, member("b")}, {2, member("c")}}, leader)
	when := conditionVersions(c)
	if version, there := when[records.KeyMember("a")]; !there || version != 0 {
		t.Errorf("its lease may be there: %v", when)
	}
	if when[records.KeyLeader] != 5 || when[records.KeyTerm] != 6 || when[records.KeyOwner(1)] != 20 {
		t.Errorf("conditions %v", when)
	}
	if r := c.Records[1]; r.HandedOver || r.Owner.Term != 10 || c.Records[2].Owner.Term != 11 || c.Term != 11 {
		t.Errorf("records %+v", c.Records)
	}
}

// A move is asked for by the leader and carried out by the owner, each on the record's version.
func TestMove(t *testing.T) {
	table := newTestTable(t, "a")
	if table.HandOver(1, member("a"), true) != nil {
		t.Error("released without an intent")
	}
	intent := table.ProposeMove(1, member("b"), leader)
	table.Applied(intent, 40)
	if table.ProposeMove(1, member("c"), leader) != nil {
		t.Error("a second move of a shard that moves")
	}
	if table.HandOver(1, member("b"), true) != nil {
		t.Error("released by somebody else")
	}
	release := table.HandOver(1, member("a"), true)
	if when := conditionVersions(release); when[records.KeyOwner(1)] != 40 || len(when) != 1 {
		t.Errorf("conditions %v", when)
	}
	table.Applied(release, 41)
	if owner, ok := table.Owner(1); !ok || owner.Name != "b" || owner.Term != 10 {
		t.Errorf("owner %+v", owner)
	}
	// What was written before, and is heard later, changes nothing.
	if err := table.Put(records.KeyOwner(1), records.Encode(OwnerRecord{Owner: Ownership{member("a"), 1}}), 20); err != nil {
		t.Fatal(err)
	}
	if owner, _ := table.Owner(1); owner.Name != "b" {
		t.Errorf("owner %+v after an old record", owner)
	}
}

// A record that can't be read belongs to nobody that is known, and isn't guessed at.
func TestUnreadableRecord(t *testing.T) {
	table := newTestTable(t, "a")
	if table.Put(records.KeyOwner(1), json.RawMessage(`{"owner":7}`), 50) == nil {
		t.Error("it was read")
	}
	if _, ok := table.Owner(1); ok {
		t.Error("it has an owner")
	}
	if version, odd := table.Unreadable(1); !odd || version != 50 {
		t.Errorf("version %d, unreadable %t", version, odd)
	}
}

// fleetWithLoads is three fit controllers, and shards of a hundred machines in turn.
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

// Nothing moves for loads that differ little, or differ much for a moment.
func TestNoMoveForNoise(t *testing.T) {
	p := NewPlanner()
	for i := range 120 {
		share := []float64{0.4, 0.5, 0.55}
		if i%10 == 0 {
			share[i%3] = 0.95
		}
		controllers, shards := fleetWithLoads(share...)
		if d := p.Plan(start.Add(time.Duration(i)*time.Second), controllers, shards); len(d) > 0 {
			t.Fatalf("after %d s: %+v", i, d)
		}
	}
}

// A lasting difference moves one shard, and another one not before the pause is over.
func TestRebalance(t *testing.T) {
	p := NewPlanner()
	controllers, shards := fleetWithLoads(0.95, 0.3, 0.3)
	var at []int
	for i := range 60 {
		for _, d := range p.Plan(start.Add(time.Duration(i)*time.Second), controllers, shards) {
			if d.Reason != ReasonBalance || d.To.Name == "a" {
				t.Fatalf("after %d s: %+v", i, d)
			}
			at = append(at, i)
		}
	}
	if len(at) == 0 || at[0] < 15 || len(at) > 1 && at[1]-at[0] < 20 {
		t.Errorf("moves after %v s", at)
	}
}

// A controller that is drained loses its shards, two at a time, and gets none; one that is late
// gets none either.
func TestDrain(t *testing.T) {
	p := NewPlanner()
	controllers, shards := fleetWithLoads(0.4, 0.4, 0.4)
	controllers[0].Draining = true
	controllers[1].Healthy = false
	d := p.Plan(start, controllers, shards)
	if len(d) != maxConcurrentMoves {
		t.Fatalf("%+v", d)
	}
	for _, k := range d {
		if k.Reason != ReasonDraining || k.To.Name != "c" || shards[k.ID-1].Owner.Name != "a" {
			t.Errorf("%+v", k)
		}
	}
}

// A shard whose machines nobody reaches is tried by each controller once, at once, and goes to
// none that failed with it in the last minute.
func TestUnreachableShardIsTriedOncePerController(t *testing.T) {
	p := NewPlanner()
	controllers, shards := fleetWithLoads(0.4, 0.4, 0.4)
	had := map[Member]time.Time{}
	moves := 0
	for i := range 300 {
		now := start.Add(time.Duration(i) * time.Second)
		for k := range controllers { // whoever has it reaches few of its workers
			controllers[k].Healthy, controllers[k].Reachability = true, ReachabilityUnknown
			if controllers[k].Member == shards[0].Owner {
				controllers[k].Healthy, controllers[k].Reachability = false, WorkersUnreachable
			}
		}
		had[shards[0].Owner] = now
		for _, d := range p.Plan(now, controllers, shards[:1]) {
			if at, ok := had[d.To]; ok && now.Sub(at) < reachFailureTTL {
				t.Errorf("after %s it went back to %s, who had it %s ago", now.Sub(start), d.To.Name, now.Sub(at))
			}
			shards[0].Owner = d.To
			moves++
		}
		if i == 2 && moves != 2 {
			t.Errorf("tried by %d others at once", moves)
		}
	}
	if moves < 2 || moves > 2+2*300/60 {
		t.Errorf("moved %d times in five minutes", moves)
	}
}

// An owner that the leader doesn't hear, while the state service shows that it reaches its
// workers, keeps a shard, and its shards go to nobody who is busy without them.
func TestUnresponsiveOwnerThatServes(t *testing.T) {
	for _, c := range []struct {
		share   float64 // of the one that would take them
		vouched bool
		silent  time.Duration
		want    int
	}{{0.1, true, unresponsiveAfter, 1}, {0.9, true, unresponsiveAfter, 0}, {0.1, false, unresponsiveAfter, 2}, {0.1, true, lastShardKeepTime, 2}, {0.9, true, lastShardKeepTime, 0}} {
		p := NewPlanner()
		controllers, shards := fleetWithLoads(c.share, 0.4, 0.9)
		for k := range controllers {
			controllers[k].Load.Machines = 200
		}
		controllers[1].SinceLastMessage, controllers[1].Healthy = c.silent+time.Second, false
		if c.vouched {
			controllers[1].Reachability = WorkersReachable
		}
		moved := 0
		for _, d := range p.Plan(start, controllers, shards) {
			if d.Reason == ReasonUnresponsive {
				moved++
			}
		}
		if moved != c.want {
			t.Errorf("%+v: %d shards moved", c, moved)
		}
	}
}

const messageRoom, entries = 4000, 200 // of the tests below

func messageBytes(v any) int { return len(records.Encode(v)) }

// oversizedMessages is more than one message takes.
func oversizedMessages() (*Instructions, *Observations) {
	in, seen := &Instructions{}, &Observations{Status: &Status{}}
	for i := range entries {
		k := Task{Machine: fmt.Sprintf("vm-%06d", i), Job: "run-000001", TaskIndex: i, Attempt: 1}
		in.Machines = append(in.Machines, Machine{Name: k.Machine, Type: "t", Zone: "z", Starts: []Start{{Task: k}, {Task: k}}})
		in.Starts = append(in.Starts, Start{Task: k})
		in.TerminatedMachines = append(in.TerminatedMachines, k.Machine)
		seen.TaskStates = append(seen.TaskStates, TaskState{Task: k})
		seen.Terminations = append(seen.Terminations, Termination{Task: k, Reason: "no longer reported"})
		seen.Status.Unhealthy = append(seen.Status.Unhealthy, UnhealthyWorker{Machine: k.Machine, SilentMillis: 5000})
	}
	return in, seen
}

// Messages that are cut from instructions hold all of them, in order, each within its room.
func TestTakeFittingInstructions(t *testing.T) {
	in, _ := oversizedMessages()
	machines, starts, terminated := 0, 0, 0
	for !in.Empty() {
		message, _ := in.TakeFitting(messageRoom)
		if size := messageBytes(message); size > messageRoom || message.Empty() {
			t.Fatalf("a message of %d bytes", size)
		}
		if len(message.Starts) > 0 && machines+len(message.Machines) < entries {
			t.Error("starts before their machines")
		}
		machines, starts = machines+len(message.Machines), starts+len(message.Starts)
		terminated += len(message.TerminatedMachines)
	}
	if machines != entries || starts != entries || terminated != entries {
		t.Errorf("%d machines, %d starts, %d terminated", machines, starts, terminated)
	}
}

// Messages that are cut from observations hold all of them, the status in parts at the end.
func TestTakeFittingObservations(t *testing.T) {
	_, seen := oversizedMessages()
	states, terminations, unhealthy, parts := 0, 0, 0, 0
	for !seen.Empty() {
		message := seen.TakeFitting(messageRoom)
		if size := messageBytes(message); size > messageRoom {
			t.Fatalf("a message of %d bytes", size)
		}
		states, terminations = states+len(message.TaskStates), terminations+len(message.Terminations)
		if s := message.Status; s != nil {
			if s.Part != parts || s.More != (unhealthy+len(s.Unhealthy) < entries) {
				t.Errorf("part %d: %+v", parts, s)
			}
			unhealthy, parts = unhealthy+len(s.Unhealthy), parts+1
		}
	}
	if states != entries || terminations != entries || unhealthy != entries || parts < 2 {
		t.Errorf("%d states, %d terminations, %d unhealthy in %d parts", states, terminations, unhealthy, parts)
	}
}

// A channel notices a lost message and asks for a snapshot; a copy changes nothing.
func TestChannel(t *testing.T) {
	e := ChannelEpoch{Term: 3, Member: member("a")}
	from, to := NewChannel(e), NewChannel(e)
	first, lost, third := from.NextHeader(start, true), from.NextHeader(start, true), from.NextHeader(start, true)
	if !to.Receive(first) || to.Receive(first) {
		t.Error("the first line once")
	}
	_ = lost
	if to.Receive(third) {
		t.Error("a line after a lost one was taken")
	}
	from.Receive(to.NextHeader(start, false))
	from.CheckTimeouts(start.Add(time.Second))
	if !from.SnapshotDue() || !to.Receive(from.NextHeader(start.Add(time.Second), true)) {
		t.Error("no full account after a lost line")
	}
	if to.Receive(Header{Epoch: ChannelEpoch{Term: 4, Member: member("a")}, Sequence: 1, Snapshot: true}) {
		t.Error("a line of another epoch was taken")
	}
	for !from.WindowFull() {
		from.NextHeader(start, true)
	}
	from.Receive(Header{Epoch: e, Acknowledged: from.sent})
	if from.WindowFull() {
		t.Error("full after all was acknowledged")
	}
}
