package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
)

// This file holds the limits that are derived from settings, and records how often limits outside
// the core were reached. Package limits has the names of all limits and what happens when one is
// reached.

// CountSocketLimits records how often socket limits were reached since the last call: closed
// counts responses that closed their connection, shed the connections that were closed to free
// sockets for others, and busy the calls that got no socket.
func (c *Controller) CountSocketLimits(closed, shed, busy int) {
	c.limits.ReachedTimes(limits.ConnectionsClosed, closed)
	c.limits.ReachedTimes(limits.ConnectionsShed, shed)
	c.limits.ReachedTimes(limits.CallsWithoutSocket, busy)
}

// CountLostPeerMessages records the number of messages that were dropped since the last call
// because a peer reads too slowly.
func (c *Controller) CountLostPeerMessages(messages int) {
	c.limits.ReachedTimes(limits.PeerMessagesLost, messages)
}

// maxOpenRequests bounds the requests that wait for the state service. A status check serves
// half as many queries as a transaction has conditions, so with this bound the waiting requests
// are answered within about a second. Half of the sockets are left for workers, as long as the other
// half is at least minOpenRequests.
func (c *Controller) maxOpenRequests() int {
	perCheck := c.maxConditions() / 2
	perSecond := int(time.Second / c.statusCheckInterval())
	return max(minOpenRequests, min(perCheck*perSecond, c.cfg.MaxSockets/2))
}

// minOpenRequests is the minimum of maxOpenRequests, however slow the state service is and however
// few sockets there are.
const minOpenRequests = 400

// maxDeferredHeartbeats bounds the heartbeats that wait until a leader is known, since each of
// them occupies a socket.
func (c *Controller) maxDeferredHeartbeats() int { return c.cfg.MaxSockets / 2 }

// maxUnrecordedPlacements bounds the placements that wait to be recorded, so that one placement
// round does not delay other writes for long. It allows the placements in as many block records as
// two full transactions hold, but at least minUnrecordedPlacements.
func (w *recordWriter) maxUnrecordedPlacements() int {
	return max(minUnrecordedPlacements, 2*w.leader.controller.cfg.MaxTxnOps*w.tasksPerBlock)
}

// minUnrecordedPlacements is the minimum of maxUnrecordedPlacements.
const minUnrecordedPlacements = 2000

// maxPendingAnnouncements bounds the final states that wait to be broadcast to peers: as many as the
// state service accepts writes in pendingAnnouncementSeconds, but at least minPendingAnnouncements.
func (c *Controller) maxPendingAnnouncements() int {
	return max(minPendingAnnouncements, int(pendingAnnouncementSeconds*c.cfg.StateWriteRPS))
}

const (
	minPendingAnnouncements    = 5000
	pendingAnnouncementSeconds = 20
)

// logSampled logs an event that may occur for many objects at once, at level info. Package ratelog
// limits the number of lines with the same message.
func (c *Controller) logSampled(message string, args ...any) {
	c.sampler.Info(c.log, c.now, message, args...)
}
