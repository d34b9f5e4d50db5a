package coordination

import (
	"bytes"
	"errors"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/protocol"
)

// peerStatus is what a peer last told of itself.
type peerStatus struct {
	heardAt            time.Time
	storeReachable     bool
	disconnected       bool   // it led lately and reached too few machines
	workersUnreachable bool   // it lately lost most of the workers that it served
	term               uint64 // of a leader
	progress           map[string]receivedProgress
	prunedAt           time.Time // when old progress was last dropped
}

// peerMessage is what controllers tell one another. None of it is needed for
// the protocol's rules: those rest on the state service alone. Final states are told
// by who wrote them: they are created once and never overwritten, so they may be
// passed on to users like one's own, however late they come.
type peerMessage struct {
	Node               string                 `json:"node"`
	StoreReachable     bool                   `json:"storeOK"`
	Disconnected       bool                   `json:"unfit,omitempty"`
	WorkersUnreachable bool                   `json:"blind,omitempty"`     // of an owner of shards
	Term               uint64                 `json:"term,omitempty"`      // of a leader
	Progress           map[string]jobProgress `json:"progress,omitempty"`  // of some jobs
	Done               map[string]int         `json:"done,omitempty"`      // jobs, and their tasks done
	Cancelled          map[string]int         `json:"cancelled,omitempty"` // the same of cancelled ones
}

// PeerMessage takes a message from another controller.
func (c *Controller) PeerMessage(now time.Time, body []byte) Effects {
	c.now = now
	if bytes.HasPrefix(body, shardMessagePrefix) {
		c.shardMessage(body)
		return c.take()
	}
	var m peerMessage
	if protocol.Decode(body, &m) == nil && m.Node != "" && m.Node != c.cfg.Name && c.isPeer(m.Node) {
		p := c.peers[m.Node]
		if p == nil {
			p = &peerStatus{}
			c.peers[m.Node] = p
		}
		p.heardAt, p.storeReachable, p.disconnected, p.workersUnreachable = now, m.StoreReachable, m.Disconnected, m.WorkersUnreachable
		p.applyProgress(&m, now)
		for job, done := range m.Done {
			c.admission.rememberOutcome(job, protocol.Done, done)
		}
		for job, done := range m.Cancelled {
			c.admission.rememberOutcome(job, protocol.Cancelled, done)
			// A leader that the state service refuses stops its tasks sooner for it.
			if l := c.leader; l != nil && l.jobs[job] != nil {
				l.endJob(l.jobs[job], protocol.Cancelled)
			}
		}
		if c.leader != nil && m.Term > c.leader.term {
			c.election.StepDown("a peer leads with a later term")
		}
	}
	return c.take()
}

// shardMessage takes a line about shards. Those of strangers and those that make no sense
// are counted, and the first is told of.
func (c *Controller) shardMessage(body []byte) {
	line, err := parseShardMessage(body)
	if err == nil && !c.isPeer(line.Node) {
		err = errUnknownPeer
	}
	if err == nil {
		c.receiveShardMessage(line)
		return
	}
	c.rejectedMessages++
	if c.rejectedMessages == 1 {
		c.log.Warn("peer message rejected", "error", err, "message", string(body[:min(len(body), 200)]))
	}
}

var errUnknownPeer = errors.New("not from a peer")

func (c *Controller) isPeer(name string) bool {
	for i := range c.cfg.Peers {
		if c.cfg.Peers[i].Name == name {
			return true
		}
	}
	return false
}

// Times after which a peer that isn't heard counts no more. A peer tells of itself each
// second.
const (
	peerFreshFor    = 3 * time.Second         // for what it said last
	peerEligibleFor = 2500 * time.Millisecond // as one to hand the leadership to
)

func (p *peerStatus) fresh(now time.Time) bool { return now.Sub(p.heardAt) < peerFreshFor }

// canLead reports whether a peer said of itself that it reaches the state service, and not
// that it lost connectivity to the workers.
func (p *peerStatus) canLead() bool { return p.storeReachable && !p.disconnected }

// eligible reports whether the leadership may be handed to a peer.
func (p *peerStatus) eligible(now time.Time) bool {
	return p.canLead() && now.Sub(p.heardAt) < peerEligibleFor
}

// heardFromPeer reports whether another controller was heard lately.
func (c *Controller) heardFromPeer() bool {
	for _, p := range c.peers {
		if p.fresh(c.now) {
			return true
		}
	}
	return false
}

// peerReachesStore reports whether another controller lately said that the state
// service serves it.
func (c *Controller) peerReachesStore() bool {
	for _, p := range c.peers {
		if p.storeReachable && p.fresh(c.now) {
			return true
		}
	}
	return false
}

// eligiblePeer reports whether any peer may be handed the leadership.
func (c *Controller) eligiblePeer() bool {
	for _, p := range c.peers {
		if p.eligible(c.now) {
			return true
		}
	}
	return false
}

// eligiblePeerIn reports whether a peer of a zone may be handed the leadership.
func (c *Controller) eligiblePeerIn(zone string) bool {
	for i := range c.cfg.Peers {
		peer := &c.cfg.Peers[i]
		if p := c.peers[peer.Name]; peer.Zone == zone && p != nil && p.eligible(c.now) {
			return true
		}
	}
	return false
}

// countPeers counts the peers by what those that were heard lately said of themselves.
func (c *Controller) countPeers() leadership.Peers {
	count := leadership.Peers{Configured: len(c.cfg.Peers)}
	for _, p := range c.peers {
		switch {
		case !p.fresh(c.now):
		case p.disconnected:
			count.Disconnected++
		case p.storeReachable:
			count.Eligible++
		}
	}
	return count
}
