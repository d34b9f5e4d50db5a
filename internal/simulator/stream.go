package simulator

import "time"

// maxStreamMessages is how many messages may be in flight on a stream between two controllers.
// Messages beyond that are lost.
const maxStreamMessages = 16

// stream is the stream of messages from one controller to another. Messages arrive in the order in
// which they were sent, but some may be lost.
type stream struct {
	lastArrival time.Time // when the latest message arrives
	inFlight    int       // number of messages in flight
}

// sendPeerMessage sends a message on the stream to another controller.
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
		c.send(n.name, o.name, deliver) // the link has a fault: the message is held or lost
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
