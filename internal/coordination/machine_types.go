package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// loadMachineTypes loads the machine types from the state service, where leaders store them, or from
// the cloud if they aren't stored there or can't be read. If the cloud doesn't list them either, it
// tries again after one to two seconds. If machine types are known by the time that the state service
// answers, they are kept. Submissions can't be validated without machine types.
func (c *Controller) loadMachineTypes() {
	c.store.Get(records.KeyMachineTypes, func(r statestore.ReadResult) {
		if r.Status == statestore.Found {
			var types []protocol.MachineType
			if json.Unmarshal(r.Item.Value, &types) == nil && len(types) > 0 {
				if len(c.types) == 0 {
					c.setMachineTypes(types)
				}
				return
			}
		}
		if len(c.types) > 0 {
			return
		}
		c.fetchMachineTypes(func(ok bool) {
			if !ok {
				c.after(time.Second+c.jitter(time.Second), c.loadMachineTypes)
			}
		})
	})
}

// fetchMachineTypes reads the machine types from the cloud and calls done with whether it
// succeeded.
func (c *Controller) fetchMachineTypes(done func(ok bool)) {
	c.call(Cloud, "", "GET", protocol.PathMachineTypes, nil, 3*time.Second, func(o Outcome) {
		if o.Answered && o.Status == 200 {
			if types, err := protocol.ParseMachineTypes(o.Body); err == nil {
				c.setMachineTypes(types)
				done(true)
				return
			}
		}
		done(false)
	})
}

// setMachineTypes replaces all known machine types and logs the new ones.
func (c *Controller) setMachineTypes(types []protocol.MachineType) {
	c.types = make(map[string]*protocol.MachineType, len(types))
	for i := range types {
		c.types[types[i].Name] = &types[i]
		c.log.Debug("machine type loaded", "type", types[i].Name, "zones", types[i].Zones, "price", types[i].PricePerHour, "spot", types[i].SpotPricePerHour)
	}
}
