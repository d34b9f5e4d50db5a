package coordination

import (
	"fmt"
	"testing"
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// Unresponsive machines with replicas are released once there is capacity for the replicas elsewhere,
// or once the workers' leases have expired. Until then, replacements are provisioned. Without this,
// when a third of the machines was partitioned at once, their replicas, which were still serving,
// were terminated before new machines had booted.
func TestReleaseDeferredUntilReplicasFitElsewhere(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["red"].MaxCPUs = 100
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: &protocol.Job{ID: "run-000001", Class: "c",
		Team: "red", Kind: protocol.Service, Priority: protocol.Critical, Tasks: 20, CPUs: 2, MemoryGB: 1, Image: "a", ImageGB: 1}})
	add := func(i int) {
		m := l.newMachine(fmt.Sprintf("vm-%02d", i), "small", "a", false)
		m.session.Registered, m.recorded, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached, m.session.Incarnation, m.addr, m.session.EpochSeenAt = true, true, c.now, c.now, c.now, 1, "x", c.now
	}
	for i := range 10 {
		add(i)
	}
	l.runPlacementRound()
	c.takeEffects()
	cut := l.fleetList[:4:4]
	pass := func(d time.Duration) {
		for ; d > 0; d -= detectorInterval {
			c.now = c.now.Add(detectorInterval)
			for i, m := range l.fleetList {
				if i >= len(cut) {
					m.session.LastSeen, m.session.LastAnswered, m.session.LastReached = c.now, c.now, c.now
				}
			}
			l.detectFailures()
			l.controller.effects = Effects{}
		}
	}
	releasing := func() (count int) {
		for _, m := range cut {
			if m.lifecycle.releasing() {
				count++
			}
		}
		return count
	}
	pass(8 * time.Second) // several heartbeats, due every 2 s, are missing
	if got := releasing(); got != 0 || l.autoscaler.displacedReplicas[l.jobsByAge[0]] != 8 {
		t.Errorf("without capacity elsewhere %d of 4 machines released and %d replicas displaced, want 0 and 8", got, l.autoscaler.displacedReplicas[l.jobsByAge[0]])
	}
	l.scaleOut()
	if requested := l.autoscaler.requested[autoscaler.Offer{Spec: c.types["small"], Zone: "a"}.Key()]; requested != 4 {
		t.Errorf("%d machines requested for eight replicas of half a machine each, want 4", requested)
	}
	add(20)
	pass(detectorInterval)
	if got := releasing(); got != 1 {
		t.Errorf("with capacity for two replicas elsewhere %d machines released, want 1", got)
	}
	pass(c.cfg.WorkerLease)
	if got := releasing(); got != 4 {
		t.Errorf("after the worker leases expired %d of 4 machines released, want all", got)
	}
}
