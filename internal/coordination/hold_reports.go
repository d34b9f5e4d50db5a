package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// heldReport is a worker's report that waits for a leader to be known.
type heldReport struct {
	id    uint64
	body  []byte
	until time.Time
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

// heldReports are reports that wait, in the order in which they came. All are held for the
// same time at the most, so that the first is the first to be given up.
type heldReports struct {
	list []heldReport
	wake *timer // at which the first one is given up
	// until is when a report is given up that was held before and is taken up again; zero
	// while none is.
	until time.Time
}

// take empties the list.
func (h *heldReports) take() []heldReport {
	list := h.list
	h.list = nil
	return list
}

// holdForLeader keeps a report until a leader is known. A worker that is sent to a
// machine without power waits there for 4 s, and where all controllers but one are
// silent it went from one to the next until its lease was over.
func (n *Node) holdForLeader(id uint64, body []byte) {
	if len(n.held.list) >= n.maxHeld() {
		n.bounds.hit(boundHeld)
		n.reply(id, 421, protocol.Redirect(""))
		return
	}
	until := n.held.until
	if until.IsZero() {
		until = n.now.Add(holdReport)
	}
	n.held.list = append(n.held.list, heldReport{id: id, body: body, until: until})
	n.wakeHeld()
}

// wakeHeld sets the timer for the report that is the first to be given up.
func (n *Node) wakeHeld() {
	if n.held.wake != nil || len(n.held.list) == 0 {
		return
	}
	n.held.wake = n.after(n.held.list[0].until.Sub(n.now), func() {
		n.held.wake = nil
		n.endHeld()
		n.wakeHeld()
	})
}

// endHeld gives up the reports that were held for long enough.
func (n *Node) endHeld() {
	h := &n.held
	for len(h.list) > 0 && !h.list[0].until.After(n.now) {
		n.reply(h.list[0].id, 421, protocol.Redirect(n.leaderName()))
		h.list = h.list[1:]
	}
}

// releaseHeld takes the reports that were held, now that a leader is known. One that
// has just been elected knows no cancellation yet, and must not answer.
func (n *Node) releaseHeld() {
	if len(n.held.list) == 0 || n.lead == nil && n.leaderDoubtful() || n.lead != nil && n.lead.known.IsZero() {
		return
	}
	for _, h := range n.held.take() {
		n.held.until = h.until
		n.report(h.id, h.body)
	}
	n.held.until = time.Time{}
}
