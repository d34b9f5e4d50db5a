package simulator

import (
	"slices"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination"
)

// controllerHost is the host of one controller.
type controllerHost struct {
	cluster          *Cluster
	name             string
	zone             string
	core             *coordination.Controller // nil while it is down, or if it runs as a separate process
	remote           remoteProcess            // nil if the core runs in this process
	starts           uint64                   // number of starts of the core
	tickEvent        *event
	tickAt           time.Time // when tickEvent fires
	lastRequestID    uint64
	pendingResponses map[uint64]func(status int, body []byte) // by request ID
	poweredOff       bool                                     // the host has no power and does not even refuse connections
	frozen           bool                                     // the process is suspended
	queued           []func()                                 // events that arrived while it was frozen
	busyUntil        time.Time                                // when it will have handled the events received so far
	tickQueued       bool                                     // a tick is waiting to be handled
}

// remoteProcess is a controller that runs as a separate process.
type remoteProcess interface {
	running() bool
	// request sends a request to the process and passes the response to respond, or status 0
	// if there is none within the timeout.
	request(method, target string, body []byte, timeout time.Duration, respond respondFunc)
}

// up reports whether the controller is running.
func (n *controllerHost) up() bool {
	if n.remote != nil {
		return n.remote.running()
	}
	return n.core != nil
}

// start starts the controller's core in this process.
func (n *controllerHost) start() {
	c := n.cluster
	n.starts++
	s := c.settings
	s.Name, s.Zone = n.name, n.zone
	for _, p := range c.controllers {
		if p != n {
			s.Peers = append(s.Peers, config.Peer{Name: p.name, Zone: p.zone})
		}
	}
	n.pendingResponses = map[uint64]func(int, []byte){}
	n.poweredOff = false
	// No two starts of any controllers have the same incarnation.
	incarnation := uint64(slices.Index(c.controllers, n)+1)<<32 | n.starts
	n.core = coordination.New(&s, c.operator, c.log.With("node", n.name), incarnation, c.now)
	n.applyEffects(n.core.Start(c.now))
}

// crash ends the controller without a shutdown.
func (n *controllerHost) crash() {
	n.core = nil
	n.pendingResponses = nil
	n.frozen, n.queued, n.tickQueued, n.busyUntil = false, nil, false, time.Time{}
	if n.tickEvent != nil {
		n.tickEvent.run = nil
		n.tickEvent = nil
	}
}

// request passes a request to the controller and its reply to respond. If the controller is down,
// respond is never called. timeout is how long the sender waits for a reply.
func (n *controllerHost) request(method, target string, body []byte, timeout time.Duration, respond respondFunc) {
	if n.remote != nil {
		n.remote.request(method, target, body, timeout, respond)
		return
	}
	if n.core == nil {
		return
	}
	n.runWhenIdle(func() {
		n.lastRequestID++
		n.cluster.digest.request(n, method, target, body)
		n.pendingResponses[n.lastRequestID] = respond
		n.applyEffects(n.core.Request(n.cluster.now, n.lastRequestID, method, target, body))
	})
}

// runWhenIdle runs f as soon as the controller has handled the events before it, unless it has
// crashed or restarted by then. f takes eventCost of the controller's time.
func (n *controllerHost) runWhenIdle(f func()) {
	c, core := n.cluster, n.core
	if c.eventCost == 0 {
		n.runUnlessFrozen(f)
		return
	}
	if n.busyUntil.Before(c.now) {
		n.busyUntil = c.now
	}
	c.after(n.busyUntil.Sub(c.now), func() {
		if n.core == core {
			n.runUnlessFrozen(f)
		}
	})
	n.busyUntil = n.busyUntil.Add(c.eventCost)
}

// runUnlessFrozen runs f now, or on thaw if the controller is frozen.
func (n *controllerHost) runUnlessFrozen(f func()) {
	if n.frozen {
		core := n.core
		n.queued = append(n.queued, func() {
			if n.core == core {
				f()
			}
		})
		return
	}
	f()
}

// freeze suspends the controller; events that arrive are queued until thaw.
func (n *controllerHost) freeze() { n.frozen = true }

// thaw resumes the controller and handles the queued events.
func (n *controllerHost) thaw() {
	n.frozen = false
	queued := n.queued
	n.queued = nil
	for _, f := range queued {
		if n.core != nil {
			f()
		}
	}
}

// applyEffects carries out the effects of one step of the core and schedules its next tick.
func (n *controllerHost) applyEffects(e coordination.Effects) {
	n.cluster.digest.effects(n, e)
	for _, reply := range e.Replies {
		if respond := n.pendingResponses[reply.ID]; respond != nil {
			delete(n.pendingResponses, reply.ID)
			respond(reply.Status, reply.Body)
		}
	}
	for _, call := range e.Calls {
		n.dispatchCall(call)
	}
	for _, broadcast := range e.Broadcasts {
		for _, peer := range n.cluster.controllers {
			if peer != n {
				n.sendPeerMessage(peer, broadcast.Body)
			}
		}
	}
	for _, unicast := range e.Unicasts {
		for _, peer := range n.cluster.controllers {
			if peer.name == unicast.To {
				n.sendPeerMessage(peer, unicast.Body)
			}
		}
	}
	n.scheduleTick()
}

// dispatchCall sends a call of the core and passes it the outcome, which is empty on timeout.
func (n *controllerHost) dispatchCall(call coordination.Call) {
	c, core := n.cluster, n.core
	finished := false
	finish := func(o coordination.Outcome) {
		if !finished && n.core == core {
			finished = true
			n.runWhenIdle(func() { n.applyEffects(core.Result(c.now, call.ID, o)) })
		}
	}
	c.after(call.Timeout, func() { finish(coordination.Outcome{}) })
	done := func(status int, body []byte) {
		finish(coordination.Outcome{Status: status, Body: body, Answered: status != 0})
	}
	switch call.To {
	case coordination.StateService:
		c.request(n.name, stateHost, func(respond respondFunc) { c.state.serve(n.name, call.Method, call.Target, call.Body, respond) }, done)
	case coordination.Cloud:
		c.request(n.name, cloudHost, func(respond respondFunc) { c.cloud.serve(n.name, call.Method, call.Target, call.Body, respond) }, done)
	case coordination.Worker:
		n.callAgent(call, done)
	}
}

// duplicateDelay is how long after the original a duplicate command is sent.
const duplicateDelay = 30 * time.Second

// callAgent sends a request to a machine's agent, and a duplicate later if it is a command and
// commands are to be duplicated.
func (n *controllerHost) callAgent(call coordination.Call, done respondFunc) {
	c := n.cluster
	a := c.agents[call.Addr] // in simulated time a worker's address is the name of its machine
	if a == nil {
		return
	}
	sent := c.now
	from := n.incarnationID()
	serve := func(respond respondFunc) { a.serve(from, call.Method, call.Body, sent, respond) }
	c.request(n.name, a.name, serve, done)
	if c.duplicateCommands && call.Method == "POST" {
		c.after(duplicateDelay, func() { c.send(n.name, a.name, func() { serve(ignoreResponse) }) })
	}
}

// scheduleTick schedules the core's next tick unless one is queued, or scheduled for an earlier or
// the same time.
func (n *controllerHost) scheduleTick() {
	if n.core == nil {
		return
	}
	next := n.core.NextTick()
	if n.tickQueued || next.IsZero() || n.tickEvent != nil && n.tickEvent.run != nil && !n.tickAt.After(next) {
		return
	}
	if n.tickEvent != nil {
		n.tickEvent.run = nil
	}
	core := n.core
	n.tickAt = next
	n.tickEvent = n.cluster.after(next.Sub(n.cluster.now), func() {
		n.tickEvent = nil
		if n.core == core {
			n.tickQueued = true
			n.runWhenIdle(func() {
				n.tickQueued = false
				n.applyEffects(core.Tick(n.cluster.now))
			})
		}
	})
}
