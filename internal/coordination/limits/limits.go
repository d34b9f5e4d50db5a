// Package limits names the limits that bound a controller's memory use, keep it fair, or
// follow from the protocol. It counts how often each limit is reached, and logs the counts at
// a bounded rate.
//
// The package owns the counters. It enforces no limit and reads no clock; its callers decide
// what to do when a limit is reached.
package limits

import (
	"log/slog"
	"time"
)

// Limit identifies one limit. Its String appears in the log.
type Limit uint8

// The limits, in the order in which they are logged.
const (
	OpenRequests           Limit = iota // user requests that wait for the state service
	DeferredHeartbeats                  // heartbeats that wait for a leader
	CachedOutcomes                      // final states kept in memory
	CachedAcceptedJobs                  // accepted jobs kept in memory
	OutcomesToBroadcast                 // final states that wait to be broadcast to peers
	ProgressToBroadcast                 // jobs whose progress fits into one round of broadcasts
	UnrecordedPlacements                // placements that wait to be recorded
	OrdersPerMessage                    // orders in one message to a worker
	TasksPerMachine                     // tasks on one machine
	InventoryMachines                   // machines in the cloud's list
	FencingTokenRaises                  // raises of one worker's fencing token
	MachineTypesRecordSize              // bytes of the machine types record
	PeerMessageSize                     // bytes of a message to a peer
	ConnectionsClosed                   // sockets: responses that closed their connection
	ConnectionsShed                     // sockets: connections closed to free sockets for others
	CallsWithoutSocket                  // sockets: calls abandoned while waiting for a socket
	PeerMessagesLost                    // messages dropped because a peer reads too slowly
	ServedMachines                      // machines that this controller can serve with its CPU share
	SurgeCeiling                        // share of one machine that a surging team's tasks may use
	limitCount
)

// descriptions holds the names and consequences of the limits for the log. Operators search
// the log for the names.
var descriptions = [limitCount]struct{ name, consequence string }{
	OpenRequests:           {"open requests", "further requests are refused with Retry-After"},
	DeferredHeartbeats:     {"deferred heartbeats", "workers are redirected at once"},
	CachedOutcomes:         {"cached outcomes", "some are evicted, and read again when requested"},
	CachedAcceptedJobs:     {"cached accepted jobs", "all are evicted, and checked again when requested"},
	OutcomesToBroadcast:    {"outcomes to broadcast", "peers read them from the state service when requested"},
	ProgressToBroadcast:    {"progress to broadcast", "the remaining jobs follow in the next rounds"},
	UnrecordedPlacements:   {"unrecorded placements", "placement continues when records are written"},
	OrdersPerMessage:       {"orders per message", "the rest is sent with the next message"},
	TasksPerMachine:        {"tasks per machine", "further tasks are placed on other machines"},
	InventoryMachines:      {"machines in the inventory", "the list is not compared with the known machines"},
	FencingTokenRaises:     {"fencing token raises", "only calls show whether the worker is reachable"},
	MachineTypesRecordSize: {"machine types record", "other controllers request them from the cloud"},
	PeerMessageSize:        {"peer message size", "the message is dropped"},
	ConnectionsClosed:      {"sockets: connections closed after a response", "clients reconnect"},
	ConnectionsShed:        {"sockets: connections shed", "clients reconnect"},
	CallsWithoutSocket:     {"sockets: calls without a socket", "the calls are retried"},
	PeerMessagesLost:       {"peer messages lost", "the peer does not receive them"},
	ServedMachines:         {"machines served on this processor share", "fewer machines are provisioned, none while overloaded"},
	SurgeCeiling:           {"surge ceiling", "a job's tasks exceed it"},
}

// String returns the name of the limit in the log.
func (l Limit) String() string { return descriptions[l].name }

// Consequence describes what happens when the limit is reached.
func (l Limit) Consequence() string { return descriptions[l].consequence }

// LogInterval is the minimum time between two log lines about the same limit.
const LogInterval = 30 * time.Second

// Counters count how often limits were reached. The zero value is ready for use.
type Counters struct {
	sinceLogged [limitCount]int
	total       [limitCount]int
	loggedAt    [limitCount]time.Time // zero: never
}

// Reached records that a limit was reached once.
func (c *Counters) Reached(l Limit) { c.ReachedTimes(l, 1) }

// ReachedTimes records that a limit was reached the given number of times, which may be 0.
func (c *Counters) ReachedTimes(l Limit, times int) {
	c.sinceLogged[l] += times
	c.total[l] += times
}

// Total returns how often a limit was reached since the process started.
func (c *Counters) Total(l Limit) int { return c.total[l] }

// Log logs one line for each limit that was reached since its last line, at most once per
// LogInterval.
func (c *Counters) Log(log *slog.Logger, now time.Time) {
	for l := range limitCount {
		if c.sinceLogged[l] == 0 || !c.loggedAt[l].IsZero() && now.Sub(c.loggedAt[l]) < LogInterval {
			continue
		}
		log.Warn("limit reached", "limit", l.String(), "count", c.sinceLogged[l], "total", c.total[l], "consequence", l.Consequence())
		c.sinceLogged[l], c.loggedAt[l] = 0, now
	}
}
