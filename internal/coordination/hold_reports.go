package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// heldReport is a worker's report that waits for a leader to be known.
type heldReport struct {
	id   uint64
	body []byte
}

const (
	// holdReport is how long a report is held at the most: a worker waits 4 s, and an
	// election takes about a leader's lease.
	holdReport = 2500 * time.Millisecond
	// A leader tells its peers every second how it is. One heard lately that now says
	// nothing for leaderQuiet may have lost its power; one that said nothing for long is
	// rather cut off from this node alone.
	leaderQuiet  = 2200 * time.Millisecond
	leaderForget = 15 * time.Second
)

// leaderDoubtful reports whether nobody leads, or the leader has just fallen silent.
func (n *Node) leaderDoubtful() bool {
	name := n.leaderName()
	if name == "" {
		return true
	}
	p := n.peers[name]
	if p == nil {
		return false
	}
	quiet := n.now.Sub(p.at)
	return quiet > leaderQuiet && quiet < leaderForget
}

// holdForLeader keeps a report until a leader is known. A worker that is sent to a
// machine without power waits there for 4 s, and where all controllers but one are
// silent it went from one to the next until its lease was over.
func (n *Node) holdForLeader(id uint64, body []byte) {
	if len(n.held) >= n.cfg.Sockets/2 {
		n.reply(id, 421, protocol.Redirect(""))
		return
	}
	n.held = append(n.held, heldReport{id, body})
	n.after(holdReport, func() {
		for i, h := range n.held {
			if h.id == id {
				n.held = append(n.held[:i], n.held[i+1:]...)
				n.reply(id, 421, protocol.Redirect(n.leaderName()))
				return
			}
		}
	})
}

// releaseHeld takes the reports that were held, now that a leader is known. One that
// has just been elected knows no cancellation yet, and must not answer.
func (n *Node) releaseHeld() {
	if len(n.held) == 0 || n.lead == nil && n.leaderDoubtful() || n.lead != nil && n.lead.known.IsZero() {
		return
	}
	held := n.held
	n.held = nil
	for _, h := range held {
		n.report(h.id, h.body)
	}
}
