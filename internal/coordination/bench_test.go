package coordination

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/ratelog"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// benchSizes are the fleet sizes of the benchmarks, in machines. The cost of an event must not grow
// faster than the fleet, and the cost of an event of one machine must not grow with the fleet.
var benchSizes = []int{250, 1000, 4000}

// runAtSizes runs a benchmark for each fleet size.
func runAtSizes(b *testing.B, run func(b *testing.B, machines int)) {
	for _, machines := range benchSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			b.ReportAllocs()
			run(b, machines)
		})
	}
}

// benchJobs is the number of jobs for a fleet, with about seventeen tasks per machine.
func benchJobs(machines int) int { return machines * 3 / 8 }

// largeLeader returns the leader of a fleet without tasks, with pending jobs.
func largeLeader(machines, jobs int) (*Controller, *leader) {
	c, l := newTestLeader(phaseActive)
	c.teams["red"] = &config.Team{Name: "red", GuaranteedCPUs: 14000, MaxCPUs: 1e6}
	c.teams["blue"] = &config.Team{Name: "blue", GuaranteedCPUs: 3000, MaxCPUs: 1e6}
	l.teamUsage["blue"] = &usage{}
	c.setMachineTypes([]protocol.MachineType{{Name: "small", CPUs: 16, MemoryGB: 128, CacheGB: 35, FetchGBPerSecond: 1, PricePerHour: 1, SpotPricePerHour: 0.5,
		BootTime: 10 * time.Second, Zones: []string{"a"}}})
	for i := range machines {
		m := l.newMachine(fmt.Sprintf("vm-%06d", i), "small", "a", false)
		m.session.Registered, m.recorded, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached, m.session.Incarnation, m.addr = true, true, c.now, c.now, c.now, 1, "x"
	}
	for i := range jobs {
		l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: benchJob(i)})
	}
	return c, l
}

// benchJob returns job i of a mix of jobs: batch jobs, services, and low-priority jobs that
// save checkpoints.
func benchJob(i int) *protocol.Job {
	j := &protocol.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: "red", Kind: protocol.Batch, Priority: protocol.Standard,
		Tasks: 50, CPUs: 1, MemoryGB: 6, Image: fmt.Sprintf("img-%d", i%20), ImageGB: 1.5, EstimatedRuntime: 40 * time.Second}
	switch i % 10 {
	case 0:
		j.Kind, j.Priority, j.Tasks, j.CPUs, j.EstimatedRuntime = protocol.Service, protocol.Critical, 12, 2, 0
	case 1:
		j.Team = "blue"
		j.Priority, j.CPUs, j.CheckpointInterval, j.CheckpointDuration = protocol.Low, 4, 20*time.Second, 5*time.Second
	}
	return j
}

// fillFleet places all tasks that fit, in as many rounds as the limit of unrecorded placements
// requires.
func fillFleet(l *leader) {
	for range 10 + len(l.fleetList)/25 {
		l.runPlacementRound()
		l.writer.unrecordedPlacements, l.writer.urgentBlocks = 0, nil
	}
	markAllRunning(l)
}

// markAllRunning marks all placed attempts as running.
func markAllRunning(l *leader) {
	for _, m := range l.fleetList {
		for _, a := range m.attempts {
			a.recorded, a.delivery.Reported, a.state, a.stateSince = true, true, protocol.Running, l.controller.now
		}
	}
}

func BenchmarkPlaceIntoEmptyFleet(b *testing.B) {
	runAtSizes(b, func(b *testing.B, machines int) {
		for b.Loop() {
			b.StopTimer()
			_, l := largeLeader(machines, benchJobs(machines))
			b.StartTimer()
			l.runPlacementRound()
		}
	})
}

// BenchmarkPlaceOneTaskJobs runs one placement round for a burst of jobs with one task each.
func BenchmarkPlaceOneTaskJobs(b *testing.B) {
	runAtSizes(b, func(b *testing.B, machines int) {
		for b.Loop() {
			b.StopTimer()
			_, l := largeLeader(machines, 0)
			for i := range machines {
				j := benchJob(2 + i%8)
				j.ID, j.Tasks = fmt.Sprintf("run-%06d", i), 1
				l.addJob(&records.Job{SubmittedAt: records.UnixMillis(l.controller.now), BlockSize: 96, Spec: j})
			}
			b.StartTimer()
			l.runPlacementRound()
		}
	})
}

func BenchmarkPlaceInFullFleet(b *testing.B) {
	runAtSizes(b, func(b *testing.B, machines int) {
		_, l := largeLeader(machines, benchJobs(machines))
		fillFleet(l)
		l.runPlacementRound() // stops all tasks that are to be preempted
		for b.Loop() {
			l.runPlacementRound()
		}
	})
}

func BenchmarkHeartbeat(b *testing.B) {
	runAtSizes(b, func(b *testing.B, machines int) {
		c, l := largeLeader(machines, benchJobs(machines))
		fillFleet(l)
		c.takeEffects()
		m := l.fleetList[0]
		r := &protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, FencingToken: l.epoch.BaseToken()}
		for _, a := range m.sortedAttempts() {
			r.Tasks = append(r.Tasks, protocol.TaskStatus{Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number, State: protocol.Running})
		}
		id := uint64(0)
		for b.Loop() {
			b.StopTimer()
			id++
			r.Sequence++
			body := protocol.EncodeHeartbeat(r)
			b.StartTimer()
			c.Request(c.now, id, "POST", protocol.PathHeartbeat, body)
		}
	})
}

// BenchmarkHeartbeatWithExits handles a heartbeat that reports 200 completed tasks of a job with
// thousands of tasks.
func BenchmarkHeartbeatWithExits(b *testing.B) {
	const exits = 200
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		c, l := largeLeader(1000, 0)
		spec := benchJob(2)
		spec.Tasks, spec.CPUs, spec.MemoryGB = 15000, 0.05, 0.05
		l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: spec})
		m, j := l.fleetList[0], l.jobsByAge[0]
		r := &protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: l.epoch.BaseToken()}
		for i := range exits {
			l.assign(j, i, m)
			a := j.task(i).live
			a.recorded, a.delivery.Reported = true, true
			l.setTaskState(a, protocol.Running)
			r.Tasks = append(r.Tasks, protocol.TaskStatus{Job: j.ID, TaskIndex: i, Attempt: 1, State: protocol.Exited, Reason: protocol.ExitDone})
		}
		body := protocol.EncodeHeartbeat(r)
		c.takeEffects()
		b.StartTimer()
		c.Request(c.now, 1, "POST", protocol.PathHeartbeat, body)
	}
}

// BenchmarkTimers runs one step of each of a leader's periodic functions in a full fleet.
func BenchmarkTimers(b *testing.B) {
	for _, step := range []struct {
		name string
		run  func(l *leader)
	}{
		{"watch", (*leader).detectFailures},
		{"scale-out", (*leader).scaleOut},
		{"scale-in", (*leader).scaleIn},
		{"consolidate", (*leader).consolidate},
		{"pending-reasons", func(l *leader) { l.pendingLog = ratelog.Throttle{}; l.logPendingReasons() }},
		{"publish", func(l *leader) { l.controller.broadcastStatus(); l.controller.effects = Effects{} }},
	} {
		b.Run(step.name, func(b *testing.B) {
			runAtSizes(b, func(b *testing.B, machines int) {
				_, l := largeLeader(machines, benchJobs(machines))
				fillFleet(l)
				l.controller.takeEffects()
				for b.Loop() {
					l.autoscaler.callBudget.TryTake(l.controller.now, l.autoscaler.callBudget.Available(l.controller.now)) // no calls to the cloud
					step.run(l)
				}
			})
		})
	}
}

// bootingFleet returns a leader whose whole fleet is booting, with twice as many pending tasks as
// the fleet has capacity for.
func bootingFleet(machines int) *leader {
	_, l := largeLeader(machines, 2*benchJobs(machines))
	for _, m := range l.fleetList {
		m.session.Registered = false
	}
	for i, j := range l.jobsByAge {
		j.OneZone, j.MemoryGB = i%4 == 0, 4+float64(i%50)/20
		l.autoscaler.unmetDemand = append(l.autoscaler.unmetDemand, demand{j, j.pendingTasks()})
	}
	return l
}

// BenchmarkScaleOutWhileBooting plans a scale-out while the whole fleet is booting, with twice as
// many pending tasks as the fleet has capacity for.
func BenchmarkScaleOutWhileBooting(b *testing.B) {
	runAtSizes(b, func(b *testing.B, machines int) {
		l := bootingFleet(machines)
		for b.Loop() {
			l.autoscaler.callBudget.TryTake(l.controller.now, l.autoscaler.callBudget.Available(l.controller.now))
			l.scaleOut()
		}
	})
}

// singleReplicaFleet returns a leader of a fleet where each machine runs one replica on 7 of its 16
// CPUs, and every second machine also a batch task on 3 CPUs. A replica's image is cached on one in
// twenty machines, which have the same load: either all have capacity for one more replica, or none.
func singleReplicaFleet(machines int) *leader {
	_, l := largeLeader(machines, 0)
	for i, m := range l.fleetList {
		j := benchJob(0)
		j.ID, j.Tasks, j.CPUs = fmt.Sprintf("run-%06d", i), 1, 7
		j.Image = fmt.Sprintf("img-%d", i%20)
		l.addJob(&records.Job{SubmittedAt: records.UnixMillis(l.controller.now), BlockSize: 96, Spec: j})
		l.assign(l.jobsByAge[i], 0, m)
		l.jobsByAge[i].firstUnstarted = 1
		m.Images.Add(l.jobsByAge[i].imageID, 1.5, 35)
		m.provisionedAt = l.controller.now.Add(-time.Hour)
		big := benchJob(2)
		big.ID, big.Tasks, big.CPUs = fmt.Sprintf("run-%06d", machines+i), 1, 3
		l.addJob(&records.Job{SubmittedAt: records.UnixMillis(l.controller.now), BlockSize: 96, Spec: big})
		if i%2 == 0 {
			l.assign(l.jobsByAge[len(l.jobsByAge)-1], 0, m)
			l.jobsByAge[len(l.jobsByAge)-1].firstUnstarted = 1
		}
	}
	markAllRunning(l)
	return l
}

// BenchmarkConsolidateSingleReplicas searches for machines to consolidate where each one runs a
// single replica.
func BenchmarkConsolidateSingleReplicas(b *testing.B) {
	runAtSizes(b, func(b *testing.B, machines int) {
		l := singleReplicaFleet(machines)
		for b.Loop() {
			l.autoscaler.consolidatedAt = time.Time{}
			l.scaleIn()
			l.consolidate()
			for _, m := range l.fleetList {
				m.Consolidating = false
			}
		}
	})
}

// BenchmarkLoad loads the records of a fleet with running tasks as a new leader, and reports the
// heap memory that the leader holds.
func BenchmarkLoad(b *testing.B) {
	runAtSizes(b, func(b *testing.B, machines int) {
		service := fleetRecords(machines)
		var l *leader
		for b.Loop() {
			b.StopTimer()
			l = nil
			c, _ := newTestLeader(phaseActive)
			b.StartTimer()
			if l = service.electLeader(c); l.phase != phaseReconciling {
				b.Fatal("records not loaded")
			}
		}
		b.StopTimer()
		b.ReportMetric(float64(heapHeldBy(&l))/(1<<20), "core-MB")
	})
}

// heapHeldBy returns the bytes of heap memory that are freed when a leader is dropped.
func heapHeldBy(l **leader) uint64 {
	inUse := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := inUse()
	*l = nil
	return before - min(before, inUse())
}

// fleetRecords returns the records of a fleet with sixteen running tasks per machine.
func fleetRecords(machines int) *fakeStateService {
	service := &fakeStateService{items: map[string]protocol.KeyValue{}}
	const perRecord, perMachine, perJob = 48, 16, 96
	name := func(i int) string { return fmt.Sprintf("vm-%06d", i) }
	for g := range (machines + perRecord - 1) / perRecord {
		group := records.MachineGroup{Type: "small", Zone: "a"}
		for i := g * perRecord; i < min(machines, (g+1)*perRecord); i++ {
			group.Machines = append(group.Machines, records.MachineEntry{Name: name(i), Addr: "10.1.0.1:9000"})
		}
		service.put(records.KeyMachineGroup(0, 1, uint64(g+1)), group)
	}
	for i := range machines * perMachine / perJob {
		job := benchJob(10*i + 2)
		job.Tasks = perJob
		service.put(records.KeyActive(job.ID), records.Job{BlockSize: perJob, Spec: job})
		block := records.TaskBlock{}
		for task := range perJob {
			block.Tasks = append(block.Tasks, records.TaskEntry{Offset: task, Attempt: 1, Machine: name((i*perJob + task) / perMachine)})
		}
		service.put(records.KeyTaskBlock(job.ID, 0), block)
	}
	return service
}

// BenchmarkSubmit handles a submission and the state service's response to its write.
func BenchmarkSubmit(b *testing.B) {
	c, _ := largeLeader(1000, 40)
	body := protocol.EncodeJob(benchJob(2))
	committed := protocol.EncodeRevision(7)
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		e := c.Request(c.now, id, "POST", protocol.PathJobs, body)
		for _, call := range e.Calls {
			c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: committed})
		}
	}
}

// BenchmarkStatusQueries handles forty status queries that are checked by one transaction.
func BenchmarkStatusQueries(b *testing.B) {
	c, _ := largeLeader(1000, 40)
	committed := protocol.EncodeRevision(7)
	for i := range 40 {
		c.admission.cacheAccepted(benchJob(i).ID)
	}
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range 40 {
			id++
			e := c.Request(c.now, id, "GET", fmt.Sprintf("%s/%s", protocol.PathJobs, benchJob(i).ID), nil)
			for _, call := range e.Calls {
				c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: committed})
			}
		}
		e := c.Tick(c.now.Add(2 * c.statusCheckInterval()))
		for _, call := range e.Calls {
			c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: committed})
		}
	}
}
