package coordination

import (
	"fmt"
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/protocol"
)

// requestMachines asks the cloud for machines.
func (l *leader) requestMachines(o autoscaler.Offer, count int) {
	c, f := l.controller, &l.autoscaler
	f.requestCount++
	// Never used again, by this node or another: terms are unique, and so is
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
				if l.machines[m] == nil && l.terminated[m].IsZero() {
					l.writer.recordMachine(l.newMachine(m, o.Spec.Name, o.Zone, o.Spot))
				}
			}
			c.log.Info("machines provisioned", "type", o.Spec.Name, "zone", o.Zone, "spot", o.Spot, "requested", count, "count", len(names))
			if len(names) < count {
				f.unavailableUntil[key] = c.now.Add(noCapacityPause)
			}
			l.scheduleScaleOut()
		case out.Answered && out.Status == 503 && protocol.NoCapacity(out.Body):
			if c.now.Sub(f.unavailableUntil[key]) > noCapacityPause { // else it was so the last time, too
				c.log.Info("instance offer without capacity", "type", o.Spec.Name, "zone", o.Zone, "spot", o.Spot)
			}
			f.unavailableUntil[key] = c.now.Add(noCapacityPause)
			l.scheduleScaleOut()
		case out.Answered && out.Status == 429:
		default:
			// Maybe carried out; then the machines show in the list.
			f.unavailableUntil[key] = c.now.Add(3 * time.Second)
		}
	})
}
