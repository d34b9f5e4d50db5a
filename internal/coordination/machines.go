package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// machine is one rented machine and what is known of it.
type machine struct {
	placement.Machine
	load          *balance.Load // nil while balance is off
	addr          string
	provisionedAt time.Time
	inherited     bool   // known from an earlier leader's record
	recorded      bool   // a record that names it is written: placements may name it
	group         *group // whose record that is
	removed       bool
	epoch         *ownershipEpoch // of who serves it here

	// From reports.
	registered       bool // it has reported to this leader
	incarnation      uint64
	sequence         uint64
	seenToken        uint64    // highest it has seen
	reconciled       bool      // its tasks were compared with the records
	epochSeenAt      time.Time // when it was first heard with a token of this term
	lastSeen         time.Time // last sign of life
	lastAnswered     time.Time // last time a report of it was answered
	incarnationSince time.Time // when its session was first heard of; it began no later
	heartbeatSeq     uint64    // highest of a report of this session, responses aside
	// Reports may arrive while answers and commands don't reach the worker, and a
	// report may be a late copy. Neither is a sign that the machine is of use to us:
	// that takes a response to a call, or a report with a token we raised.
	lastReached    time.Time // last proof that something of ours arrived; zero: none yet
	registeredAt   time.Time
	tokenSentSince time.Time // since when answers carry the machine's present token
	tokenConfirmed bool      // a report has shown it
	preemptionAt   time.Time // when the cloud takes it; zero without notice

	attempts       map[taskKey]*attempt
	attemptList    []*attempt // the same, in no order
	replicaCount   int
	onDemandCPUs   float64                        // CPUs taken by work that may not use spot machines
	cpusByPriority [protocol.Critical + 1]float64 // CPUs taken, by priority
	stopCount      int                            // attempts that were told to end
	emptySince     time.Time

	fencingOffset     uint16 // raises the token for this worker alone
	directStartToken  uint64 // of the last direct start: late copies of it die above it
	ordersInFlight    bool
	ordersDue         bool
	startsDeferred    bool // starts wait until the leader's knowledge is fresh
	ordersPausedUntil time.Time
	probeInFlight     bool
	failedProbes      int // probes in a row without an answer

	// Of a machine in a shard.
	shard            shard.ID                  // 0: none
	registeredBefore bool                      // its worker was heard by somebody before
	attemptsKnown    bool                      // the leader told of all attempts that may be on it
	incarnationReset bool                      // its worker lost its memory
	reservedMoves    int                       // moves whose room is held here
	newerTokenSeen   bool                      // its worker has seen a later token than its shard's
	exits            map[taskKey]*reportedExit // that the leader was told of
	orphans          map[taskKey]uint64        // attempts it was asked about
	orphanStops      map[taskKey]uint64        // and those that are to end

	failuresByJob    map[string]int // failed attempts by job since the last success
	quarantined      bool
	draining         bool // to be returned: takes nothing more
	releasing        bool // its release was asked for
	releaseRevocable bool // for its silence alone, and no such call can have been carried out
	releaseInFlight  bool // the call is under way
	releaseSentAt    time.Time
	unlistedSince    time.Time // since when lists that should show it don't
}

func (l *leader) newMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{Machine: placement.Machine{Name: name, Type: typ, Zone: zone, Spot: spot, Spec: l.controller.types[typ]}, provisionedAt: l.controller.now,
		attempts: map[taskKey]*attempt{}, emptySince: l.controller.now, failuresByJob: map[string]int{}}
	m.load = l.rebalancer.newLoad()
	if l.shards == nil {
		m.epoch = &l.epoch
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
		l.controller.logSampled("unexpected machine adopted", "machine", name, "type", typ, "zone", zone, "spot", spot)
		l.journal.putMachine(m)
	}
	return m
}

// heartbeat answers a worker.
func (c *Controller) heartbeat(id uint64, body []byte) {
	if c.sharding != nil {
		c.sharding.heartbeat(id, body)
		return
	}
	l := c.leader
	if (l == nil && c.leaderSuspect() || l != nil && l.jobsKnownAt.IsZero()) && !c.storeDown() {
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
	if r.FencingToken>>fencingBits > l.term {
		// A later leader has already spoken to this worker.
		c.election.StepDown("a worker has seen a later term")
		c.reply(id, 421, protocol.EncodeRedirect(""))
		return
	}
	if _, ok := l.terminated[r.Machine]; ok && l.machines[r.Machine] == nil {
		// Proven gone, and names are not used again: a copy that comes late,
		// however much, brings no machine back.
		c.reply(id, 503, protocol.EncodeError("the machine was returned"))
		return
	}
	m := l.machines[r.Machine]
	if m == nil {
		m = l.adoptMachine(r.Machine, r.Type, r.Zone, r.Spot, 0)
	}
	l.answerHeartbeat(m, id, r)
}

func compareAttempts(a, b *attempt) int {
	if a.job != b.job {
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	}
	return a.task - b.task
}

// sortedAttempts gives the machine's attempts in a fixed order.
func (m *machine) sortedAttempts() []*attempt {
	list := slices.Clone(m.attemptList)
	slices.SortFunc(list, compareAttempts)
	return list
}

// machineTerminated ends a machine on proof: all that was on it is gone.
func (l *leader) machineTerminated(m *machine, why string) {
	if m.removed {
		return
	}
	m.removed = true
	l.controller.logSampled("machine gone", "machine", m.Name, "why", why, "attempts", len(m.attempts))
	l.terminated[m.Name] = l.controller.now
	delete(l.machines, m.Name)
	if i := slices.Index(l.fleetList, m); i >= 0 {
		l.fleetList = slices.Delete(l.fleetList, i, i+1)
	}
	for _, a := range m.sortedAttempts() {
		l.detach(a, "machine gone")
	}
	if l.shards != nil {
		l.shards.machineTerminated(m)
	}
	l.journal.removeMachine(m)
}
