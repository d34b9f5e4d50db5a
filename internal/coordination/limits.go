package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
)

// Limits that follow from the settings, and what the shell reports of its own. The names of
// all limits, and what is done on reaching one, are in package limits.

// CountSocketLimits counts how often limits of the sockets were reached since the last call: answers
// that closed their connection, connections that were shed, and calls that got no socket.
func (c *Controller) CountSocketLimits(closed, shed, busy int) {
	c.limits.ReachedTimes(limits.ConnectionsClosed, closed)
	c.limits.ReachedTimes(limits.ConnectionsShed, shed)
	c.limits.ReachedTimes(limits.CallsWithoutSocket, busy)
}

// CountLostPeerMessages counts lines that peers missed since the last call, as they read too slowly.
func (c *Controller) CountLostPeerMessages(lines int) {
	c.limits.ReachedTimes(limits.PeerMessagesLost, lines)
}

// maxOpenRequests bounds the requests that wait for the state service. A check of polls serves
// half as many questions as a transaction has conditions, so those that wait are answered
// within about a second; half of the sockets are left for workers in any case.
func (c *Controller) maxOpenRequests() int {
	perCheck := c.maxConditions() / 2
	perSecond := int(time.Second / c.statusCheckInterval())
	return max(minOpenRequests, min(perCheck*perSecond, c.cfg.Sockets/2))
}

// minOpenRequests is allowed to wait however small the state service is.
const minOpenRequests = 400

// maxDeferredHeartbeats bounds the heartbeats that are deferred until there is a leader: each takes a socket.
func (c *Controller) maxDeferredHeartbeats() int { return c.cfg.Sockets / 2 }

// maxUnrecordedStarts bounds the placements that wait to be recorded, so that one round keeps
// nothing else waiting for long: two transactions full of block records, and as many as
// a small one's when transactions are small.
func (w *recordWriter) maxUnrecordedStarts() int {
	return max(minUnrecordedStarts, 2*w.leader.controller.cfg.TxnOps*w.tasksPerBlock)
}

// minUnrecordedStarts is the least that maxUnrecordedStarts is.
const minUnrecordedStarts = 2000

// maxUnannounced bounds the final states that wait to be told to peers: those of some seconds of
// all changes that the state service takes.
func (c *Controller) maxUnannounced() int {
	return max(minUnannounced, int(unannouncedSeconds*c.cfg.StateWriteRPS))
}

const (
	minUnannounced     = 5000
	unannouncedSeconds = 20
)

// logSampled logs what happened to one of many, at level info as far as package ratelog lets
// lines with the same message through.
func (c *Controller) logSampled(message string, args ...any) {
	c.sampler.Info(c.log, c.now, message, args...)
}
