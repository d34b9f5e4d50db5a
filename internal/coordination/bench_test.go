package coordination

import (
	"fmt"
	"testing"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/config"
	"brasskeel/internal/protocol"
)

// Sizes of the benchmarks: a fleet of 1,600 machines with tens of thousands of
// tasks. What an event costs must not grow with them more than it has to.
const (
	benchMachines = 1600
	benchJobs     = 600
)

// largeLead is a leader of a large, empty fleet with many waiting jobs.
func largeLead(jobs int) (*Node, *lead) {
	n, l := leading(active)
	n.teams["red"] = &config.Team{Name: "red", CPUs: 14000, CPUsMax: 1e6}
	n.teams["blue"] = &config.Team{Name: "blue", CPUs: 3000, CPUsMax: 1e6}
	l.teams["blue"] = &usage{}
	n.setTypes([]protocol.MachineType{{Name: "small", CPUs: 16, MemGB: 128, CacheGB: 35, FetchRate: 1, Price: 1, SpotPrice: 0.5,
		Boot: 10 * time.Second, Zones: []string{"a"}}})
	for i := range benchMachines {
		m := l.newMachine(fmt.Sprintf("vm-%06d", i), "small", "a", false)
		m.up, m.recorded, m.heard, m.answered, m.reached, m.session, m.addr = true, true, n.now, n.now, n.now, 1, "x"
	}
	for i := range jobs {
		l.addJob(&bookkeeping.Job{Submitted: bookkeeping.Millis(n.now), Chunk: 96, Spec: benchJob(i)})
	}
	return n, l
}

func benchJob(i int) *protocol.Job {
	j := &protocol.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: "red", Kind: protocol.Batch, Priority: protocol.Standard,
		Tasks: 50, CPUs: 1, MemGB: 6, Image: fmt.Sprintf("img-%d", i%20), ImageGB: 1.5, Estimate: 40 * time.Second}
	switch i % 10 {
	case 0:
		j.Kind, j.Priority, j.Tasks, j.CPUs, j.Estimate = protocol.Service, protocol.Critical, 12, 2, 0
	case 1:
		j.Team = "blue"
		j.Priority, j.CPUs, j.Checkpoint, j.Save = protocol.Low, 4, 20*time.Second, 5*time.Second
	}
	return j
}

// fill places what has room, as often as records allow.
func fill(l *lead) {
	for range 60 {
		l.place()
		l.journal.unsaved, l.journal.urgent = 0, nil
	}
	for _, m := range l.fleetList {
		for _, a := range m.attempts {
			a.recorded, a.seen, a.state, a.since = true, true, protocol.Running, l.n.now
		}
	}
}

func BenchmarkPlaceIntoEmptyFleet(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		_, l := largeLead(benchJobs)
		b.StartTimer()
		l.place()
	}
}

func BenchmarkPlaceInFullFleet(b *testing.B) {
	_, l := largeLead(benchJobs)
	fill(l)
	l.place() // what gives way has been stopped by then
	b.ReportAllocs()
	for b.Loop() {
		l.place()
	}
}

func BenchmarkReport(b *testing.B) {
	n, l := largeLead(benchJobs)
	fill(l)
	n.take()
	m := l.fleetList[0]
	r := &protocol.Report{Machine: m.name, Addr: "x", Type: "small", Zone: "a", Session: 1, Token: l.tenure.token()}
	for _, a := range m.sorted() {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Job: a.job.ID, Index: a.task, Attempt: a.number, State: protocol.Running})
	}
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		id++
		r.Seq++
		body := protocol.EncodeReport(r)
		b.StartTimer()
		n.Request(n.now, id, "POST", protocol.PathReport, body)
	}
}

// BenchmarkReportOfExits takes a report of 200 small tasks that are done, whose array has
// thousands more.
func BenchmarkReportOfExits(b *testing.B) {
	const exits = 200
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		n, l := largeLead(0)
		spec := benchJob(2)
		spec.Tasks, spec.CPUs, spec.MemGB = 15000, 0.05, 0.05
		l.addJob(&bookkeeping.Job{Submitted: bookkeeping.Millis(n.now), Chunk: 96, Spec: spec})
		m, j := l.fleetList[0], l.order[0]
		r := &protocol.Report{Machine: m.name, Addr: "x", Type: "small", Zone: "a", Session: 1, Seq: 1, Token: l.tenure.token()}
		for i := range exits {
			l.assign(j, i, m)
			a := j.task(i).live
			a.recorded, a.seen = true, true
			l.setState(a, protocol.Running)
			r.Tasks = append(r.Tasks, protocol.TaskReport{Job: j.ID, Index: i, Attempt: 1, State: protocol.Exited, Why: protocol.ExitDone})
		}
		body := protocol.EncodeReport(r)
		n.take()
		b.StartTimer()
		n.Request(n.now, 1, "POST", protocol.PathReport, body)
	}
}

func BenchmarkFleetStep(b *testing.B) {
	_, l := largeLead(benchJobs)
	fill(l)
	b.ReportAllocs()
	for b.Loop() {
		l.watchMachines()
		l.grow()
		l.shrink()
		l.consolidate()
	}
}

// BenchmarkSubmit takes a submission in and the answer of the state service.
func BenchmarkSubmit(b *testing.B) {
	n, _ := largeLead(benchJobs)
	body := protocol.EncodeJob(benchJob(2))
	committed := protocol.EncodeRevision(7)
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		e := n.Request(n.now, id, "POST", protocol.PathJobs, body)
		for _, c := range e.Calls {
			n.Result(n.now, c.ID, Outcome{Answered: true, Status: 200, Body: committed})
		}
	}
}

// BenchmarkPolls takes forty polls in, which one transaction checks.
func BenchmarkPolls(b *testing.B) {
	n, _ := largeLead(benchJobs)
	committed := protocol.EncodeRevision(7)
	for i := range 40 {
		n.admission.setKnown(benchJob(i).ID)
	}
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range 40 {
			id++
			e := n.Request(n.now, id, "GET", fmt.Sprintf("%s/%s", protocol.PathJobs, benchJob(i).ID), nil)
			for _, c := range e.Calls {
				n.Result(n.now, c.ID, Outcome{Answered: true, Status: 200, Body: committed})
			}
		}
		e := n.Tick(n.now.Add(2 * n.checkPause()))
		for _, c := range e.Calls {
			n.Result(n.now, c.ID, Outcome{Answered: true, Status: 200, Body: committed})
		}
	}
}
