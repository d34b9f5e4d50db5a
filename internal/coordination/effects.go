package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// Service is whom a call goes to.
type Service uint8

// Services that a controller calls.
const (
	StateService Service = iota + 1
	Cloud
	Worker
)

// Reply answers the request with the same ID.
type Reply struct {
	ID         uint64
	Status     int
	RetryAfter int  // seconds; 0 for none
	Close      bool // the connection ends with it
	Body       []byte
}

// Call is a request to be sent. Its outcome comes back through Controller.Result, once.
type Call struct {
	ID      uint64
	To      Service
	Addr    string // host:port of a worker; empty for the others
	Method  string
	Target  string
	Body    []byte
	Timeout time.Duration
}

// Broadcast is a message to every peer. It may be lost.
type Broadcast struct{ Body []byte }

// Unicast is a message to one peer, by name. It may be lost.
type Unicast struct {
	To   string
	Body []byte
}

// Effects is what one step asks for, each list in order.
type Effects struct {
	Replies    []Reply
	Calls      []Call
	Broadcasts []Broadcast
	Unicasts   []Unicast
	Spans      []Span
}

// Outcome is what came of a call. Answered is false when no response came:
// the request may or may not have been carried out, now or later, unless
// NotSent says that it never left. Busy says that it didn't for want of
// sockets here, which tells nothing of the other side.
type Outcome struct {
	Status   int
	Body     []byte
	Answered bool
	NotSent  bool
	Busy     bool
}

// requestCounts counts requests in and calls out, for the log.
type requestCounts struct{ Heartbeats, StatusQueries, Submissions, StateCalls, CloudCalls, WorkerCalls int }

// takeEffects ends a step: what it left to be written, ordered and delivered goes out, and its
// effects are handed over.
func (c *Controller) takeEffects() Effects {
	for again := true; again; again = len(c.localMessages) > 0 {
		c.deliverLocalMessages()
		if c.leader != nil {
			c.leader.finishStep()
		}
		if s := c.sharding; s != nil && s.owner != nil {
			s.owner.flushOrders()
		}
	}
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// reply answers a request.
func (c *Controller) reply(id uint64, status int, body []byte) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: status, Body: body})
}

// refuse sends a client away for a second.
func (c *Controller) refuse(id uint64, status int, reason string) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: status, RetryAfter: 1, Body: protocol.EncodeError(reason)})
}

// call sends a request; done runs in the step that takes its outcome. Requests to the state
// service go through store.
func (c *Controller) call(to Service, addr, method, target string, body []byte, timeout time.Duration, done func(Outcome)) {
	c.lastCallID++
	c.pendingCalls[c.lastCallID] = done
	switch to {
	case StateService:
		c.requestCounts.StateCalls++
	case Cloud:
		c.requestCounts.CloudCalls++
	case Worker:
		c.requestCounts.WorkerCalls++
	}
	c.effects.Calls = append(c.effects.Calls, Call{ID: c.lastCallID, To: to, Addr: addr, Method: method, Target: target,
		Body: body, Timeout: timeout})
}

// Span is a stretch of time in which something was carried out, for tracing. The core tells of
// spans that are over; whether anybody keeps them is not its business.
type Span struct {
	Name        string
	From, Until time.Time
	Attributes  []Attribute
	Parts       []Span
}

// Attribute says something of a span.
type Attribute struct{ Key, Value string }
