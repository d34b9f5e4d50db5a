package simulator

import (
	"slices"
	"time"
)

// Names of hosts on links, besides those of controllers and machines.
const (
	stateHost = "state"
	cloudHost = "cloud"
	usersHost = "users"
)

// link is the network in one direction, from one host to another.
type link struct{ from, to string }

// linkFault is a fault of a link. Messages are lost unless holdMessages is set.
type linkFault struct {
	holdMessages     bool     // hold messages and deliver them when the fault ends
	resetConnections bool     // connections fail at once
	held             []func() // deliveries of held messages
}

// messageDelay returns a random network delay for a message: 1 to 3 ms, and up to extraLinkDelay
// more.
func (c *Cluster) messageDelay() time.Duration {
	d := time.Millisecond + time.Duration(c.rng.Int64N(int64(2*time.Millisecond)))
	if c.extraLinkDelay > 0 {
		d += time.Duration(c.rng.Int64N(int64(c.extraLinkDelay)))
	}
	return d
}

// send delivers a message from one host to another after a network delay. On a faulty link it is
// held or lost.
func (c *Cluster) send(from, to string, deliver func()) {
	if fault := c.linkFaults[link{from, to}]; fault != nil {
		if fault.holdMessages {
			fault.held = append(fault.held, deliver)
		}
		return
	}
	c.after(c.messageDelay(), deliver)
}

// Cut interrupts the network between two hosts in both directions. With hold, messages are delivered
// when the cut ends; otherwise they are lost.
func (c *Cluster) Cut(a, b string, hold bool) {
	c.CutOneWay(a, b, hold)
	c.CutOneWay(b, a, hold)
}

// CutOneWay interrupts the link from one host to another, unless it has a fault already.
func (c *Cluster) CutOneWay(from, to string, hold bool) {
	if l := (link{from, to}); c.linkFaults[l] == nil {
		c.linkFaults[l] = &linkFault{holdMessages: hold}
		c.linkChanges++
	}
}

// ResetOneWay makes connections fail on the link from one host to another, also if the link has
// another fault already.
func (c *Cluster) ResetOneWay(from, to string) {
	c.CutOneWay(from, to, false)
	c.linkFaults[link{from, to}].resetConnections = true
	c.linkChanges++
}

// linkResets reports whether connections fail on the link from one host to another.
func (c *Cluster) linkResets(from, to string) bool {
	fault := c.linkFaults[link{from, to}]
	return fault != nil && fault.resetConnections
}

// Isolate cuts a controller off from the state service and the other controllers, but not from
// workers and users.
func (c *Cluster) Isolate(n *controllerHost) {
	c.Cut(n.name, stateHost, false)
	for _, p := range c.controllers {
		if p != n {
			c.Cut(n.name, p.name, false)
		}
	}
}

// IsolateRefused is like Isolate, except that the state service refuses the controller's requests
// instead of being unreachable.
func (c *Cluster) IsolateRefused(n *controllerHost) {
	c.state.refusedControllers[n.name] = true
	for _, p := range c.controllers {
		if p != n {
			c.Cut(n.name, p.name, false)
		}
	}
}

// Heal ends all link faults. Held messages are delivered in order.
func (c *Cluster) Heal() {
	c.heal(func(link) bool { return true })
}

// HealBetween ends the link faults between two hosts.
func (c *Cluster) HealBetween(a, b string) {
	c.heal(func(l link) bool { return l == link{a, b} || l == link{b, a} })
}

// heal ends the link faults that which selects, sorted by their links, so that equal runs draw equal
// delays.
func (c *Cluster) heal(which func(link) bool) {
	var list []link
	for l := range c.linkFaults {
		if which(l) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b link) int {
		if a.from != b.from {
			if a.from < b.from {
				return -1
			}
			return 1
		}
		if a.to < b.to {
			return -1
		}
		return 1
	})
	for _, l := range list {
		fault := c.linkFaults[l]
		delete(c.linkFaults, l)
		c.linkChanges++
		var delay time.Duration
		for _, f := range fault.held {
			delay = max(delay, c.messageDelay()) // never decreases, which keeps the sending order
			c.after(delay, f)
		}
	}
}

// respondFunc receives the response to a request. Status 0 means that the connection failed or that
// there was no response in time.
type respondFunc = func(status int, body []byte)

// ignoreResponse is a respondFunc that does nothing.
func ignoreResponse(int, []byte) {}

// request carries a request to a server and its response back. The server may respond at once, later
// or never; only its first response counts. done is called when the response arrives, or with
// status 0 if the connection fails.
func (c *Cluster) request(from, to string, serve func(respond respondFunc), done respondFunc) {
	if c.linkResets(from, to) {
		c.after(c.messageDelay(), func() { done(0, nil) })
		return
	}
	c.send(from, to, func() {
		answered := false
		serve(func(status int, body []byte) {
			if !answered {
				answered = true
				if c.linkResets(to, from) {
					c.after(c.messageDelay(), func() { done(0, nil) })
					return
				}
				c.send(to, from, func() { done(status, body) })
			}
		})
	})
}
