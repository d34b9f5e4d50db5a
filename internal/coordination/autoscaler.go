package coordination

import (
	"fmt"
	"sort"
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/protocol"
	"brasskeel/internal/ratelimit"
)

// Times of the fleet's dealings with the cloud.
const (
	cloudTimeout          = 4 * time.Second
	noCapacityBackoff     = 15 * time.Second // after "no capacity"
	machineTypesInterval  = 45 * time.Second
	minimumBilledTime     = 60 * time.Second
	releaseRetryInterval  = time.Second
	consolidationInterval = 10 * time.Second
)

// maxPlannedMachines bounds how many machines one turn asks for: its answers show what is
// still needed. reservedReleaseCalls are those of the cloud's calls at once that renting
// leaves.
const (
	maxPlannedMachines   = 200
	reservedReleaseCalls = 1
)

// demand is tasks of a job without a machine.
type demand struct {
	job   *job
	tasks int
}

// autoscalerState is what a leader keeps to rent and return machines.
type autoscalerState struct {
	callBudget              *ratelimit.TokenBucket
	unmetDemand             []demand
	displacedReplicas       map[*job]int // replicas that silent machines are kept for, until there is room
	demandIncomplete        bool         // the last round ended early: unmetDemand isn't all there is
	scaleOutScheduled       bool
	requestCount            uint64
	unavailableUntil        map[autoscaler.OfferKey]time.Time // offers without capacity
	requested               map[autoscaler.OfferKey]int       // machines asked for, by offer
	releaseInFlight         bool
	inventoryInFlight       bool
	inventoryRequestedAt    time.Time // when the list was last asked for
	inventoryComplete       bool      // it was read in full since this controller leads
	machineTypesRequestedAt time.Time
	consolidatedAt          time.Time
	utilizationLoggedAt     time.Time
	largestOnDemandCPUs     float64 // CPUs of the largest job seen that may not use spot machines
}

func (f *autoscalerState) init(l *leader) {
	rps := l.controller.cfg.CloudRPS
	f.callBudget = ratelimit.NewTokenBucket(rps*0.9, rps*1.5, l.controller.now)
	f.unavailableUntil, f.requested = map[autoscaler.OfferKey]time.Time{}, map[autoscaler.OfferKey]int{}
}

// scheduleScaleOut wants the fleet looked at before its next turn.
func (l *leader) scheduleScaleOut() {
	if l.autoscaler.scaleOutScheduled {
		return
	}
	l.autoscaler.scaleOutScheduled = true
	l.controller.after(100*time.Millisecond, func() {
		l.autoscaler.scaleOutScheduled = false
		if l.alive() {
			l.scaleOut()
		}
	})
}

// maintain is the fleet's regular turn.
func (l *leader) maintain() {
	c, f := l.controller, &l.autoscaler
	for name, at := range l.terminatedAt {
		if c.now.Sub(at) > 5*time.Minute {
			delete(l.terminatedAt, name)
		}
	}
	if l.phase == phaseLoading {
		return
	}
	if l.shards != nil {
		l.shards.step()
	}
	l.logPendingReasons()
	if c.now.Sub(f.machineTypesRequestedAt) > machineTypesInterval && f.callBudget.TryTake(c.now, 1) {
		f.machineTypesRequestedAt = c.now
		c.fetchMachineTypes(func(ok bool) {
			if ok && l.alive() {
				for _, m := range l.fleetList {
					m.Spec = c.types[m.Type]
				}
				l.saveMachineTypes()
			}
		})
	}
	l.readInventory()
	if l.phase != phaseActive {
		return
	}
	l.preferMajorityZone()
	if !l.alive() {
		return
	}
	l.runPlacementRound()
	l.scaleOut()
	l.scaleIn()
	l.consolidate()
	l.rebalancer.reconcileMigrations()
	l.sendReleases()
	l.logUtilization()
}

// logUtilization tells now and then what the machines are used for, and what came in and
// went out since the last time.
func (l *leader) logUtilization() {
	c, f := l.controller, &l.autoscaler
	if c.now.Sub(f.utilizationLoggedAt) < 5*time.Second {
		return
	}
	f.utilizationLoggedAt = c.now
	type use struct{ machines, consolidating, holdingReplicas, cpus, replicaCPUs, allocated float64 }
	var spot, onDemand use
	for _, m := range l.fleetList {
		if !m.session.Registered || m.Spec == nil {
			continue
		}
		u := &onDemand
		if m.Spot {
			u = &spot
		}
		u.machines++
		u.cpus += m.Spec.CPUs
		u.allocated += m.Allocated.CPUs
		u.replicaCPUs += m.ReplicaCPUs
		if m.Consolidating {
			u.consolidating++
		}
		if m.ReplicaCPUs > 0 {
			u.holdingReplicas++
		}
	}
	c.log.Debug("fleet utilization", "machines", len(l.fleetList), "spot", fmt.Sprintf("%+v", spot), "on_demand", fmt.Sprintf("%+v", onDemand), "unmet", len(f.unmetDemand), "lag", c.overload.Lag().Round(time.Millisecond),
		"traffic", fmt.Sprintf("%+v", c.requestCounts))
	c.requestCounts = requestCounts{}
}

func (l *leader) saveMachineTypes() {
	var list []protocol.MachineType
	for _, t := range l.controller.types {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	l.writer.recordMachineTypes(list)
}
