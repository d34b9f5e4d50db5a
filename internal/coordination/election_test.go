package coordination

import (
	"strings"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// setElectionKeys makes a controller list the election keys, and responds with items.
func setElectionKeys(c *Controller, items ...protocol.KeyValue) {
	c.takeEffects()
	c.election.Follow()
	for _, call := range c.takeEffects().Calls {
		if strings.HasPrefix(call.Target, protocol.RangeTarget(records.PrefixElection, "", 500)) {
			c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeRange(items, false, 9)})
			return
		}
	}
	panic("the controller does not list the election keys")
}
