package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/shard"
)

// sendShardMessage sends a message to a controller, or to the other role of this one.
func (c *Controller) sendShardMessage(to string, message shard.Message) {
	message.From = c.cfg.Name
	if to == c.cfg.Name {
		c.localMessages = append(c.localMessages, message)
		return
	}
	raw := message.Encode()
	if len(raw) > peers.MaxMessage {
		c.limits.Reached(limits.PeerMessage)
		return
	}
	c.effects.Unicasts = append(c.effects.Unicasts, Unicast{To: to, Body: raw})
}

// deliverLocal hands the messages between this controller's own roles over, and those that
// come of them.
func (c *Controller) deliverLocal() {
	for len(c.localMessages) > 0 {
		messages := c.localMessages
		c.localMessages = nil
		for i := range messages {
			c.receiveShardMessage(&messages[i])
		}
	}
}

// receiveShardMessage takes a message of another controller's, or of another role of this one.
func (c *Controller) receiveShardMessage(message *shard.Message) {
	if in := message.Instructions; in != nil && c.sharding != nil && c.sharding.owner != nil {
		c.sharding.owner.feed.receive(message.From, in)
	}
	if seen := message.Observations; seen != nil && c.leader != nil && c.leader.shards != nil {
		c.leader.shards.receive(message.From, seen)
	}
}

// runAfter is after for those that never stop the timer.
func (c *Controller) runAfter(d time.Duration, f func()) { c.after(d, f) }
