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

// Tests of bounds that a fleet of thousands of machines reaches.

// newFollower is another controller that hears a leader.
func newFollower(c *Controller) *Controller {
	cfg := *c.cfg
	cfg.Name = "n1"
	cfg.Peers = append(cfg.Peers[:0:0], cfg.Peers...)
	cfg.Peers = append(cfg.Peers, config.Peer{Name: c.cfg.Name, Zone: c.cfg.Zone})
	f := New(&cfg, c.operator, slog.New(slog.DiscardHandler), 2, c.now)
	setElectionKeys(f, protocol.KeyValue{Key: records.KeyLeader, Value: records.Encode(records.Leader{Node: c.cfg.Name, Term: 1}), Version: 1})
	return f
}

// deliverBroadcasts hands a turn of a leader's lines to a follower, and reports the longest one.
func deliverBroadcasts(c, f *Controller) (longest int) {
	c.effects = Effects{}
	c.broadcastStatus()
	for _, p := range c.takeEffects().Broadcasts {
		longest = max(longest, len(p.Body))
		f.PeerMessage(c.now, p.Body)
	}
	return longest
}

// A follower knows how every job of a large fleet goes on after a few turns, and each line
// fits the stream. Only the first 1,200 jobs were told of, and users of the others saw them
// queued for ever.
func TestProgressOfAllJobsIsBroadcast(t *testing.T) {
	const jobs = 9000
	c, l := largeLeader(10, jobs)
	for _, j := range l.jobsByAge {
		j.runningTasks = 3
	}
	f := newFollower(c)
	for turn := range 3 {
		if longest := deliverBroadcasts(c, f); longest > peers.MaxMessage {
			t.Fatalf("turn %d: a line of %d bytes", turn, longest)
		}
	}
	for _, j := range l.jobsByAge {
		if s, _, running := f.knownProgress(j.ID); s != protocol.JobRunning || running != 3 {
			t.Fatalf("%s: %v, %d running", j.ID, s, running)
		}
	}
	// One that went back to nothing is told of once more.
	l.jobsByAge[0].runningTasks = 0
	for range 3 {
		deliverBroadcasts(c, f)
	}
	if _, _, running := f.knownProgress(l.jobsByAge[0].ID); running != 0 {
		t.Errorf("%d tasks run that were stopped", running)
	}
}

// Thousands of jobs that end within a second are told to peers within seconds, each at
// least once: 500 of them were told a second, and what came beyond 5,000 was dropped.
func TestManyOutcomesAreBroadcast(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.cfg.StateWriteRPS = 1000
	c.admission.maxPendingAnnouncements = c.maxUnannounced()
	const jobs = 12_000
	for i := range jobs {
		c.admission.publishOutcome(fmt.Sprintf("run-%06d", i), protocol.Done, 1)
	}
	f := newFollower(c)
	for range 5 {
		if longest := deliverBroadcasts(c, f); longest > peers.MaxMessage {
			t.Fatalf("a line of %d bytes", longest)
		}
	}
	if len(f.admission.outcomes) != jobs {
		t.Errorf("%d of %d final states are known", len(f.admission.outcomes), jobs)
	}
}

// machineListPage answers calls for the cloud's list with machines from 0 to count.
func machineListPage(call Call, count int) []byte {
	first := 0
	if _, after, found := strings.Cut(call.Target, "=vm-"); found {
		if _, err := fmt.Sscanf(after, "%d", &first); err != nil {
			panic(err)
		}
		first++
	}
	var list []protocol.ListedMachine
	for i := first; i < min(count, first+protocol.MaxListed); i++ {
		list = append(list, protocol.ListedMachine{Name: fmt.Sprintf("vm-%06d", i), Type: "small", Zone: "a", State: protocol.Up, Age: time.Hour})
	}
	return protocol.EncodeMachines(list, first+protocol.MaxListed < count)
}

// readMachineList lets a leader read a list of machines once, refusing one call in every refuse.
func readMachineList(c *Controller, l *leader, count, refuse int) (calls int) {
	c.effects = Effects{}
	l.readInventory()
	for range 10_000 {
		e := c.takeEffects()
		for _, call := range e.Calls {
			if call.To != Cloud || !strings.HasPrefix(call.Target, protocol.PathMachines+"?") {
				continue
			}
			calls++
			o := Outcome{Answered: true, Status: 200, Body: machineListPage(call, count)}
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

// A list of 25,000 machines is read to its end, also when a page is refused, and machines
// on its last page stay. Reading ended after 20,000, the others were taken for gone, and
// one refused page cost all before it.
func TestLongListsAreReadToTheEnd(t *testing.T) {
	const count = 25_000
	c, l := newTestLeader(phaseActive)
	last := l.newMachine(fmt.Sprintf("vm-%06d", count-1), "small", "a", false)
	last.recorded, last.provisionedAt = true, c.now.Add(-time.Hour)
	l.autoscaler.callBudget = ratelimit.NewTokenBucket(1000, 1000, c.now)
	if calls := readMachineList(c, l, count, 7); !l.autoscaler.inventoryComplete || calls < count/protocol.MaxListed {
		t.Fatalf("not read in %d calls", calls)
	}
	if len(l.machines) != count || !last.lifecycle.unlistedSince.IsZero() {
		t.Errorf("%d machines are known, the last one is missing: %t", len(l.machines), !last.lifecycle.unlistedSince.IsZero())
	}
}

// Lists of a large fleet leave most of the cloud's calls for renting and returning. Read
// every six seconds, those of 4,000 machines took two thirds of two calls a second.
func TestInventoryReadsLeaveCallBudget(t *testing.T) {
	_, l := largeLeader(4000, 0)
	l.controller.cfg.CloudRPS, l.controller.cfg.ListLag = 2, 12*time.Second
	pages := float64(1 + 4000/protocol.MaxListed)
	if share := pages / l.inventoryInterval().Seconds() / l.controller.cfg.CloudRPS; share > 0.26 {
		t.Errorf("lists take %.2f of the calls", share)
	}
	_, small := largeLeader(250, 0)
	small.controller.cfg.CloudRPS, small.controller.cfg.ListLag = 2, 12*time.Second
	if i := small.inventoryInterval(); i != 6*time.Second {
		t.Errorf("a small fleet's list is read every %s", i)
	}
}

// A list that repeats its pages isn't read without end.
func TestEndlessListIsAbandoned(t *testing.T) {
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
		t.Errorf("%d calls, taken for read: %t", calls, l.autoscaler.inventoryComplete)
	}
}

// newCrowdedMachine is a machine that runs very many small tasks.
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

// Messages to a worker hold what fits 64 KiB, and what doesn't goes out with the next.
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
				t.Fatalf("a message of %d bytes", len(call.Body))
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
		t.Errorf("%d of %d tasks were stopped", len(stopped), tasks)
	}
	// The same by the answer of a report.
	m.session.Sequence++
	r := &protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: m.session.Sequence, FencingToken: l.epoch.BaseToken(), Tasks: runningTaskStatuses(m)}
	e := c.Request(c.now, 99, "POST", protocol.PathHeartbeat, protocol.EncodeHeartbeat(r))
	if len(e.Replies) != 1 || len(e.Replies[0].Body) > protocol.MaxBody {
		t.Fatalf("answers: %d", len(e.Replies))
	}
	if _, _, orders, err := protocol.ParseOrders(e.Replies[0].Body); err != nil || len(orders) < 300 {
		t.Errorf("%d orders, %v", len(orders), err)
	}
	if c.limits.Total(limits.OrdersPerMessage) == 0 {
		t.Error("nothing was counted")
	}
}

// runningTaskStatuses are the tasks on a machine as its worker reports them.
func runningTaskStatuses(m *machine) []protocol.TaskStatus {
	var list []protocol.TaskStatus
	for _, a := range m.sortedAttempts() {
		list = append(list, protocol.TaskStatus{Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number, State: protocol.Running})
	}
	return list
}

// A machine gets no more tasks than its worker's report can name: a request of more than
// 64 KiB is refused, and the worker would lose all of them with its lease.
func TestTasksFitHeartbeats(t *testing.T) {
	c, l := largeLeader(1, 0)
	spec := benchJob(2)
	spec.Tasks, spec.CPUs, spec.MemoryGB = 5000, 0.001, 0.001
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: spec})
	fillFleet(l)
	m := l.fleetList[0]
	r := &protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: runningTaskStatuses(m)}
	if size := len(protocol.EncodeHeartbeat(r)); len(r.Tasks) < 300 || size > protocol.MaxBody {
		t.Errorf("%d tasks in a report of %d bytes", len(r.Tasks), size)
	}
}

// What may wait follows the state service and the sockets: 400 requests were fewer than the
// polls of a large fleet's users within a second.
func TestOpenRequestsFollowSettings(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.cfg.StateRPS, c.cfg.TxnOps, c.cfg.Sockets = 2000, 16, 15_000
	for i := range 2000 {
		c.Request(c.now, uint64(i+1), "GET", fmt.Sprintf("%s/run-%06d", protocol.PathJobs, i), nil)
	}
	if c.limits.Total(limits.OpenRequests) != 0 || c.admission.openRequests != 2000 {
		t.Errorf("%d wait, %d were refused", c.admission.openRequests, c.limits.Total(limits.OpenRequests))
	}
	c.cfg.StateRPS, c.cfg.Sockets = 120, 900
	if most := c.maxOpenRequests(); most < minOpenRequests || most > 450 {
		t.Errorf("a small controller lets %d wait", most)
	}
}

// A check of polls fits a transaction's 64 KiB however many changes one takes.
func TestStatusChecksFitTransactions(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.cfg.StateRPS, c.cfg.TxnOps, c.cfg.Sockets = 2000, 4096, 15_000
	for i := range 5000 {
		c.admission.pendingQueries = append(c.admission.pendingQueries, statusQuery{uint64(i), fmt.Sprintf("run-%018d", i)})
	}
	c.checkStatuses()
	for _, call := range c.takeEffects().Calls {
		if len(call.Body) > protocol.MaxBody {
			t.Errorf("%s %s: %d bytes", call.Method, call.Target, len(call.Body))
		}
	}
}

// Thousands of reports that are held are all answered, in the time that they are held for.
func TestManyDeferredHeartbeats(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.leader = nil
	c.cfg.Sockets = 12_000
	const reports = 6000
	for i := range reports {
		c.now = c.now.Add(100 * time.Microsecond)
		c.deferHeartbeat(uint64(i+1), nil)
	}
	if e := c.deferOneHeartbeat(reports + 1); len(e) != 1 || c.limits.Total(limits.DeferredHeartbeats) != 1 {
		t.Errorf("one beyond the bound: %d answers", len(e))
	}
	answered := 0
	for end := c.now.Add(maxHeartbeatDeferral); !c.now.After(end); c.now = c.now.Add(20 * time.Millisecond) {
		answered += len(c.Tick(c.now).Replies)
	}
	if answered != reports {
		t.Errorf("%d of %d were answered", answered, reports)
	}
}

// deferOneHeartbeat holds a report and gives what is answered at once.
func (c *Controller) deferOneHeartbeat(id uint64) []Reply {
	c.effects = Effects{}
	c.deferHeartbeat(id, nil)
	return c.takeEffects().Replies
}

// A leader renews its lease between the records of a large fleet: taken in one step, they
// kept a small share of a processor from it for longer than the lease.
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
		t.Errorf("%d records in %d steps, phase %d", len(blocks), steps, l.phase)
	}
}

// A fleet that outgrows its controller's share grows step by step, each one after the one
// before is up, and not while timers are late. Thousands of machines were rented at once
// before the first of them had shown what it costs to serve it.
func TestScaleOutBeyondCPUShareIsGradual(t *testing.T) {
	c, l := largeLeader(600, 4000)
	c.cfg.CPUShare = 0.025
	for _, j := range l.jobsByAge {
		l.autoscaler.unmetDemand = append(l.autoscaler.unmetDemand, demand{j, j.pendingTasks()})
	}
	rented := func() (count int) {
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
	first := rented()
	boot(first, false)
	if got := rented(); first == 0 || first > 100 || got > protocol.MaxProvision {
		t.Errorf("%d rented, and %d more before they were up", first, got)
	}
	for _, m := range l.fleetList {
		m.session.Registered = true
	}
	if got := rented(); got < 50 || got > 100 {
		t.Errorf("%d rented once they were up", got)
	}
	c.overload.Observe(c.now.Add(-time.Second), overload.OverloadThreshold+1)
	c.overload.Observe(c.now, 0)
	if got := rented(); got != 0 || c.limits.Total(limits.ServedMachines) == 0 {
		t.Errorf("%d rented while timers are late", got)
	}
	c.cfg.CPUShare = 0.8
	if got := rented(); got != maxPlannedMachines {
		t.Errorf("%d rented within the share", got)
	}
}

// A process that is late for seconds on end rents nothing, whatever its sockets.
func TestOverloadedProcessProvisionsNothing(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	start := c.now
	for i := range 20 {
		c.after(0, func() {})
		c.Tick(start.Add(time.Duration(i)*500*time.Millisecond + overload.OverloadThreshold + time.Millisecond))
	}
	if !c.overload.Persistent(c.now) || l.mayScaleOut() {
		t.Errorf("persistent overload: %t", c.overload.Persistent(c.now))
	}
	c.now = c.now.Add(3 * time.Second) // in which it kept up
	if c.overload.Persistent(c.now) {
		t.Error("persistently overloaded after it kept up")
	}
}

// What a look at the fleet costs grows with the fleet, not with its square: the search for
// where replicas could move to, and for room in machines that boot.
func TestSearchCostIsLinearInFleetSize(t *testing.T) {
	const machines, perMachine, perBin = 2000, 20, 60
	l := singleReplicaFleet(machines)
	p := l.newPlanner()
	for _, m := range l.fleetList {
		m.replicasFitElsewhere(p, false)
	}
	if p.Examined > perMachine*machines {
		t.Errorf("%d machines were looked at for the replicas of %d", p.Examined, machines)
	}
	l = bootingFleet(machines)
	g := l.newScaleOutPlan()
	g.Limit = maxPlannedMachines
	for _, d := range l.autoscaler.unmetDemand {
		g.AddDemand(l.plannedDemand(d))
	}
	if g.BinsVisited > perBin*machines {
		t.Errorf("%d bins were looked at in a fleet of %d", g.BinsVisited, machines)
	}
}

// The adoption of a fleet is told of in a few lines.
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
		t.Errorf("%d lines", lines)
	}
}
