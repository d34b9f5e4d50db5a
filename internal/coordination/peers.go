package coordination

import (
	"errors"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// PeerMessage handles a message from another controller. A message that isn't about shards is ignored
// if it can't be decoded or its sender isn't configured as a peer.
func (c *Controller) PeerMessage(now time.Time, body []byte) Effects {
	c.now = now
	if shard.IsMessage(body) {
		c.receiveRawShardMessage(body)
	} else if m, err := peers.Decode(body); err == nil && m.Sender != c.cfg.Name && c.isPeer(m.Sender) {
		c.receivePeerMessage(&m)
	}
	return c.takeEffects()
}

func (c *Controller) receivePeerMessage(m *peers.Message) {
	c.peers.Receive(m, c.now)
	for job, done := range m.Done {
		c.admission.cacheOutcome(job, protocol.Done, done)
	}
	for job, done := range m.Cancelled {
		c.admission.cacheOutcome(job, protocol.Cancelled, done)
		// A leader without access to the state service learns of the cancellation only from
		// this message, and stops the job's tasks.
		if l := c.leader; l != nil && l.jobs[job] != nil {
			l.endJob(l.jobs[job], protocol.Cancelled)
		}
	}
	if c.leader != nil && m.Term > c.leader.term {
		c.election.StepDown("a peer leads with a later term")
	}
}

// receiveRawShardMessage handles a message about shards. Malformed messages and those from
// senders that are not configured as peers are counted, and the first one is logged.
func (c *Controller) receiveRawShardMessage(body []byte) {
	message, err := shard.ParseMessage(body)
	if err == nil && !c.isPeer(message.From) {
		err = errUnknownPeer
	}
	if err == nil {
		c.receiveShardMessage(message)
		return
	}
	c.rejectedMessages++
	if c.rejectedMessages == 1 {
		c.log.Warn("peer message rejected", "error", err, "message", string(body[:min(len(body), 200)]))
	}
}

var errUnknownPeer = errors.New("the sender is not a configured peer")

func (c *Controller) isPeer(name string) bool {
	for i := range c.cfg.Peers {
		if c.cfg.Peers[i].Name == name {
			return true
		}
	}
	return false
}

// hasEligiblePeerIn reports whether leadership may be handed to a peer in zone.
func (c *Controller) hasEligiblePeerIn(zone string) bool {
	for i := range c.cfg.Peers {
		peer := &c.cfg.Peers[i]
		if s := c.peers[peer.Name]; peer.Zone == zone && s != nil && s.Eligible(c.now) {
			return true
		}
	}
	return false
}

// countPeers counts the peers by state.
func (c *Controller) countPeers() leadership.PeerCounts {
	eligible, disconnected := c.peers.Connectivity(c.now)
	return leadership.PeerCounts{Configured: len(c.cfg.Peers), Eligible: eligible, Disconnected: disconnected}
}
