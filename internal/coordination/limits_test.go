package coordination

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/ratelog"
	"brasskeel/internal/protocol"
	"brasskeel/internal/ratelimit"
	"brasskeel/internal/records"
)

// Tests of limits that are reached with a fleet of thousands of machines.

// newFollower returns another controller that knows c as the leader.
func newFollower(c *Controller) *Controller {
	cfg := *c.cfg
	cfg.Name = "n1"
	cfg.Peers = append(cfg.Peers[:0:0], cfg.Peers...)
	cfg.Peers = append(cfg.Peers, config.Peer{Name: c.cfg.Name, Zone: c.cfg.Zone})
	f := New(&cfg, c.operator, slog.New(slog.DiscardHandler), 2, c.now)
	setElectionKeys(f, protocol.KeyValue{Key: records.KeyLeader, Value: records.Encode(records.Leader{Controller: c.cfg.Name, Term: 1}), Version: 1})
	return f
}

// deliverBroadcasts delivers one round of a leader's broadcasts to a follower, and returns the
// length of the longest message.
func deliverBroadcasts(c, f *Controller) (longest int) {
	c.effects = Effects{}
	c.broadcastStatus()
	for _, p := range c.takeEffects().Broadcasts {
		longest = max(longest, len(p.Body))
		f.PeerMessage(c.now, p.Body)
	}
	return longest
}

// After a few rounds of broadcasts a follower knows the progress of every job of a large fleet,
// and no message exceeds peers.MaxMessage. When only the first 1,200 jobs were broadcast, users
// saw the others as queued forever.
func TestProgressOfAllJobsIsBroadcast(t *testing.T) {
	const jobs = 9000
	c, l := largeLeader(10, jobs)
	for _, j := range l.jobsByAge {
		j.runningTasks = 3
	}
	f := newFollower(c)
	for round := range 3 {
		if longest := deliverBroadcasts(c, f); longest > peers.MaxMessage {
			t.Fatalf("round %d: a message of %d bytes exceeds MaxMessage", round, longest)
		}
	}
	for _, j := range l.jobsByAge {
		if s, _, running := f.knownProgress(j.ID); s != protocol.JobRunning || running != 3 {
			t.Fatalf("%s: follower knows state %v and %d running tasks, want running and 3", j.ID, s, running)
		}
	}
	// A job without running or done tasks is broadcast once more.
	l.jobsByAge[0].runningTasks = 0
	for range 3 {
		deliverBroadcasts(c, f)
	}
	if _, _, running := f.knownProgress(l.jobsByAge[0].ID); running != 0 {
		t.Errorf("follower knows %d running tasks of a job without any, want 0", running)
	}
}

// The final states of thousands of jobs that end within a second are broadcast within seconds,
// each at least once. With a limit of 500 a second, those beyond 5,000 queued ones were dropped.
func TestManyOutcomesAreBroadcast(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.cfg.StateWriteRPS = 1000
	c.admission.maxPendingAnnouncements = c.maxPendingAnnouncements()
	const jobs = 12_000
	for i := range jobs {
		c.admission.publishOutcome(fmt.Sprintf("run-%06d", i), protocol.Done, 1)
	}
	f := newFollower(c)
	for range 5 {
		if longest := deliverBroadcasts(c, f); longest > peers.MaxMessage {
			t.Fatalf("a message of %d bytes exceeds MaxMessage", longest)
		}
	}
	if len(f.admission.outcomes) != jobs {
		t.Errorf("follower knows %d of %d final states, want all", len(f.admission.outcomes), jobs)
	}
}

// inventoryPage returns the response to a call for a page of the cloud's inventory, which has count
// machines, numbered from 0.
func inventoryPage(call Call, count int) []byte {
	first := 0
	if _, after, found := strings.Cut(call.Target, "=vm-"); found {
		if _, err := fmt.Sscanf(after, "%d", &first); err != nil {
			panic(err)
		}
		first++
	}
	var list []protocol.ListedMachine
	for i := first; i < min(count, first+protocol.MachinesPageSize); i++ {
		list = append(list, protocol.ListedMachine{Name: fmt.Sprintf("vm-%06d", i), Type: "small", Zone: "a", State: protocol.Up, Age: time.Hour})
	}
	return protocol.EncodeMachines(list, first+protocol.MachinesPageSize < count)
}

// readWholeInventory makes a leader read an inventory of count machines once, and returns the
// number of calls. Every refuse-th call is refused; 0 refuses none.
func readWholeInventory(c *Controller, l *leader, count, refuse int) (calls int) {
	c.effects = Effects{}
	l.readInventory()
	for range 10_000 {
		e := c.takeEffects()
		for _, call := range e.Calls {
			if call.To != Cloud || !strings.HasPrefix(call.Target, protocol.PathMachines+"?") {
				continue
			}
			calls++
			o := Outcome{Answered: true, Status: 200, Body: inventoryPage(call, count)}
			if refuse > 0 && calls%refuse == 0 {
				o = Outcome{Answered: true, Status: 429}
			}
			c.effects.Calls = append(c.effects.Calls, c.Result(c.now, call.ID, o).Calls...)
		}
		if !l.autoscaler.inventoryInFlight {
			return calls
		}
		if len(c.effects.Calls) == 0 {
			c.now = c.now.Add(100 * time.Millisecond)
			c.effects.Calls = append(c.effects.Calls, c.Tick(c.now).Calls...)
		}
	}
	return calls
}

// An inventory of 25,000 machines is read to its end, even if calls for pages are refused, and
// machines on its last page are kept. When reading ended after 20,000 machines, the others were
// considered terminated, and a refused page discarded all pages before it.
func TestLongInventoriesAreReadToTheEnd(t *testing.T) {
	const count = 25_000
	c, l := newTestLeader(phaseActive)
	last := l.newMachine(fmt.Sprintf("vm-%06d", count-1), "small", "a", false)
	last.recorded, last.provisionedAt = true, c.now.Add(-time.Hour)
	l.autoscaler.callBudget = ratelimit.NewTokenBucket(1000, 1000, c.now)
	if calls := readWholeInventory(c, l, count, 7); !l.autoscaler.inventoryComplete || calls < count/protocol.MachinesPageSize {
		t.Fatalf("inventory incomplete after %d calls, or read in fewer calls than it has pages", calls)
	}
	if len(l.machines) != count || !last.lifecycle.unlistedSince.IsZero() {
		t.Errorf("%d machines known, want 25000; the last one counts as unlisted: %t, want false", len(l.machines), !last.lifecycle.unlistedSince.IsZero())
	}
}

// Reading the inventory of a large fleet leaves most of the cloud's call budget for provisioning and
// releases. Read every six seconds, the inventory of 4,000 machines took two thirds of a budget of
// two calls a second.
func TestInventoryReadsLeaveCallBudget(t *testing.T) {
	_, l := largeLeader(4000, 0)
	l.controller.cfg.CloudRPS, l.controller.cfg.ListLag = 2, 12*time.Second
	pages := float64(1 + 4000/protocol.MachinesPageSize)
	if share := pages / l.inventoryInterval().Seconds() / l.controller.cfg.CloudRPS; share > 0.26 {
		t.Errorf("reading the inventory takes %.2f of the call budget, want at most 0.26", share)
	}
	_, small := largeLeader(250, 0)
	small.controller.cfg.CloudRPS, small.controller.cfg.ListLag = 2, 12*time.Second
	if i := small.inventoryInterval(); i != 6*time.Second {
		t.Errorf("inventory of a small fleet read every %s, want 6s", i)
	}
}

// The read of an inventory that repeats its pages is abandoned.
func TestEndlessInventoryIsAbandoned(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	l.readInventory()
	again := protocol.EncodeMachines([]protocol.ListedMachine{{Name: "vm-000001", Type: "small", Zone: "a", State: protocol.Up}}, true)
	calls := 0
	for range 20 {
		for _, call := range c.takeEffects().Calls {
			if call.To == Cloud {
				calls++
				c.effects.Calls = append(c.effects.Calls, c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: again}).Calls...)
			}
		}
		c.now = c.now.Add(100 * time.Millisecond)
		c.effects.Calls = append(c.effects.Calls, c.Tick(c.now).Calls...)
	}
	if calls > 4 || l.autoscaler.inventoryComplete {
		t.Errorf("%d calls, want at most 4; inventory complete: %t, want false", calls, l.autoscaler.inventoryComplete)
	}
}

// newCrowdedMachine returns a leader with one machine that runs the given number of small tasks.
func newCrowdedMachine(tasks int) (*Controller, *leader, *machine) {
	c, l := largeLeader(1, 0)
	spec := benchJob(2)
	spec.Tasks, spec.CPUs, spec.MemoryGB = tasks, 0.001, 0.001
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: spec})
	m := l.fleetList[0]
	for i := range tasks {
		l.assign(l.jobsByAge[0], i, m)
		l.jobsByAge[0].firstUnstarted = i + 1
	}
	markAllRunning(l)
	c.takeEffects()
	return c, l, m
}

// A message to a worker never exceeds 64 KiB; the orders that do not fit are sent with the next
// message.
func TestOrdersFitMessages(t *testing.T) {
	const tasks = 3000
	c, l, m := newCrowdedMachine(tasks)
	l.endJob(l.jobsByAge[0], protocol.Cancelled)
	stopped := map[int]bool{}
	calls := c.takeEffects().Calls
	for range 20 {
		var next []Call
		for _, call := range calls {
			if call.To != Worker {
				continue
			}
			if len(call.Body) > protocol.MaxBody {
				t.Fatalf("message of %d bytes to a worker exceeds MaxBody", len(call.Body))
			}
			_, _, orders, err := protocol.ParseOrders(call.Body)
			if err != nil {
				t.Fatal(err)
			}
			for _, o := range orders {
				stopped[o.TaskIndex] = true
			}
			m.session.Sequence++
			body := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: m.session.Sequence, FencingToken: l.epoch.BaseToken(),
				Tasks: runningTaskStatuses(m)})
			next = append(next, c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: body}).Calls...)
		}
		calls = next
	}
	if len(stopped) != tasks {
		t.Errorf("stop orders sent for %d of %d tasks, want all", len(stopped), tasks)
	}
	// The same holds for the response to a heartbeat.
	m.session.Sequence++
	r := &protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: m.session.Sequence, FencingToken: l.epoch.BaseToken(), Tasks: runningTaskStatuses(m)}
	e := c.Request(c.now, 99, "POST", protocol.PathHeartbeat, protocol.EncodeHeartbeat(r))
	if len(e.Replies) != 1 || len(e.Replies[0].Body) > protocol.MaxBody {
		t.Fatalf("%d replies to the heartbeat, want one of at most MaxBody bytes", len(e.Replies))
	}
	if _, _, orders, err := protocol.ParseOrders(e.Replies[0].Body); err != nil || len(orders) < 300 {
		t.Errorf("%d orders in the reply, want at least 300; error %v", len(orders), err)
	}
	if c.limits.Total(limits.OrdersPerMessage) == 0 {
		t.Error("the limit on orders per message was not counted as reached")
	}
}

// runningTaskStatuses returns the status of all tasks on a machine as its worker reports them.
func runningTaskStatuses(m *machine) []protocol.TaskStatus {
	var list []protocol.TaskStatus
	for _, a := range m.sortedAttempts() {
		list = append(list, protocol.TaskStatus{Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number, State: protocol.Running})
	}
	return list
}

// A machine gets no more tasks than fit into its worker's heartbeat. A request of more than
// 64 KiB is refused, and the worker would lose all its tasks when its lease expires.
func TestTasksFitHeartbeats(t *testing.T) {
	c, l := largeLeader(1, 0)
	spec := benchJob(2)
	spec.Tasks, spec.CPUs, spec.MemoryGB = 5000, 0.001, 0.001
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: spec})
	fillFleet(l)
	m := l.fleetList[0]
	r := &protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: runningTaskStatuses(m)}
	if size := len(protocol.EncodeHeartbeat(r)); len(r.Tasks) < 300 || size > protocol.MaxBody {
		t.Errorf("%d tasks in a heartbeat of %d bytes, want at least 300 tasks in at most MaxBody bytes", len(r.Tasks), size)
	}
}

// The limit of open requests depends on the state service's request rate and the number of
// sockets. A fixed limit of 400 was less than the status queries of a large fleet's users in one
// second.
func TestOpenRequestsFollowSettings(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.cfg.StateRPS, c.cfg.MaxTxnOps, c.cfg.MaxSockets = 2000, 16, 15_000
	for i := range 2000 {
		c.Request(c.now, uint64(i+1), "GET", fmt.Sprintf("%s/run-%06d", protocol.PathJobs, i), nil)
	}
	if c.limits.Total(limits.OpenRequests) != 0 || c.admission.openRequests != 2000 {
		t.Errorf("%d requests open, %d refused; want 2000, 0", c.admission.openRequests, c.limits.Total(limits.OpenRequests))
	}
	c.cfg.StateRPS, c.cfg.MaxSockets = 120, 900
	if most := c.maxOpenRequests(); most < minOpenRequests || most > 450 {
		t.Errorf("limit of %d open requests with few sockets, want minOpenRequests to 450", most)
	}
}

// A status check fits into a transaction's 64 KiB however many operations the settings allow in
// a transaction.
func TestStatusChecksFitTransactions(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.cfg.StateRPS, c.cfg.MaxTxnOps, c.cfg.MaxSockets = 2000, 4096, 15_000
	for i := range 5000 {
		c.admission.pendingQueries = append(c.admission.pendingQueries, statusQuery{uint64(i), fmt.Sprintf("run-%018d", i)})
	}
	c.checkStatuses()
	for _, call := range c.takeEffects().Calls {
		if len(call.Body) > protocol.MaxBody {
			t.Errorf("%s %s: body of %d bytes exceeds MaxBody", call.Method, call.Target, len(call.Body))
		}
	}
}

// Thousands of deferred heartbeats are all answered within maxHeartbeatDeferral.
func TestManyDeferredHeartbeats(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.leader = nil
	c.cfg.MaxSockets = 12_000
	const heartbeats = 6000
	for i := range heartbeats {
		c.now = c.now.Add(100 * time.Microsecond)
		c.deferHeartbeat(uint64(i+1), nil)
	}
	if replies := c.deferOneHeartbeat(heartbeats + 1); len(replies) != 1 || c.limits.Total(limits.DeferredHeartbeats) != 1 {
		t.Errorf("%d replies to the heartbeat above the limit, want one and the limit counted once", len(replies))
	}
	answered := 0
	for end := c.now.Add(maxHeartbeatDeferral); !c.now.After(end); c.now = c.now.Add(20 * time.Millisecond) {
		answered += len(c.Tick(c.now).Replies)
	}
	if answered != heartbeats {
		t.Errorf("%d of %d heartbeats answered within maxHeartbeatDeferral, want all", answered, heartbeats)
	}
}

// deferOneHeartbeat defers a heartbeat and returns the replies that are sent at once.
func (c *Controller) deferOneHeartbeat(id uint64) []Reply {
	c.effects = Effects{}
	c.deferHeartbeat(id, nil)
	return c.takeEffects().Replies
}

// The records of a large fleet are applied in several steps, so that the leader can renew its
// lease in between. In one step, they kept a controller with a small CPU share busy for longer
// than the lease.
func TestRecordsAreAppliedInSteps(t *testing.T) {
	c, l := newTestLeader(phaseLoading)
	service := fleetRecords(1000)
	var machines, blocks []protocol.KeyValue
	for key, it := range service.items {
		switch {
		case strings.HasPrefix(key, records.PrefixTaskBlocks):
			blocks = append(blocks, it)
		case strings.HasPrefix(key, records.PrefixMachineGroups):
			machines = append(machines, it)
		default:
			l.applyJobRecord(key, it.Value, false)
		}
	}
	l.applyRecords(machines, blocks)
	steps := 1
	for l.phase == phaseLoading && steps < 1000 {
		c.Tick(c.now.Add(blockStepPause))
		steps++
	}
	if steps < 5 || l.phase != phaseReconciling {
		t.Errorf("%d task blocks applied in %d steps, phase %d; want at least 5 steps and then phaseReconciling", len(blocks), steps, l.phase)
	}
}

// A fleet that needs more than its controller's CPU share grows step by step: each step waits
// until the machines of the previous one have registered, and nothing is provisioned while timers
// run late. Without these steps, thousands of machines were provisioned at once, before the processor
// time for serving the first of them was known.
func TestScaleOutBeyondCPUShareIsGradual(t *testing.T) {
	c, l := largeLeader(600, 4000)
	c.cfg.CPUShare = 0.025
	for _, j := range l.jobsByAge {
		l.autoscaler.unmetDemand = append(l.autoscaler.unmetDemand, demand{j, j.pendingTasks()})
	}
	provisioned := func() (count int) {
		l.autoscaler.callBudget = ratelimit.NewTokenBucket(1000, 1000, c.now)
		clear(l.autoscaler.requested)
		c.effects = Effects{}
		l.scaleOut()
		for _, call := range c.takeEffects().Calls {
			if call.To == Cloud {
				r, err := protocol.ParseProvision(call.Body)
				if err != nil {
					t.Fatal(err)
				}
				count += r.Count
			}
		}
		return count
	}
	boot := func(count int, up bool) {
		for range count {
			m := l.newMachine(fmt.Sprintf("vm-b%06d", len(l.fleetList)), "small", "a", false)
			m.session.Registered, m.recorded, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached = up, true, c.now, c.now, c.now
		}
	}
	first := provisioned()
	boot(first, false)
	if got := provisioned(); first == 0 || first > 100 || got > protocol.MaxMachinesPerProvision {
		t.Errorf("%d machines provisioned, want 1 to 100, and %d more before those registered, want at most MaxMachinesPerProvision", first, got)
	}
	for _, m := range l.fleetList {
		m.session.Registered = true
	}
	if got := provisioned(); got < 50 || got > 100 {
		t.Errorf("%d machines provisioned after the earlier ones registered, want 50 to 100", got)
	}
	c.overload.Observe(c.now.Add(-time.Second), overload.OverloadThreshold+1)
	c.overload.Observe(c.now, 0)
	if got := provisioned(); got != 0 || c.limits.Total(limits.ServedMachines) == 0 {
		t.Errorf("%d machines provisioned while timers run late, want none and the limit counted", got)
	}
	c.cfg.CPUShare = 0.8
	if got := provisioned(); got != maxPlannedMachines {
		t.Errorf("%d machines provisioned with a sufficient CPU share, want maxPlannedMachines", got)
	}
}

// A process whose timers run late for several seconds provisions nothing, however many sockets
// it has.
func TestOverloadedProcessProvisionsNothing(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	start := c.now
	for i := range 20 {
		c.after(0, func() {})
		c.Tick(start.Add(time.Duration(i)*500*time.Millisecond + overload.OverloadThreshold + time.Millisecond))
	}
	if !c.overload.Persistent(c.now) || l.mayScaleOut() {
		t.Errorf("persistently overloaded: %t, want true, and no scale-out allowed", c.overload.Persistent(c.now))
	}
	c.now = c.now.Add(3 * time.Second) // without late timers
	if c.overload.Persistent(c.now) {
		t.Error("persistently overloaded 3 s after the last late timer")
	}
}

// The cost of searching the fleet grows linearly with its size, not quadratically, both for machines
// that replicas could move to and for capacity on machines that are booting.
func TestSearchCostIsLinearInFleetSize(t *testing.T) {
	const machines, perMachine, perBin = 2000, 20, 60
	l := singleReplicaFleet(machines)
	p := l.newPlanner()
	for _, m := range l.fleetList {
		m.replicasFitElsewhere(p, false)
	}
	if p.Examined > perMachine*machines {
		t.Errorf("%d machines examined for the replicas of %d machines, want at most 20 per machine", p.Examined, machines)
	}
	l = bootingFleet(machines)
	g := l.newScaleOutPlan()
	g.Limit = maxPlannedMachines
	for _, d := range l.autoscaler.unmetDemand {
		g.AddDemand(l.plannedDemand(d))
	}
	if g.BinsVisited > perBin*machines {
		t.Errorf("%d bins visited for a fleet of %d machines, want at most 60 per machine", g.BinsVisited, machines)
	}
}

// The adoption of a whole fleet is logged in a few lines.
func TestBurstsOfLogLinesAreSampled(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	var out bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&out, nil))
	for i := range 4000 {
		l.adoptMachine(fmt.Sprintf("vm-%06d", i), "small", "a", false, 0)
	}
	c.now = c.now.Add(2 * time.Second)
	c.sampler.Flush(c.log, c.now)
	if lines := strings.Count(out.String(), "\n"); lines > ratelog.LinesPerSecond+1 || !strings.Contains(out.String(), "count=3980") {
		t.Errorf("%d lines logged, want at most LinesPerSecond and one with the count of suppressed lines, 3980", lines)
	}
}
