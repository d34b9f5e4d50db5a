package coordination

import (
	"encoding/json"
	"errors"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// shardLine is a line between the leader and an owner.
type shardLine struct {
	Node         string              `json:"shards"` // first, to tell it from other lines
	Instructions *shard.Instructions `json:"instructions,omitempty"`
	Observations *shard.Observations `json:"observations,omitempty"`
}

// sendShardLine sends a line to a controller, or to the other role of this one.
func (c *Controller) sendShardLine(to string, line shardLine) {
	line.Node = c.cfg.Name
	if to == c.cfg.Name {
		c.local = append(c.local, line)
		return
	}
	raw, err := json.Marshal(line)
	if err != nil { // lines hold only strings and finite numbers
		panic(err)
	}
	if len(raw) > MaxPeerMessage {
		c.limits.reached(limitPeerLine)
		return
	}
	c.effects.Unicasts = append(c.effects.Unicasts, Unicast{To: to, Body: raw})
}

// deliverLocal hands the lines between this controller's own roles over, and those that
// come of them.
func (c *Controller) deliverLocal() {
	for len(c.local) > 0 {
		lines := c.local
		c.local = nil
		for i := range lines {
			c.takeShardLine(&lines[i])
		}
	}
}

// takeShardLine takes a line of another controller's, or of another role of this one.
func (c *Controller) takeShardLine(line *shardLine) {
	if in := line.Instructions; in != nil && c.sharding != nil && c.sharding.own != nil {
		c.sharding.own.feed.take(line.Node, in)
	}
	if seen := line.Observations; seen != nil && c.leader != nil && c.leader.shards != nil {
		c.leader.shards.take(line.Node, seen)
	}
}

// shardLinePrefix begins a line of this kind.
var shardLinePrefix = []byte(`{"shards":`)

// parseShardLine reads a line; an error says that it makes no sense.
func parseShardLine(body []byte) (*shardLine, error) {
	var line shardLine
	if err := protocol.Decode(body, &line); err != nil {
		return nil, err
	}
	if line.Instructions == nil && line.Observations == nil {
		return nil, errEmptyLine
	}
	return &line, nil
}

var errEmptyLine = errors.New("a line about shards without content")
