package coordination

import (
	"bytes"
	"errors"
	"time"

	"brasskeel/internal/protocol"
)

// peerView is what a peer last told of itself.
type peerView struct {
	at       time.Time
	storeOK  bool
	unfit    bool   // it led lately and reached too few machines
	blind    bool   // it lately lost most of the workers that it served
	term     uint64 // of a leader
	progress map[string]heardProgress
	pruned   time.Time // when old progress was last dropped
}

// peerMessage is what controllers tell one another. None of it is needed for
// the protocol's rules: those rest on the state service alone. Final states are told
// by who wrote them: they are created once and never overwritten, so they may be
// passed on to users like one's own, however late they come.
type peerMessage struct {
	Node     string                 `json:"node"`
	StoreOK  bool                   `json:"storeOK"`
	Unfit    bool                   `json:"unfit,omitempty"`
	Blind    bool                   `json:"blind,omitempty"`     // of an owner of shards
	Term     uint64                 `json:"term,omitempty"`      // of a leader
	Progress map[string]jobProgress `json:"progress,omitempty"`  // of some jobs
	Done     map[string]int         `json:"done,omitempty"`      // jobs, and their tasks done
	Ended    map[string]int         `json:"cancelled,omitempty"` // the same of cancelled ones
}

// Peer takes a message from another controller.
func (n *Node) Peer(now time.Time, body []byte) Effects {
	n.now = now
	if bytes.HasPrefix(body, shardLinePrefix) {
		n.peerShardLine(body)
		return n.take()
	}
	var m peerMessage
	if protocol.Decode(body, &m) == nil && m.Node != "" && m.Node != n.cfg.Name && n.isPeer(m.Node) {
		p := n.peers[m.Node]
		if p == nil {
			p = &peerView{}
			n.peers[m.Node] = p
		}
		p.at, p.storeOK, p.unfit, p.blind = now, m.StoreOK, m.Unfit, m.Blind
		p.takeProgress(&m, now)
		for job, done := range m.Done {
			n.admission.setFinal(job, protocol.Done, done)
		}
		for job, done := range m.Ended {
			n.admission.setFinal(job, protocol.Cancelled, done)
			// A leader that the state service refuses stops its tasks sooner for it.
			if l := n.lead; l != nil && l.jobs[job] != nil {
				l.jobOver(l.jobs[job], protocol.Cancelled)
			}
		}
		if n.lead != nil && m.Term > n.lead.term {
			n.stepDown("a peer leads with a later term")
		}
	}
	return n.take()
}

// peerShardLine takes a line about shards. Those of strangers and those that make no sense
// are counted, and the first is told of.
func (n *Node) peerShardLine(body []byte) {
	line, err := parseShardLine(body)
	if err == nil && !n.isPeer(line.Node) {
		err = errStranger
	}
	if err == nil {
		n.takeShardLine(line)
		return
	}
	n.oddLines++
	if n.oddLines == 1 {
		n.log.Warn("a peer's line is ignored", "err", err, "line", string(body[:min(len(body), 200)]))
	}
}

var errStranger = errors.New("not from a peer")

func (n *Node) isPeer(name string) bool {
	for i := range n.cfg.Peers {
		if n.cfg.Peers[i].Name == name {
			return true
		}
	}
	return false
}

// hearsPeer reports whether another node was heard lately.
func (n *Node) hearsPeer() bool {
	for _, p := range n.peers {
		if n.now.Sub(p.at) < 3*time.Second {
			return true
		}
	}
	return false
}

// peerReachesStore reports whether another node lately said that the state
// service serves it.
func (n *Node) peerReachesStore() bool {
	for _, p := range n.peers {
		if p.storeOK && n.now.Sub(p.at) < 3*time.Second {
			return true
		}
	}
	return false
}
