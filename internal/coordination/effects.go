package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// Service identifies the destination of a call.
type Service uint8

// Destinations of calls.
const (
	StateService Service = iota + 1
	Cloud
	Worker
)

// Reply answers the request with the same ID.
type Reply struct {
	ID         uint64
	Status     int
	RetryAfter int  // seconds; 0: no Retry-After header
	Close      bool // close the connection after the reply
	Body       []byte
}

// Call is a request to send. Its outcome is passed to Controller.Result exactly once.
type Call struct {
	ID      uint64
	To      Service
	Addr    string // host:port if To is Worker, otherwise empty
	Method  string
	Target  string
	Body    []byte
	Timeout time.Duration
}

// Broadcast is a message to all peers. It may be lost.
type Broadcast struct{ Body []byte }

// Unicast is a message to one peer, by name. It may be lost.
type Unicast struct {
	To   string
	Body []byte
}

// Effects are the replies, calls, messages and spans that a step produced and that its caller must
// send or record. Each list is in the order in which its entries were produced.
type Effects struct {
	Replies    []Reply
	Calls      []Call
	Broadcasts []Broadcast
	Unicasts   []Unicast
	Spans      []Span
}

// Outcome is the result of a call. If Answered is false, no response was received: the request
// may have been carried out, or may be carried out later, unless NotSent says that it was never
// sent. Busy says that it was not sent because no local socket was free, which implies nothing about
// the destination.
type Outcome struct {
	Status   int
	Body     []byte
	Answered bool
	NotSent  bool
	Busy     bool
}

// requestCounts counts the requests received and calls sent since the last fleet utilization line in
// the log.
type requestCounts struct{ Heartbeats, StatusQueries, Submissions, StateCalls, CloudCalls, WorkerCalls int }

// takeEffects ends a step: it delivers local messages, sends the writes and orders that are due,
// repeats this if new local messages result, and returns the step's effects.
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

// refuse answers a request with an error and a Retry-After of one second.
func (c *Controller) refuse(id uint64, status int, reason string) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: status, RetryAfter: 1, Body: protocol.EncodeError(reason)})
}

// call sends a request; done runs in the step that receives its outcome. Requests to the state
// service must go through Controller.store instead.
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

// Span is a completed operation, for tracing. The core reports spans when they have ended, and
// does not depend on whether they are recorded.
type Span struct {
	Name        string
	From, Until time.Time
	Attributes  []Attribute
	Parts       []Span
}

// Attribute is a property of a span.
type Attribute struct{ Key, Value string }
