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
	OpenRequests           Limit = iota // requests of users that wait for the state service
	DeferredHeartbeats                  // heartbeats that wait for a leader
	CachedOutcomes                      // final states kept in memory
	CachedAcceptedJobs                  // accepted jobs kept in memory
	OutcomesToBroadcast                 // final states that wait to be announced to peers
	ProgressToBroadcast                 // jobs whose progress peers are told in one turn
	UnrecordedPlacements                // placements that wait to be recorded
	OrdersPerMessage                    // orders in one message to a worker
	TasksPerMachine                     // tasks on one machine
	InventoryMachines                   // machines in the cloud's list
	FencingTokenRaises                  // raises of one worker's fencing token
	MachineTypesRecordSize              // bytes of the record of machine types
	PeerMessageSize                     // bytes of a message to a peer
	ConnectionsClosed                   // sockets: answers that ended their connection
	ConnectionsShed                     // sockets: connections closed to make room
	CallsWithoutSocket                  // sockets: calls given up while they waited for one
	PeerMessagesLost                    // messages that a peer was too slow for
	ServedMachines                      // machines that this controller can serve on its share of a processor
	SurgeCeiling                        // what a surging team may put on one machine
	limitCount
)

// descriptions of the limits. Operators search the log for the names.
var descriptions = [limitCount]struct{ name, consequence string }{
	OpenRequests:           {"open requests", "users are sent away with Retry-After"},
	DeferredHeartbeats:     {"deferred heartbeats", "workers are redirected at once"},
	CachedOutcomes:         {"cached outcomes", "some are evicted and read again when asked for"},
	CachedAcceptedJobs:     {"cached accepted jobs", "all are evicted and checked again when asked for"},
	OutcomesToBroadcast:    {"outcomes to broadcast", "peers read them when they are asked"},
	ProgressToBroadcast:    {"progress to broadcast", "the others follow in the next turns"},
	UnrecordedPlacements:   {"unrecorded placements", "placement goes on when records are written"},
	OrdersPerMessage:       {"orders per message", "the rest goes out with the next message"},
	TasksPerMachine:        {"tasks per machine", "others are placed elsewhere"},
	InventoryMachines:      {"machines in the inventory", "the list is not compared"},
	FencingTokenRaises:     {"fencing token raises", "only calls show whether the worker is reached"},
	MachineTypesRecordSize: {"machine types record", "other controllers ask the cloud for them"},
	PeerMessageSize:        {"peer message size", "the message is dropped"},
	ConnectionsClosed:      {"sockets: connections closed after a response", "clients dial again"},
	ConnectionsShed:        {"sockets: connections shed", "clients dial again"},
	CallsWithoutSocket:     {"sockets: calls without a socket", "they are tried again"},
	PeerMessagesLost:       {"peer messages lost", "the peer misses them"},
	ServedMachines:         {"machines served on this processor share", "fewer machines are provisioned, none while overloaded"},
	SurgeCeiling:           {"surge ceiling", "a job's tasks go above it"},
}

// String is the name of the limit in the log.
func (l Limit) String() string { return descriptions[l].name }

// Consequence says what is done on reaching the limit.
func (l Limit) Consequence() string { return descriptions[l].consequence }

// LogInterval is the least time between two log lines about the same limit.
const LogInterval = 30 * time.Second

// Counters count how often limits were reached. The zero value is ready for use.
type Counters struct {
	sinceLogged [limitCount]int
	total       [limitCount]int
	loggedAt    [limitCount]time.Time // zero: never
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
	for l := range limitCount {
		if c.sinceLogged[l] == 0 || !c.loggedAt[l].IsZero() && now.Sub(c.loggedAt[l]) < LogInterval {
			continue
		}
		log.Warn("limit reached", "limit", l.String(), "count", c.sinceLogged[l], "total", c.total[l], "consequence", l.Consequence())
		c.sinceLogged[l], c.loggedAt[l] = 0, now
	}
}
