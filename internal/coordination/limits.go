package coordination

import (
	"log/slog"
	"time"
)

// limit names a bound that has to stand, for memory, fairness or the protocol's sake. What
// is done on reaching one is defined where it is used; operators hear of it from the log.
type limit uint8

// The bounds, in the order in which they are logged.
const (
	limitOpenRequests   limit = iota // requests of users that wait for the state service
	limitHeldReports                 // reports that are held for a leader
	limitOutcomes                    // final states kept in memory
	limitAccepted                    // accepted jobs kept in memory
	limitAnnouncements               // final states that wait to be told to peers
	limitProgress                    // jobs whose progress peers are told in one turn
	limitUnsaved                     // placements that wait to be recorded
	limitOrders                      // orders in one message to a worker
	limitTasks                       // tasks on one machine
	limitInventory                   // machines in the cloud's list
	limitTokenRaises                 // raises of one worker's token
	limitTypesRecord                 // bytes of the record of machine types
	limitPeerLine                    // bytes of a line to a peer
	limitSocketsClosed               // sockets: answers that ended their connection
	limitSocketsShed                 // sockets: connections closed to make room
	limitSocketsBusy                 // sockets: calls given up while they waited for one
	limitPeerLinesLost               // lines that a peer was too slow for
	limitServedMachines              // machines that this controller can serve on its share
	limitSurgeCeiling                // what a surging team may put on one machine
	limitCount
)

func (b limit) String() string {
	return [...]string{
		limitOpenRequests: "waiting requests", limitHeldReports: "held reports", limitOutcomes: "final states kept",
		limitAccepted: "accepted jobs kept", limitAnnouncements: "final states to be told", limitProgress: "progress told",
		limitUnsaved: "placements to be recorded", limitOrders: "orders in a message", limitTasks: "tasks on a machine",
		limitInventory: "machines listed", limitTokenRaises: "raised tokens", limitTypesRecord: "record of machine types",
		limitPeerLine: "line to a peer", limitSocketsClosed: "sockets, answers that closed", limitSocketsShed: "sockets, connections shed",
		limitSocketsBusy: "sockets, calls without one", limitServedMachines: "machines served on this share",
		limitPeerLinesLost: "lines to a slow peer", limitSurgeCeiling: "ceiling of surging teams",
	}[b]
}

// consequence is what is done on reaching a bound.
func (b limit) consequence() string {
	return [...]string{
		limitOpenRequests: "users are sent away with Retry-After", limitHeldReports: "workers are sent on at once",
		limitOutcomes: "some are forgotten and read again when asked for", limitAccepted: "all are forgotten and checked again when asked for",
		limitAnnouncements: "peers read them when they are asked", limitProgress: "the others follow in the next turns",
		limitUnsaved: "placement goes on when records are written", limitOrders: "the rest goes out with the next message",
		limitTasks: "others are placed elsewhere", limitInventory: "the list is not compared",
		limitTokenRaises: "only calls show whether the worker is reached", limitTypesRecord: "other controllers ask the cloud for them",
		limitPeerLine: "the line is dropped", limitSocketsClosed: "clients dial again", limitSocketsShed: "clients dial again",
		limitSocketsBusy: "they are tried again", limitPeerLinesLost: "the peer misses them",
		limitServedMachines: "fewer machines are rented, none while timers are late", limitSurgeCeiling: "a job's tasks go above it",
	}[b]
}

// limitLogInterval is the least time between two lines about the same bound.
const limitLogInterval = 30 * time.Second

// limitCounters counts how often bounds were reached.
type limitCounters struct {
	sinceLogged [limitCount]int       // since it was last told
	total       [limitCount]int       // since the start
	loggedAt    [limitCount]time.Time // when a line told of it
}

// reached notes that a bound was reached.
func (b *limitCounters) reached(what limit) { b.reachedTimes(what, 1) }

func (b *limitCounters) reachedTimes(what limit, times int) {
	b.sinceLogged[what] += times
	b.total[what] += times
}

// log logs the bounds that were reached, each in a line of its own at most every
// limitLogInterval.
func (b *limitCounters) log(log *slog.Logger, now time.Time) {
	for what := range limitCount {
		if b.sinceLogged[what] == 0 || !b.loggedAt[what].IsZero() && now.Sub(b.loggedAt[what]) < limitLogInterval {
			continue
		}
		log.Warn("bound reached", "bound", what.String(), "times", b.sinceLogged[what], "inAll", b.total[what], "so", what.consequence())
		b.sinceLogged[what], b.loggedAt[what] = 0, now
	}
}

// Sockets tells how often bounds of the sockets were reached since it was last told:
// answers that ended their connection, connections that were shed, and calls that got no
// socket.
func (c *Controller) Sockets(crowded, shed, busy int) {
	c.limits.reachedTimes(limitSocketsClosed, crowded)
	c.limits.reachedTimes(limitSocketsShed, shed)
	c.limits.reachedTimes(limitSocketsBusy, busy)
}

// PeerLinesLost tells how many lines peers missed since it was last told.
func (c *Controller) PeerLinesLost(lines int) { c.limits.reachedTimes(limitPeerLinesLost, lines) }

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

// maxDeferredHeartbeats bounds the reports that are held for a leader: each takes a socket.
func (c *Controller) maxDeferredHeartbeats() int { return c.cfg.Sockets / 2 }

// maxUnsaved bounds the placements that wait to be recorded, so that one round keeps
// nothing else waiting for long: two transactions full of chunk records, and as many as
// a small one's when transactions are small.
func (g *journal) maxUnsaved() int { return max(minUnsaved, 2*g.l.controller.cfg.TxnOps*g.chunkTasks) }

// minUnsaved is the least that maxUnsaved is.
const minUnsaved = 2000

// maxUnannounced bounds the final states that wait to be told to peers: those of some seconds of
// all changes that the state service takes.
func (c *Controller) maxUnannounced() int {
	return max(minUnannounced, int(unannouncedSeconds*c.cfg.StateWriteRPS))
}

const (
	minUnannounced     = 5000
	unannouncedSeconds = 20
)
