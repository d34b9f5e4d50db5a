package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// loadTypes gets the machine types: from the state service, where leaders keep
// them, or from the cloud. Without them no submission can be judged.
func (n *Node) loadTypes() {
	n.storeGet(bookkeeping.KeyTypes, func(it protocol.Item, found, ok bool) {
		if found {
			var types []protocol.MachineType
			if json.Unmarshal(it.Value, &types) == nil && len(types) > 0 {
				if len(n.types) == 0 {
					n.setTypes(types)
				}
				return
			}
		}
		if len(n.types) > 0 {
			return
		}
		n.fetchTypes(func(ok bool) {
			if !ok {
				n.after(time.Second+n.jitter(time.Second), n.loadTypes)
			}
		})
	})
}

func (n *Node) fetchTypes(done func(ok bool)) {
	n.call(Cloud, "", "GET", protocol.PathTypes, nil, 3*time.Second, func(o Outcome) {
		if o.Answered && o.Status == 200 {
			if types, err := protocol.ParseTypes(o.Body); err == nil {
				n.setTypes(types)
				done(true)
				return
			}
		}
		done(false)
	})
}

func (n *Node) setTypes(types []protocol.MachineType) {
	n.types = make(map[string]*protocol.MachineType, len(types))
	for i := range types {
		n.types[types[i].Name] = &types[i]
		n.log.Debug("machine type", "type", types[i].Name, "zones", types[i].Zones, "price", types[i].Price, "spot", types[i].SpotPrice)
	}
}
