package simulator

import "time"

// maxStreamMessages is how many lines a stream between controllers keeps for a peer that reads
// slowly; what comes beyond is lost.
const maxStreamMessages = 16

// stream is what one controller tells another: lines arrive in the order in which they were
// told, though some may be lost.
type stream struct {
	lastArrival time.Time // when the last line arrives
	inFlight    int       // on their way
}

// sendPeerMessage puts a line on the stream to another controller.
func (n *controllerHost) sendPeerMessage(o *controllerHost, body []byte) {
	c, l := n.cluster, link{n.name, o.name}
	s := c.streams[l]
	if s == nil {
		s = &stream{}
		c.streams[l] = s
	}
	deliver := func() {
		if o.core != nil {
			o.runWhenIdle(func() { o.applyEffects(o.core.PeerMessage(c.now, body)) })
		}
	}
	if c.linkFaults[l] != nil {
		c.send(n.name, o.name, deliver) // it is cut: held, or lost
		return
	}
	at := c.now.Add(c.messageDelay())
	if at.Before(s.lastArrival) {
		at = s.lastArrival
	}
	if s.inFlight >= maxStreamMessages {
		return
	}
	s.lastArrival = at
	s.inFlight++
	c.after(at.Sub(c.now), func() {
		s.inFlight--
		deliver()
	})
}
