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

// machine is one rented machine and what is known of it.
type machine struct {
	placement.Machine
	load          *balance.Load // nil while balance is off
	addr          string        // that its worker is called at; empty: unknown
	provisionedAt time.Time
	inherited     bool          // known from an earlier leader's record
	recorded      bool          // a record that names it is written: placements may name it
	group         *machineGroup // whose record that is
	removed       bool          // proven gone, or not served here any more

	session   sessions.Session
	orders    orderQueue
	lifecycle lifecycle

	attempts           map[taskKey]*attempt
	attemptList        []*attempt // the same, in no order
	replicaCount       int
	onDemandCPUs       float64                        // CPUs taken by work that may not use spot machines
	cpusByPriority     [protocol.Critical + 1]float64 // CPUs taken, by priority
	stopRequestedCount int                            // attempts that are to stop
	emptySince         time.Time

	// Of a machine in a shard.
	shard              shard.ID                  // 0: none
	registeredBefore   bool                      // its worker was heard by somebody before
	attemptsKnown      bool                      // the leader told of all attempts that may be on it
	incarnationReset   bool                      // its worker counts its incarnations from the beginning again
	incomingMigrations int                       // moves whose room is held here
	newerTokenSeen     bool                      // its worker has seen a later token than its shard's
	reportedExits      map[taskKey]*reportedExit // that the leader was told of
	orphans            map[taskKey]uint64        // attempts it was asked about
	orphanStops        map[taskKey]uint64        // and those that are to end

	failuresByJob map[string]int // failed attempts by job since the last success
	quarantined   bool
}

// orderQueue is what keeps a worker's orders from being sent to it at once.
type orderQueue struct {
	due            bool // to be sent at the end of the step
	inFlight       bool // a call with orders awaits its response
	startsDeferred bool // starts wait until the knowledge of jobs is fresh
	pausedUntil    time.Time
}

// newMachine adds a machine that the leader has learned of.
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

// adoptMachine takes in a machine that no record tells of: rented by a request whose
// answer was lost, or by one that was carried out late.
func (l *leader) adoptMachine(name, typ, zone string, spot bool, age time.Duration) *machine {
	m := l.newMachine(name, typ, zone, spot)
	m.provisionedAt = l.controller.now.Add(-age)
	if l.phase != phaseLoading { // else its record may be read yet
		l.controller.logSampled("unrecorded machine adopted", "machine", name, "type", typ, "zone", zone, "spot", spot)
		l.writer.recordMachine(m)
	}
	return m
}

// handleHeartbeat answers a worker.
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
		// Never 200 here: it would hold the worker while its lease runs out.
		c.reply(id, 421, protocol.EncodeRedirect(c.election.OtherLeader()))
		return
	}
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		c.reply(id, 400, protocol.EncodeError("not a worker's report"))
		return
	}
	if sessions.TermOf(r.FencingToken) > l.term {
		// A later leader has already spoken to this worker.
		c.election.StepDown("a worker has seen a later term")
		c.reply(id, 421, protocol.EncodeRedirect(""))
		return
	}
	if m := l.machineForHeartbeat(id, r); m != nil {
		l.answerHeartbeat(m, id, r)
	}
}

// machineForHeartbeat is the machine of a worker that sent a heartbeat, adopted if no record tells of
// it. One that was proven gone is answered so, and nil: names are not used again, and a copy
// that comes late, however much, brings no machine back.
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

func compareAttempts(a, b *attempt) int {
	if a.job != b.job {
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	}
	return a.taskIndex - b.taskIndex
}

// sortedAttempts gives the machine's attempts in a fixed order.
func (m *machine) sortedAttempts() []*attempt {
	list := slices.Clone(m.attemptList)
	slices.SortFunc(list, compareAttempts)
	return list
}

// machineTerminated ends a machine on proof: all that was on it is gone.
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
