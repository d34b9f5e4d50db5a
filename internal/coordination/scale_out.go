package coordination

import (
	"fmt"
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/protocol"
)

// mayScaleOut reports whether anything may be rented now.
func (l *leader) mayScaleOut() bool {
	c, f := l.controller, &l.autoscaler
	if l.phase != phaseActive || c.store.Unavailable() || len(c.types) == 0 || !c.now.Before(l.lease.ValidUntil) || f.demandIncomplete {
		return false
	}
	if c.overload.Persistent(c.now) || len(l.fleetList) > l.forecastCapacity() && l.recentlyOverloaded() {
		c.limits.Reached(limits.ServedMachines)
		return false
	}
	for _, k := range f.requested {
		if k > 0 {
			return false // its answer decides what else is needed
		}
	}
	return true
}

// Thousands of machines rented at once, while the first of them booted, left a leader on a
// small share of a processor so late that it answered neither workers nor users any more: what
// a fleet costs shows only when its machines are up. So beyond what its share is likely to
// serve, a fleet grows by steps of a part of it, each one after the one before is up, and only
// while the leader keeps up with its timers.
const (
	// heartbeatCost is about what a heartbeat costs a controller, all that comes with it included,
	// on an ordinary core: with 86 microseconds measured (docs/MEASUREMENTS.md).
	heartbeatCost        = 100 * time.Microsecond
	scaleOutStepDivisor  = 8 // part of the fleet that may boot, as a divisor
	recentOverloadWindow = 4 * time.Second
)

// forecastCapacity is how many machines are likely to be served in time. Those of shards' owners
// aren't counted more: how many of them serve, and what that costs the leader, shows as the
// fleet grows.
func (l *leader) forecastCapacity() int {
	c := l.controller.cfg
	return int(min(c.CPUShare*float64(c.HeartbeatInterval)/float64(heartbeatCost), 1e9))
}

// recentlyOverloaded reports whether the controllers that serve the fleet have been late by now: this
// one, or the owner of a shard.
func (l *leader) recentlyOverloaded() bool {
	c := l.controller
	if c.overload.OverloadedWithin(c.now, recentOverloadWindow) {
		return true
	}
	return l.shards != nil && l.shards.ownerOverloaded()
}

// scaleOutLimit is how many machines may be rented in one turn while some boot.
func (l *leader) scaleOutLimit(booting int) int {
	fleet := len(l.fleetList)
	step := max(protocol.MaxProvision, fleet/scaleOutStepDivisor) - booting
	return max(0, min(maxPlannedMachines, max(l.forecastCapacity()-fleet, step)))
}

// scaleOut rents what the waiting work and the headroom need beyond what boots.
func (l *leader) scaleOut() {
	if !l.mayScaleOut() {
		return
	}
	plan := l.newScaleOutPlan()
	plan.Limit = l.scaleOutLimit(plan.Booting())
	for _, d := range l.autoscaler.unmetDemand {
		if plan.Full() {
			break
		}
		plan.AddDemand(l.plannedDemand(d))
	}
	if displaced := l.autoscaler.displacedReplicas; len(displaced) > 0 {
		for _, j := range l.jobsByAge {
			plan.AddDisplaced(j.Job, shapeKeyOf(j), displaced[j])
		}
	}
	l.planHeadroom(plan)
	l.requestPlannedMachines(plan)
}

// newScaleOutPlan is a plan for the fleet as it is now, without demand.
func (l *leader) newScaleOutPlan() *autoscaler.Plan {
	quotas := map[string]*autoscaler.Quota{}
	for name, t := range l.controller.teams {
		u := l.teamUsage[name]
		quotas[name] = &autoscaler.Quota{CPUs: t.CPUsMax - u.cpus, GPUs: t.GPUsMax - u.gpus}
	}
	plan := autoscaler.NewPlan(l.offers(), l.bootingBins(), quotas)
	for _, d := range l.autoscaler.unmetDemand {
		plan.Expect(d.job.Job)
	}
	return plan
}

// plannedDemand is a job's demand as the plan takes it.
func (l *leader) plannedDemand(d demand) autoscaler.Demand {
	j := d.job
	return autoscaler.Demand{Job: j.Job, Shape: shapeKeyOf(j), Zones: j.attemptsByZone, Tasks: min(d.tasks, j.pendingTasks()),
		TooExpensive: func(o autoscaler.Offer) bool { return l.overpriced(j, o) },
		Starving:     func() bool { return j.queueInfo(l.controller.now.Round(0)).Starving() }}
}

// planHeadroom rents ahead of the next jobs.
func (l *leader) planHeadroom(plan *autoscaler.Plan) {
	used, free := 0.0, 0.0
	for _, m := range l.fleetList {
		if m.Spec == nil || !m.session.Registered {
			continue
		}
		used += m.Allocated.CPUs
		if l.acceptsTasks(m) {
			free += m.Spec.CPUs - m.Allocated.CPUs
		}
	}
	free, used = plan.CountCapacity(free, used)
	for want := l.headroomFor(used); free < want-protocol.Epsilon; {
		if plan.Booting() > max(maxPlannedMachines, len(l.fleetList)) || plan.Full() && len(l.fleetList) > l.forecastCapacity() {
			return
		}
		cpus, ok := plan.AddCheapest()
		if !ok {
			return
		}
		free += cpus
	}
}

// requestPlannedMachines asks the cloud for what is planned. What many calls take is asked for at
// once, but some are left for releases: those are the quick proof that machines which don't
// respond are gone.
func (l *leader) requestPlannedMachines(plan *autoscaler.Plan) {
	budget := l.autoscaler.callBudget
	for _, request := range plan.Requests() {
		for left := request.Count; left > 0; left -= protocol.MaxProvision {
			if budget.Available(l.controller.now) < 1+reservedReleaseCalls || !budget.TryTake(l.controller.now, 1) {
				return
			}
			l.requestMachines(request.Offer, min(left, protocol.MaxProvision))
		}
	}
}

// headroomFor is the free room wanted beyond what is used.
func (l *leader) headroomFor(used float64) float64 {
	if l.needsHeadroom() {
		return l.controller.operator.HeadroomShare * used
	}
	return 0
}

// needsHeadroom reports whether users want work started sooner than a machine
// boots: only then is room kept for what may come.
func (l *leader) needsHeadroom() bool {
	boot := time.Duration(0)
	for _, t := range l.controller.types {
		if boot == 0 || t.BootTime < boot {
			boot = t.BootTime
		}
	}
	for i := range l.controller.cfg.Objectives {
		o := &l.controller.cfg.Objectives[i]
		if (o.Kind == "wait" || o.Kind == "guarantee") && o.Within < boot {
			return true
		}
	}
	return false
}

// catalog is what the cloud offers, as far as operators let it be rented.
func (l *leader) catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: l.controller.types, Spot: l.controller.operator.Spot}
}

// offers lists what can be rented now, cheapest per CPU first.
func (l *leader) offers() []autoscaler.Offer {
	return l.catalog().Offers(func(key autoscaler.OfferKey) bool {
		return !l.controller.now.Before(l.autoscaler.unavailableUntil[key])
	})
}

// overpriced reports whether a machine isn't rented for a job at the price: teams without
// a guarantee take what is idle, and what is cheap.
func (l *leader) overpriced(j *job, o autoscaler.Offer) bool {
	t := l.controller.teams[j.Team]
	if t == nil || t.CPUs > 0 || t.GPUs > 0 || j.Priority == protocol.Critical {
		return false
	}
	return l.catalog().TooExpensive(j.Job, o)
}

// offer is the offer that a machine was rented by. Its type must be known.
func (m *machine) offer() autoscaler.Offer {
	return autoscaler.Offer{Spec: m.Spec, Zone: m.Zone, Spot: m.Spot}
}

// requestMachines asks the cloud for machines.
func (l *leader) requestMachines(o autoscaler.Offer, count int) {
	c, f := l.controller, &l.autoscaler
	f.requestCount++
	// Never used again, by this controller or another: terms are unique, and so is
	// the counter within one.
	name := fmt.Sprintf("t%d-%d", l.term, f.requestCount)
	key := o.Key()
	f.requested[key] += count
	c.call(Cloud, "", "POST", protocol.PathMachines, protocol.EncodeProvision(name, o.Spec.Name, o.Zone, o.Spot, count), cloudTimeout, func(out Outcome) {
		if !l.alive() {
			return
		}
		f.requested[key] -= count
		switch {
		case out.Answered && out.Status == 200:
			names, err := protocol.ParseMachineNames(out.Body)
			if err != nil {
				return // what was rented will show in the list
			}
			for _, m := range names {
				if l.machines[m] == nil && l.terminatedAt[m].IsZero() {
					l.writer.recordMachine(l.newMachine(m, o.Spec.Name, o.Zone, o.Spot))
				}
			}
			c.log.Info("machines provisioned", "type", o.Spec.Name, "zone", o.Zone, "spot", o.Spot, "requested", count, "count", len(names))
			if len(names) < count {
				f.unavailableUntil[key] = c.now.Add(noCapacityBackoff)
			}
			l.scheduleScaleOut()
		case out.Answered && out.Status == 503 && protocol.NoCapacity(out.Body):
			if c.now.Sub(f.unavailableUntil[key]) > noCapacityBackoff { // else it was so the last time, too
				c.log.Info("instance offer without capacity", "type", o.Spec.Name, "zone", o.Zone, "spot", o.Spot)
			}
			f.unavailableUntil[key] = c.now.Add(noCapacityBackoff)
			l.scheduleScaleOut()
		case out.Answered && out.Status == 429:
		default:
			// Maybe carried out; then the machines show in the list.
			f.unavailableUntil[key] = c.now.Add(3 * time.Second)
		}
	})
}
