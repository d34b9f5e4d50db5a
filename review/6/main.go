// Command 6 is the test of case 6: a job that failed on a sick machine is never tried there again after
// the machine has recovered, although it is the only machine, keeps a service running and has room.
package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"brasskeel/review/harness"
)

const (
	left   = 90 * time.Second // no job may be left waiting for longer while a machine has room
	margin = time.Second
)

// starts counts the starts of tasks.
type starts struct {
	mu    sync.Mutex
	count int
}

func main() { harness.Run(harness.ZhuzymLogs(), play) }

func play(c *harness.Cluster, trouble bool) error {
	var s starts
	c.TaskStarted = func(*harness.Worker, *harness.Task, string) { s.add() }
	c.Cloud.Capacity = 1
	if !harness.Await(20*time.Second, func() bool { return c.Leader() != nil }) {
		return errors.New("no leader")
	}
	time.Sleep(3 * time.Second) // the leader knows the machine types
	m := c.Cloud.AddRunning("saryagash-16", "almaty-east", false)
	service := harness.Job{ID: "run-000002", Class: "vine-ledger", Team: "ledger-crew", Rig: "daemon", Precedence: "critical", Tasks: 1, CPUs: 2, MemGB: 13,
		Image: "img-02", PullGB: 0.5}
	if err := c.Submit(service, c.Controllers...); err != nil {
		return err
	}
	if !harness.Await(15*time.Second, func() bool { return s.get() == 1 }) {
		return errors.New("the service doesn't run")
	}
	if trouble {
		m.Worker.SetSick(true)
	}
	job := harness.Job{ID: "run-000001", Class: "plot-sort", Team: "plot-analytics", Rig: "batch", Precedence: "standard", Tasks: 4, CPUs: 1, MemGB: 5.7,
		Image: "img-01", PullGB: 0.5, Runs: 20 * time.Second, Spot: true}
	if err := c.Submit(job, c.Controllers...); err != nil {
		return err
	}
	if !harness.Await(10*time.Second, func() bool { return s.get() == 1+job.Tasks }) {
		return errors.New("the tasks don't start")
	}
	if !trouble {
		return nil
	}
	time.Sleep(2 * time.Second)
	m.Worker.SetSick(false)
	before := s.get()
	for end := time.Now().Add(left + margin); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.get() > before {
			return nil
		}
		if cpus, memGB := m.Worker.Room(); cpus < job.CPUs || memGB < job.MemGB {
			return errors.New("the machine has no room")
		}
	}
	return fmt.Errorf("%w: no task of %s was started for %v after the machine had recovered, although it has room", harness.ErrBroken, job.ID, left+margin)
}

func (s *starts) add() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
}

func (s *starts) get() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}
