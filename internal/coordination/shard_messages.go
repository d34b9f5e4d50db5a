package coordination

import (
	"encoding/json"
	"errors"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// shardMessage is a line between the leader and an owner.
type shardMessage struct {
	Node         string              `json:"shards"` // first, to tell it from other lines
	Instructions *shard.Instructions `json:"instructions,omitempty"`
	Observations *shard.Observations `json:"observations,omitempty"`
}

// sendShardMessage sends a line to a controller, or to the other role of this one.
func (c *Controller) sendShardMessage(to string, line shardMessage) {
	line.Node = c.cfg.Name
	if to == c.cfg.Name {
		c.localMessages = append(c.localMessages, line)
		return
	}
	raw, err := json.Marshal(line)
	if err != nil { // lines hold only strings and finite numbers
		panic(err)
	}
	if len(raw) > peers.MaxMessage {
		c.limits.Reached(limits.PeerMessage)
		return
	}
	c.effects.Unicasts = append(c.effects.Unicasts, Unicast{To: to, Body: raw})
}

// deliverLocal hands the lines between this controller's own roles over, and those that
// come of them.
func (c *Controller) deliverLocal() {
	for len(c.localMessages) > 0 {
		lines := c.localMessages
		c.localMessages = nil
		for i := range lines {
			c.receiveShardMessage(&lines[i])
		}
	}
}

// receiveShardMessage takes a line of another controller's, or of another role of this one.
func (c *Controller) receiveShardMessage(line *shardMessage) {
	if in := line.Instructions; in != nil && c.sharding != nil && c.sharding.owner != nil {
		c.sharding.owner.feed.receive(line.Node, in)
	}
	if seen := line.Observations; seen != nil && c.leader != nil && c.leader.shards != nil {
		c.leader.shards.receive(line.Node, seen)
	}
}

// shardMessagePrefix begins a line of this kind.
var shardMessagePrefix = []byte(`{"shards":`)

// parseShardMessage reads a line; an error says that it makes no sense.
func parseShardMessage(body []byte) (*shardMessage, error) {
	var line shardMessage
	if err := protocol.Decode(body, &line); err != nil {
		return nil, err
	}
	if line.Instructions == nil && line.Observations == nil {
		return nil, errEmptyShardMessage
	}
	return &line, nil
}

var errEmptyShardMessage = errors.New("a line about shards without content")
