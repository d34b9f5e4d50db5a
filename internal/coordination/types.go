package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// loadTypes gets the machine types: from the state service, where leaders keep
// them, or from the cloud. Without them no submission can be judged.
func (c *Controller) loadTypes() {
	c.storeGet(records.KeyTypes, func(it protocol.KeyValue, found, _ bool) {
		if found {
			var types []protocol.MachineType
			if json.Unmarshal(it.Value, &types) == nil && len(types) > 0 {
				if len(c.types) == 0 {
					c.setTypes(types)
				}
				return
			}
		}
		if len(c.types) > 0 {
			return
		}
		c.fetchTypes(func(ok bool) {
			if !ok {
				c.after(time.Second+c.jitter(time.Second), c.loadTypes)
			}
		})
	})
}

// fetchTypes asks the cloud for the machine types.
func (c *Controller) fetchTypes(done func(ok bool)) {
	c.call(Cloud, "", "GET", protocol.PathMachineTypes, nil, 3*time.Second, func(o Outcome) {
		if o.Answered && o.Status == 200 {
			if types, err := protocol.ParseMachineTypes(o.Body); err == nil {
				c.setTypes(types)
				done(true)
				return
			}
		}
		done(false)
	})
}

// setTypes replaces the machine types.
func (c *Controller) setTypes(types []protocol.MachineType) {
	c.types = make(map[string]*protocol.MachineType, len(types))
	for i := range types {
		c.types[types[i].Name] = &types[i]
		c.log.Debug("machine type loaded", "type", types[i].Name, "zones", types[i].Zones, "price", types[i].PricePerHour, "spot", types[i].SpotPricePerHour)
	}
}
