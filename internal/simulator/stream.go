package simulator

import "time"

// streamLines is how many lines a stream between controllers keeps for a peer that reads
// slowly; what comes beyond is lost.
const streamLines = 16

// stream is what one controller tells another: lines arrive in the order in which they were
// told, though some may be lost.
type stream struct {
	last  time.Time // when the last line arrives
	lines int       // on their way
}

// sendLine puts a line on the stream to another controller.
func (n *controllerHost) sendLine(o *controllerHost, body []byte) {
	c, l := n.cluster, link{n.name, o.name}
	s := c.streams[l]
	if s == nil {
		s = &stream{}
		c.streams[l] = s
	}
	deliver := func() {
		if o.core != nil {
			o.whenFree(func() { o.apply(o.core.PeerMessage(c.now, body)) })
		}
	}
	if c.links[l] != nil {
		c.send(n.name, o.name, deliver) // it is cut: held, or lost
		return
	}
	at := c.now.Add(c.delay())
	if at.Before(s.last) {
		at = s.last
	}
	if s.lines >= streamLines {
		return
	}
	s.last = at
	s.lines++
	c.after(at.Sub(c.now), func() {
		s.lines--
		deliver()
	})
}
