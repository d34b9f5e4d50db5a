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
func (c *Controller) leaderDoubtful() bool {
	name := c.leaderName()
	if name == "" {
		return true
	}
	p := c.peers[name]
	if p == nil {
		return false
	}
	quiet := c.now.Sub(p.at)
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
func (c *Controller) holdForLeader(id uint64, body []byte) {
	if len(c.held.list) >= c.maxHeld() {
		c.limits.reached(limitHeldReports)
		c.reply(id, 421, protocol.Redirect(""))
		return
	}
	until := c.held.until
	if until.IsZero() {
		until = c.now.Add(holdReport)
	}
	c.held.list = append(c.held.list, heldReport{id: id, body: body, until: until})
	c.wakeHeld()
}

// wakeHeld sets the timer for the report that is the first to be given up.
func (c *Controller) wakeHeld() {
	if c.held.wake != nil || len(c.held.list) == 0 {
		return
	}
	c.held.wake = c.after(c.held.list[0].until.Sub(c.now), func() {
		c.held.wake = nil
		c.endHeld()
		c.wakeHeld()
	})
}

// endHeld gives up the reports that were held for long enough.
func (c *Controller) endHeld() {
	h := &c.held
	for len(h.list) > 0 && !h.list[0].until.After(c.now) {
		c.reply(h.list[0].id, 421, protocol.Redirect(c.leaderName()))
		h.list = h.list[1:]
	}
}

// releaseHeld takes the reports that were held, now that a leader is known. One that
// has just been elected knows no cancellation yet, and must not answer.
func (c *Controller) releaseHeld() {
	if len(c.held.list) == 0 || c.leader == nil && c.leaderDoubtful() || c.leader != nil && c.leader.jobsKnownAt.IsZero() {
		return
	}
	for _, h := range c.held.take() {
		c.held.until = h.until
		c.heartbeat(h.id, h.body)
	}
	c.held.until = time.Time{}
}
