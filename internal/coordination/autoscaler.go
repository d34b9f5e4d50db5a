package coordination

import (
	"fmt"
	"sort"
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/protocol"
	"brasskeel/internal/ratelimit"
)

// Timeouts and intervals of cloud calls and scaling.
const (
	cloudTimeout          = 4 * time.Second
	noCapacityBackoff     = 15 * time.Second // after the cloud had no capacity for an offer
	machineTypesInterval  = 45 * time.Second
	minimumBilledTime     = 60 * time.Second
	releaseRetryInterval  = time.Second
	consolidationInterval = 10 * time.Second
)

// maxPlannedMachines bounds the machines requested by one scale-out; the responses to these
// requests determine what else is needed. reservedReleaseCalls is how many calls of the burst
// budget scale-out leaves for releases.
const (
	maxPlannedMachines   = 200
	reservedReleaseCalls = 1
)

// demand is a number of tasks of a job that found no machine.
type demand struct {
	job   *job
	tasks int
}

// autoscalerState is a leader's state for provisioning and releasing machines.
type autoscalerState struct {
	callBudget                 *ratelimit.TokenBucket
	unmetDemand                []demand
	displacedReplicas          map[*job]int // by service: replicas on unresponsive machines whose release waits for capacity elsewhere
	demandIncomplete           bool         // the latest placement round ended early, so unmetDemand is incomplete
	scaleOutScheduled          bool
	requestCount               uint64
	unavailableUntil           map[autoscaler.OfferKey]time.Time // when offers without capacity may be requested again
	requested                  map[autoscaler.OfferKey]int       // machines in requests in flight, by offer
	releaseInFlight            bool
	inventoryInFlight          bool
	inventoryRequestedAt       time.Time // when the latest read of the inventory began
	inventoryComplete          bool      // the inventory was read in full at least once in this term
	machineTypesRequestedAt    time.Time
	consolidatedAt             time.Time
	utilizationLoggedAt        time.Time
	largestOnDemandServiceCPUs float64 // CPUs of the largest service seen that may not use spot machines, all of its replicas together
}

func (scaler *autoscalerState) init(l *leader) {
	rps := l.controller.cfg.CloudRPS
	scaler.callBudget = ratelimit.NewTokenBucket(rps*0.9, rps*1.5, l.controller.now)
	scaler.unavailableUntil, scaler.requested = map[autoscaler.OfferKey]time.Time{}, map[autoscaler.OfferKey]int{}
}

// scheduleScaleOut schedules scaleOut to run after a short delay, instead of only with the next
// periodic maintenance. Calls during the delay have no further effect.
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

// maintain is the leader's periodic maintenance, which also runs at the end of the recovery. While
// the records are being loaded, it only forgets machines that terminated some time ago. From then
// until the leader is active, it only refreshes the machine types, the inventory and the shards, and
// logs why tasks are pending.
func (l *leader) maintain() {
	c, scaler := l.controller, &l.autoscaler
	for name, at := range l.terminatedAt {
		if c.now.Sub(at) > 5*time.Minute {
			delete(l.terminatedAt, name)
		}
	}
	if l.phase == phaseLoading {
		return
	}
	if l.shards != nil {
		l.shards.checkChannelsAndPlan()
	}
	l.logPendingReasons()
	if c.now.Sub(scaler.machineTypesRequestedAt) > machineTypesInterval && scaler.callBudget.TryTake(c.now, 1) {
		scaler.machineTypesRequestedAt = c.now
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
		return // leadership was handed over to the preferred zone
	}
	l.runPlacementRound()
	l.scaleOut()
	l.scaleIn()
	l.consolidate()
	l.rebalancer.reconcileMigrations()
	l.sendReleases()
	l.logUtilization()
}

// logUtilization logs, at most every 5 s, how the machines are used and how many requests and
// calls there were since the previous such line.
func (l *leader) logUtilization() {
	c, scaler := l.controller, &l.autoscaler
	if c.now.Sub(scaler.utilizationLoggedAt) < 5*time.Second {
		return
	}
	scaler.utilizationLoggedAt = c.now
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
	c.log.Debug("fleet utilization", "machines", len(l.fleetList), "spot", fmt.Sprintf("%+v", spot), "on_demand", fmt.Sprintf("%+v", onDemand), "unmet", len(scaler.unmetDemand), "lag", c.overload.Lag().Round(time.Millisecond),
		"traffic", fmt.Sprintf("%+v", c.requestCounts))
	c.requestCounts = requestCounts{}
}

// saveMachineTypes records the machine types, ordered by name.
func (l *leader) saveMachineTypes() {
	var list []protocol.MachineType
	for _, t := range l.controller.types {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	l.writer.recordMachineTypes(list)
}
