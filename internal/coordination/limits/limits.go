// Package limits names the limits that a controller keeps for the sake of memory, fairness or
// the protocol, counts how often each is reached, and logs that at a bounded rate.
//
// It owns the counters. It never decides what is done on reaching a limit (its callers do),
// reads no clock, and enforces nothing itself.
package limits

import (
	"log/slog"
	"time"
)

// Limit names one limit. Operators meet the names in the log.
type Limit uint8

// The limits, in the order in which they are logged.
const (
	OpenRequests         Limit = iota // requests of users that wait for the state service
	DeferredHeartbeats                // heartbeats that wait for a leader
	Outcomes                          // final states kept in memory
	AcceptedJobs                      // accepted jobs kept in memory
	Announcements                     // final states that wait to be announced to peers
	Progress                          // jobs whose progress peers are told in one turn
	UnrecordedPlacements              // placements that wait to be recorded
	OrdersPerMessage                  // orders in one message to a worker
	TasksPerMachine                   // tasks on one machine
	Inventory                         // machines in the cloud's list
	TokenRaises                       // raises of one worker's fencing token
	MachineTypesRecord                // bytes of the record of machine types
	PeerMessage                       // bytes of a message to a peer
	SocketsClosed                     // sockets: answers that ended their connection
	SocketsShed                       // sockets: connections closed to make room
	SocketsBusy                       // sockets: calls given up while they waited for one
	PeerMessagesLost                  // messages that a peer was too slow for
	ServedMachines                    // machines that this controller can serve on its share of a processor
	SurgeCeiling                      // what a surging team may put on one machine
	count
)

// descriptions of the limits. Operators search the log for the names.
var descriptions = [count]struct{ name, consequence string }{
	OpenRequests:         {"open requests", "users are sent away with Retry-After"},
	DeferredHeartbeats:   {"deferred heartbeats", "workers are redirected at once"},
	Outcomes:             {"cached outcomes", "some are evicted and read again when asked for"},
	AcceptedJobs:         {"cached accepted jobs", "all are evicted and checked again when asked for"},
	Announcements:        {"outcomes to broadcast", "peers read them when they are asked"},
	Progress:             {"progress to broadcast", "the others follow in the next turns"},
	UnrecordedPlacements: {"unrecorded placements", "placement goes on when records are written"},
	OrdersPerMessage:     {"orders per message", "the rest goes out with the next message"},
	TasksPerMachine:      {"tasks per machine", "others are placed elsewhere"},
	Inventory:            {"machines in the inventory", "the list is not compared"},
	TokenRaises:          {"fencing token raises", "only calls show whether the worker is reached"},
	MachineTypesRecord:   {"machine types record", "other controllers ask the cloud for them"},
	PeerMessage:          {"peer message size", "the message is dropped"},
	SocketsClosed:        {"sockets: connections closed after a response", "clients dial again"},
	SocketsShed:          {"sockets: connections shed", "clients dial again"},
	SocketsBusy:          {"sockets: calls without a socket", "they are tried again"},
	PeerMessagesLost:     {"peer messages lost", "the peer misses them"},
	ServedMachines:       {"machines served on this processor share", "fewer machines are provisioned, none while overloaded"},
	SurgeCeiling:         {"surge ceiling", "a job's tasks go above it"},
}

// String is the name of the limit in the log.
func (l Limit) String() string { return descriptions[l].name }

// Consequence says what is done on reaching the limit.
func (l Limit) Consequence() string { return descriptions[l].consequence }

// LogInterval is the least time between two log lines about the same limit.
const LogInterval = 30 * time.Second

// Counters count how often limits were reached. The zero value is ready for use.
type Counters struct {
	sinceLogged [count]int
	total       [count]int
	loggedAt    [count]time.Time // zero: never
}

// Reached counts that a limit was reached once.
func (c *Counters) Reached(l Limit) { c.ReachedTimes(l, 1) }

// ReachedTimes counts that a limit was reached some number of times, which may be 0.
func (c *Counters) ReachedTimes(l Limit, times int) {
	c.sinceLogged[l] += times
	c.total[l] += times
}

// Total is how often a limit was reached since the start.
func (c *Counters) Total(l Limit) int { return c.total[l] }

// Log logs the limits that were reached, each in a line of its own at most every LogInterval.
func (c *Counters) Log(log *slog.Logger, now time.Time) {
	for l := range count {
		if c.sinceLogged[l] == 0 || !c.loggedAt[l].IsZero() && now.Sub(c.loggedAt[l]) < LogInterval {
			continue
		}
		log.Warn("limit reached", "limit", l.String(), "count", c.sinceLogged[l], "total", c.total[l], "consequence", l.Consequence())
		c.sinceLogged[l], c.loggedAt[l] = 0, now
	}
}
