package coordination

import (
	"fmt"
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/protocol"
)

// mayScaleOut reports whether machines may be provisioned now: the leader is active with a valid lease,
// the state service is available, the machine types and the whole unmet demand are known, and no
// request for machines is in flight. A persistently overloaded controller provisions none. Beyond
// forecastCapacity, none are provisioned if this controller or the owner of a shard was overloaded
// recently.
func (l *leader) mayScaleOut() bool {
	c, scaler := l.controller, &l.autoscaler
	if l.phase != phaseActive || c.store.Unavailable() || len(c.types) == 0 || !c.now.Before(l.lease.ValidUntil) || scaler.demandIncomplete {
		return false
	}
	if c.overload.Persistent(c.now) || len(l.fleetList) > l.forecastCapacity() && l.recentlyOverloaded() {
		c.limits.Reached(limits.ServedMachines)
		return false
	}
	for _, k := range scaler.requested {
		if k > 0 {
			return false // what else is needed depends on the responses to the requests in flight
		}
	}
	return true
}

// The load that a fleet causes can be measured only when its machines are running. When thousands of
// machines were provisioned at once, while the first of them were still booting, a leader with a
// small CPU share became so slow that it responded to neither workers nor users. So beyond
// forecastCapacity the fleet grows in steps proportional to its size. Each step waits until the
// machines of the previous one are running, and is made only if the leader's timers run on time.
const (
	// heartbeatCost is the approximate CPU time that a controller needs for a heartbeat and all
	// work it causes, on an ordinary core: 86 microseconds were measured (docs/MEASUREMENTS.md).
	heartbeatCost        = 100 * time.Microsecond
	scaleOutStepDivisor  = 8               // beyond forecastCapacity, one in scaleOutStepDivisor of the machines may boot at once
	recentOverloadWindow = 4 * time.Second // beyond forecastCapacity, the fleet doesn't grow within this time of an overload
)

// forecastCapacity is an estimate of how many machines this controller can serve with its CPU share.
// The capacity of shard owners isn't added: how many of them serve workers, and which load remains
// for the leader, is measured as the fleet grows.
func (l *leader) forecastCapacity() int {
	c := l.controller.cfg
	return int(min(c.CPUShare*float64(c.HeartbeatInterval)/float64(heartbeatCost), 1e9))
}

// recentlyOverloaded reports whether this controller or the owner of a shard has recently been
// overloaded.
func (l *leader) recentlyOverloaded() bool {
	c := l.controller
	if c.overload.OverloadedWithin(c.now, recentOverloadWindow) {
		return true
	}
	return l.shards != nil && l.shards.ownerOverloaded()
}

// scaleOutLimit is how many machines one scale-out may provision while the given number of machines
// boots.
func (l *leader) scaleOutLimit(booting int) int {
	fleet := len(l.fleetList)
	step := max(protocol.MaxMachinesPerProvision, fleet/scaleOutStepDivisor) - booting
	return max(0, min(maxPlannedMachines, max(l.forecastCapacity()-fleet, step)))
}

// scaleOut provisions the machines that pending tasks, displaced replicas and the headroom need
// beyond those that are booting.
func (l *leader) scaleOut() {
	if !l.mayScaleOut() {
		return
	}
	plan := l.newScaleOutPlan()
	plan.Limit = l.scaleOutLimit(plan.BootingOrPlanned())
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

// newScaleOutPlan returns a plan for the current fleet, without any demand.
func (l *leader) newScaleOutPlan() *autoscaler.Plan {
	quotas := map[string]*autoscaler.UnusedLimit{}
	for name, t := range l.controller.teams {
		u := l.teamUsage[name]
		quotas[name] = &autoscaler.UnusedLimit{CPUs: t.MaxCPUs - u.cpus, GPUs: t.MaxGPUs - u.gpus}
	}
	plan := autoscaler.NewPlan(l.offers(), l.bootingBins(), quotas)
	for _, d := range l.autoscaler.unmetDemand {
		plan.Expect(d.job.Job)
	}
	return plan
}

// plannedDemand converts a job's demand for the plan.
func (l *leader) plannedDemand(d demand) autoscaler.Demand {
	j := d.job
	return autoscaler.Demand{Job: j.Job, Shape: shapeKeyOf(j), Zones: j.attemptsByZone, Tasks: min(d.tasks, j.pendingTasks()),
		TooExpensive: func(o autoscaler.Offer) bool { return l.overpriced(j, o) },
		Starving:     func() bool { return j.queueInfo(l.controller.now.Round(0)).Starving() }}
}

// planHeadroom adds machines to the plan until it provides the headroom for future jobs, no offer is
// left, or the booting and planned machines exceed the larger of maxPlannedMachines and the size of the
// fleet. It also ends when the plan's limit is reached if the fleet is beyond forecastCapacity.
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
		if plan.BootingOrPlanned() > max(maxPlannedMachines, len(l.fleetList)) || plan.Full() && len(l.fleetList) > l.forecastCapacity() {
			return
		}
		cpus, ok := plan.AddCheapest()
		if !ok {
			return
		}
		free += cpus
	}
}

// requestPlannedMachines requests the planned machines from the cloud, in as many calls as the
// budget allows. It leaves reservedReleaseCalls for releases, which are the fastest proof that tasks
// on unresponsive machines have ended.
func (l *leader) requestPlannedMachines(plan *autoscaler.Plan) {
	budget := l.autoscaler.callBudget
	for _, request := range plan.Requests() {
		for left := request.Count; left > 0; left -= protocol.MaxMachinesPerProvision {
			if budget.Available(l.controller.now) < 1+reservedReleaseCalls || !budget.TryTake(l.controller.now, 1) {
				return
			}
			l.requestMachines(request.Offer, min(left, protocol.MaxMachinesPerProvision))
		}
	}
}

// headroomFor is the free capacity to keep, in CPUs, while the given number of CPUs is allocated.
func (l *leader) headroomFor(used float64) float64 {
	if l.needsHeadroom() {
		return l.controller.operator.HeadroomShare * used
	}
	return 0
}

// needsHeadroom reports whether an objective requires tasks to start within less than the
// shortest boot time. Only then is capacity kept free for future jobs.
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

// catalog returns the cloud's machine types, with spot machines only if operators allow them.
func (l *leader) catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: l.controller.types, Spot: l.controller.operator.AllowSpot}
}

// offers returns the offers that can be requested now, cheapest per CPU first.
func (l *leader) offers() []autoscaler.Offer {
	return l.catalog().Offers(func(key autoscaler.OfferKey) bool {
		return !l.controller.now.Before(l.autoscaler.unavailableUntil[key])
	})
}

// overpriced reports whether an offer is too expensive for a job. Opportunistic work, the jobs of
// teams without a guarantee, gets only idle and cheap capacity, unless it is critical.
func (l *leader) overpriced(j *job, o autoscaler.Offer) bool {
	t := l.controller.teams[j.Team]
	if t == nil || t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 || j.Priority == protocol.Critical {
		return false
	}
	return l.catalog().TooExpensive(j.Job, o)
}

// offer returns the offer that a machine was provisioned from. The machine's type must be known.
func (m *machine) offer() autoscaler.Offer {
	return autoscaler.Offer{Spec: m.Spec, Zone: m.Zone, Spot: m.Spot}
}

// requestMachines requests a number of machines of one offer from the cloud. After a response that
// shows a lack of capacity, or without a clear response, the offer isn't requested again for a while.
func (l *leader) requestMachines(o autoscaler.Offer, count int) {
	c, scaler := l.controller, &l.autoscaler
	scaler.requestCount++
	// The name is never reused by any controller: terms are unique, and so is the counter
	// within a term.
	name := fmt.Sprintf("t%d-%d", l.term, scaler.requestCount)
	key := o.Key()
	scaler.requested[key] += count
	c.call(Cloud, "", "POST", protocol.PathMachines, protocol.EncodeProvision(name, o.Spec.Name, o.Zone, o.Spot, count), cloudTimeout, func(out Outcome) {
		if !l.alive() {
			return
		}
		scaler.requested[key] -= count
		switch {
		case out.Answered && out.Status == 200:
			names, err := protocol.ParseMachineNames(out.Body)
			if err != nil {
				return // the machines will be in the cloud's inventory
			}
			for _, m := range names {
				if l.machines[m] == nil && l.terminatedAt[m].IsZero() {
					l.writer.recordMachine(l.newMachine(m, o.Spec.Name, o.Zone, o.Spot))
				}
			}
			c.log.Info("machines provisioned", "type", o.Spec.Name, "zone", o.Zone, "spot", o.Spot, "requested", count, "count", len(names))
			if len(names) < count {
				scaler.unavailableUntil[key] = c.now.Add(noCapacityBackoff)
			}
			l.scheduleScaleOut()
		case out.Answered && out.Status == 503 && protocol.IsNoCapacity(out.Body):
			if c.now.Sub(scaler.unavailableUntil[key]) > noCapacityBackoff { // log only the first of successive failures
				c.log.Info("instance offer without capacity", "type", o.Spec.Name, "zone", o.Zone, "spot", o.Spot)
			}
			scaler.unavailableUntil[key] = c.now.Add(noCapacityBackoff)
			l.scheduleScaleOut()
		case out.Answered && out.Status == 429: // the cloud's rate limit: the offer stays available
		default:
			// The request may have been carried out. Then the machines will be in the cloud's
			// inventory.
			scaler.unavailableUntil[key] = c.now.Add(3 * time.Second)
		}
	})
}
