package simulator

import (
	"slices"
	"time"
)

// Names of hosts on links, besides those of nodes and machines.
const (
	stateHost = "state"
	cloudHost = "cloud"
	usersHost = "users"
)

// link is a direction between two hosts; cut is what happens on it.
type link struct{ from, to string }

type linkFault struct {
	holdMessages     bool // deliver when the cut ends
	resetConnections bool // connections fail at once
	held             []func()
}

// messageDelay is how long a message takes.
func (c *Cluster) messageDelay() time.Duration {
	d := time.Millisecond + time.Duration(c.rng.Int64N(int64(2*time.Millisecond)))
	if c.extraLinkDelay > 0 {
		d += time.Duration(c.rng.Int64N(int64(c.extraLinkDelay)))
	}
	return d
}

// send delivers a message from one host to another unless the link is cut.
func (c *Cluster) send(from, to string, deliver func()) {
	if k := c.linkFaults[link{from, to}]; k != nil {
		if k.holdMessages {
			k.held = append(k.held, deliver)
		}
		return
	}
	c.after(c.messageDelay(), deliver)
}

// Cut interrupts the network between two hosts, both ways. Held messages come
// late, others never.
func (c *Cluster) Cut(a, b string, hold bool) {
	c.CutOneWay(a, b, hold)
	c.CutOneWay(b, a, hold)
}

// CutOneWay interrupts what one host sends to another.
func (c *Cluster) CutOneWay(from, to string, hold bool) {
	if l := (link{from, to}); c.linkFaults[l] == nil {
		c.linkFaults[l] = &linkFault{holdMessages: hold}
		c.linkChanges++
	}
}

// ResetOneWay lets what one host sends to another end its connections.
func (c *Cluster) ResetOneWay(from, to string) {
	c.CutOneWay(from, to, false)
	c.linkFaults[link{from, to}].resetConnections = true
	c.linkChanges++
}

// linkResets reports whether connections fail on the way between two hosts.
func (c *Cluster) linkResets(from, to string) bool {
	k := c.linkFaults[link{from, to}]
	return k != nil && k.resetConnections
}

// Isolate cuts a node from the state service and the other nodes, not from
// workers and users.
func (c *Cluster) Isolate(n *controllerHost) {
	c.Cut(n.name, stateHost, false)
	for _, p := range c.controllers {
		if p != n {
			c.Cut(n.name, p.name, false)
		}
	}
}

// IsolateRefused is Isolate for a node that the state service answers, with a refusal.
func (c *Cluster) IsolateRefused(n *controllerHost) {
	c.state.refusedNodes[n.name] = true
	for _, p := range c.controllers {
		if p != n {
			c.Cut(n.name, p.name, false)
		}
	}
}

// Heal ends every cut; what was held arrives in order.
func (c *Cluster) Heal() {
	c.heal(func(link) bool { return true })
}

// HealBetween ends the cuts between two hosts.
func (c *Cluster) HealBetween(a, b string) {
	c.heal(func(l link) bool { return l == link{a, b} || l == link{b, a} })
}

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
		k := c.linkFaults[l]
		delete(c.linkFaults, l)
		c.linkChanges++
		var wait time.Duration
		for _, f := range k.held {
			wait = max(wait, c.messageDelay()) // in the order in which they were sent
			c.after(wait, f)
		}
	}
}

// respondFunc takes the response to a request; status 0 says that its connection failed, or
// that none came in time.
type respondFunc = func(status int, body []byte)

// ignoreResponse is for whoever doesn't wait for one.
func ignoreResponse(int, []byte) {}

// request carries a request to a server and its response back. The server may
// answer later, once, or never; done runs when the response arrives, with status
// 0 when the connection fails.
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
