package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// machine is a provisioned machine with its lifecycle, its worker's session and the attempts
// assigned to it.
type machine struct {
	placement.Machine
	load          *balance.Load // nil while load balancing is off
	addr          string        // address of its worker; empty if unknown
	provisionedAt time.Time
	inherited     bool          // loaded from an earlier leader's record
	recorded      bool          // a committed record names it, so placements may refer to it
	group         *machineGroup // the group whose record names it
	removed       bool          // terminated, or no longer served by this controller

	session   sessions.Session
	orders    orderQueue
	lifecycle lifecycle

	attempts           map[taskKey]*attempt
	attemptList        []*attempt                     // the same attempts, unordered
	replicaCount       int                            // attempts of services
	onDemandCPUs       float64                        // CPUs allocated to jobs that may not use spot machines
	cpusByPriority     [protocol.Critical + 1]float64 // CPUs allocated, by priority
	stopRequestedCount int                            // attempts whose stop was requested
	emptySince         time.Time                      // when its last attempt was removed, or when it was added to the fleet

	// Used with sharding only, except for incomingMigrations.
	shard              shard.ID                  // 0 if the machine is in no shard
	registeredBefore   bool                      // its worker registered earlier, according to the leader
	attemptsKnown      bool                      // the leader has listed all attempts that may be on it
	incarnationReset   bool                      // its worker restarted its incarnation numbers
	incomingMigrations int                       // migrations to this machine with capacity reserved here
	newerTokenSeen     bool                      // its worker has seen a later token than this owner's
	reportedExits      map[taskKey]*reportedExit // exits reported to the leader
	orphans            map[taskKey]uint64        // attempts unknown here that were reported to the leader
	orphanStops        map[taskKey]uint64        // attempts among the orphans that the leader requested to stop

	failuresByJob map[string]int // failed attempts by job since a task last completed on the machine
	quarantined   bool           // considered the cause of its tasks' failures, and drained
}

// orderQueue tracks when orders for a worker may be sent by a call.
type orderQueue struct {
	due            bool      // to be sent at the end of the current step
	inFlight       bool      // a call with orders awaits its response
	startsDeferred bool      // starts wait for a recent read of the job records
	pausedUntil    time.Time // no call is made before this time: one got no valid response
}

// newMachine adds a machine to the fleet.
func (l *leader) newMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{Machine: placement.Machine{Name: name, Type: typ, Zone: zone, Spot: spot, Spec: l.controller.types[typ]}, provisionedAt: l.controller.now,
		attempts: map[taskKey]*attempt{}, emptySince: l.controller.now, failuresByJob: map[string]int{}}
	m.load = l.rebalancer.newLoad()
	if l.shards == nil {
		m.session.Epoch = &l.epoch
	}
	l.machines[name] = m
	l.fleetList = append(l.fleetList, m)
	return m
}

// adoptMachine adds a machine that this leader doesn't know: either its record isn't loaded yet, or
// it has none, because the response to the request that provisioned it was lost or the cloud carried
// the request out late.
func (l *leader) adoptMachine(name, typ, zone string, spot bool, age time.Duration) *machine {
	m := l.newMachine(name, typ, zone, spot)
	m.provisionedAt = l.controller.now.Add(-age)
	if l.phase != phaseLoading { // while loading, its record may still be read; startReconciling records the others
		l.controller.logSampled("unrecorded machine adopted", "machine", name, "type", typ, "zone", zone, "spot", spot)
		l.writer.recordMachine(m)
	}
	return m
}

// handleHeartbeat responds to a worker's heartbeat.
func (c *Controller) handleHeartbeat(id uint64, body []byte) {
	if c.sharding != nil {
		c.sharding.handleHeartbeat(id, body)
		return
	}
	l := c.leader
	if (l == nil && c.leaderSuspect() || l != nil && l.jobsKnownAt.IsZero()) && !c.store.Unavailable() {
		c.deferHeartbeat(id, body)
		return
	}
	if l == nil || !l.holdsLease() {
		// A status of 200 would make the worker stay with this controller until its lease expires.
		c.reply(id, 421, protocol.EncodeRedirect(c.election.OtherLeader()))
		return
	}
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		c.reply(id, 400, protocol.EncodeError("not a worker's report"))
		return
	}
	if sessions.TermOf(r.FencingToken) > l.term {
		// The worker has already been in contact with a later leader.
		c.election.StepDown("a worker has seen a later term")
		c.reply(id, 421, protocol.EncodeRedirect(""))
		return
	}
	if m := l.machineForHeartbeat(id, r); m != nil {
		l.answerHeartbeat(m, id, r)
	}
}

// machineForHeartbeat returns the machine of the worker that sent a heartbeat, and adopts the
// machine if this leader doesn't know it. For a terminated machine it replies with an error and
// returns nil: machine names are never reused, so a delayed duplicate of a heartbeat must not add the
// machine again.
func (l *leader) machineForHeartbeat(id uint64, r *protocol.Heartbeat) *machine {
	if m := l.machines[r.Machine]; m != nil {
		return m
	}
	if _, ok := l.terminatedAt[r.Machine]; ok {
		l.controller.reply(id, 503, protocol.EncodeError("the machine was returned"))
		return nil
	}
	return l.adoptMachine(r.Machine, r.Type, r.Zone, r.Spot, 0)
}

// compareAttempts orders attempts by job ID, then by task index.
func compareAttempts(a, b *attempt) int {
	if a.job != b.job {
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	}
	return a.taskIndex - b.taskIndex
}

// sortedAttempts returns the machine's attempts ordered by job ID and task index.
func (m *machine) sortedAttempts() []*attempt {
	list := slices.Clone(m.attemptList)
	slices.SortFunc(list, compareAttempts)
	return list
}

// machineTerminated removes a machine that is proven to be terminated, and with it all of its
// attempts.
func (l *leader) machineTerminated(m *machine, reason string) {
	if m.removed {
		return
	}
	m.removed = true
	l.controller.logSampled("machine terminated", "machine", m.Name, "reason", reason, "attempts", len(m.attempts))
	l.terminatedAt[m.Name] = l.controller.now
	delete(l.machines, m.Name)
	if i := slices.Index(l.fleetList, m); i >= 0 {
		l.fleetList = slices.Delete(l.fleetList, i, i+1)
	}
	for _, a := range m.sortedAttempts() {
		l.detach(a, "machine terminated")
	}
	if l.shards != nil {
		l.shards.machineTerminated(m)
	}
	l.writer.removeMachineFromRecord(m)
}
