package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// Service is whom a call goes to.
type Service uint8

// Services a node calls.
const (
	State Service = iota + 1
	Cloud
	Worker
)

// Reply answers a request that came in.
type Reply struct {
	ID         uint64
	Status     int
	RetryAfter int // seconds; 0 for none
	Close      bool
	Body       []byte
}

// Call is a request to be sent. Its outcome comes back through Node.Result.
type Call struct {
	ID      uint64
	To      Service
	Addr    string // of a worker
	Method  string
	Target  string
	Body    []byte
	Timeout time.Duration
}

// Broadcast is told to every peer.
type Broadcast struct{ Body []byte }

// Unicast is told to one peer, by name. It may be lost.
type Unicast struct {
	To   string
	Body []byte
}

// Effects is what one step asks for, in order.
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
type requestCounts struct{ Reports, Polls, Submissions, ToState, ToCloud, ToWorkers int }

func (c *Controller) take() Effects {
	for again := true; again; again = len(c.localMessages) > 0 {
		c.deliverLocal()
		if c.leader != nil {
			c.leader.finishStep()
		}
		if s := c.sharding; s != nil && s.owner != nil {
			s.owner.flushOrders()
		}
	}
	out := c.effects
	c.effects = Effects{}
	return out
}

func (c *Controller) reply(id uint64, status int, body []byte) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: status, Body: body})
}

// refuse tells a client to come back.
func (c *Controller) refuse(id uint64, status int, reason string) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: status, RetryAfter: 1, Body: protocol.EncodeError(reason)})
}

func (c *Controller) call(to Service, addr, method, target string, body []byte, timeout time.Duration, done func(Outcome)) {
	c.lastCallID++
	c.pendingCalls[c.lastCallID] = done
	switch to {
	case State:
		c.requestCounts.ToState++
	case Cloud:
		c.requestCounts.ToCloud++
	case Worker:
		c.requestCounts.ToWorkers++
	}
	c.effects.Calls = append(c.effects.Calls, Call{ID: c.lastCallID, To: to, Addr: addr, Method: method, Target: target,
		Body: body, Timeout: timeout})
}
