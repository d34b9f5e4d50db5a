package coordination

import (
	"log/slog"
	"time"
)

// bound names a bound that has to stand, for memory, fairness or the protocol's sake. What
// is done on reaching one is defined where it is used; operators hear of it from the log.
type bound uint8

// The bounds, in the order in which they are logged.
const (
	boundWaiting   bound = iota // requests of users that wait for the state service
	boundHeld                   // reports that are held for a leader
	boundFinals                 // final states kept in memory
	boundKnown                  // accepted jobs kept in memory
	boundNews                   // final states that wait to be told to peers
	boundProgress               // jobs whose progress peers are told in one turn
	boundUnsaved                // placements that wait to be recorded
	boundOrders                 // orders in one message to a worker
	boundTasks                  // tasks on one machine
	boundList                   // machines in the cloud's list
	boundFence                  // raises of one worker's token
	boundTypes                  // bytes of the record of machine types
	boundLine                   // bytes of a line to a peer
	boundCrowded                // sockets: answers that ended their connection
	boundShed                   // sockets: connections closed to make room
	boundNoSockets              // sockets: calls given up while they waited for one
	boundLost                   // lines that a peer was too slow for
	boundServed                 // machines that this controller can serve on its share
	boundCeiling                // what a surging team may put on one machine
	boundCount
)

func (b bound) String() string {
	return [...]string{
		boundWaiting: "waiting requests", boundHeld: "held reports", boundFinals: "final states kept",
		boundKnown: "accepted jobs kept", boundNews: "final states to be told", boundProgress: "progress told",
		boundUnsaved: "placements to be recorded", boundOrders: "orders in a message", boundTasks: "tasks on a machine",
		boundList: "machines listed", boundFence: "raised tokens", boundTypes: "record of machine types",
		boundLine: "line to a peer", boundCrowded: "sockets, answers that closed", boundShed: "sockets, connections shed",
		boundNoSockets: "sockets, calls without one", boundServed: "machines served on this share",
		boundLost: "lines to a slow peer", boundCeiling: "ceiling of surging teams",
	}[b]
}

// consequence is what is done on reaching a bound.
func (b bound) consequence() string {
	return [...]string{
		boundWaiting: "users are sent away with Retry-After", boundHeld: "workers are sent on at once",
		boundFinals: "some are forgotten and read again when asked for", boundKnown: "all are forgotten and checked again when asked for",
		boundNews: "peers read them when they are asked", boundProgress: "the others follow in the next turns",
		boundUnsaved: "placement goes on when records are written", boundOrders: "the rest goes out with the next message",
		boundTasks: "others are placed elsewhere", boundList: "the list is not compared",
		boundFence: "only calls show whether the worker is reached", boundTypes: "other controllers ask the cloud for them",
		boundLine: "the line is dropped", boundCrowded: "clients dial again", boundShed: "clients dial again",
		boundNoSockets: "they are tried again", boundLost: "the peer misses them",
		boundServed: "fewer machines are rented, none while timers are late", boundCeiling: "a job's tasks go above it",
	}[b]
}

// boundsEvery is the least time between two lines about the same bound.
const boundsEvery = 30 * time.Second

// bounds counts how often bounds were reached.
type bounds struct {
	reached [boundCount]int       // since it was last told
	total   [boundCount]int       // since the start
	toldAt  [boundCount]time.Time // when a line told of it
}

// hit notes that a bound was reached.
func (b *bounds) hit(what bound) { b.hits(what, 1) }

func (b *bounds) hits(what bound, times int) {
	b.reached[what] += times
	b.total[what] += times
}

// tell logs the bounds that were reached, each in a line of its own at most every
// boundsEvery.
func (b *bounds) tell(log *slog.Logger, now time.Time) {
	for what := range boundCount {
		if b.reached[what] == 0 || !b.toldAt[what].IsZero() && now.Sub(b.toldAt[what]) < boundsEvery {
			continue
		}
		log.Warn("bound reached", "bound", what.String(), "times", b.reached[what], "inAll", b.total[what], "so", what.consequence())
		b.reached[what], b.toldAt[what] = 0, now
	}
}

// Sockets tells how often bounds of the sockets were reached since it was last told:
// answers that ended their connection, connections that were shed, and calls that got no
// socket.
func (c *Controller) Sockets(crowded, shed, busy int) {
	c.bounds.hits(boundCrowded, crowded)
	c.bounds.hits(boundShed, shed)
	c.bounds.hits(boundNoSockets, busy)
}

// PeerLinesLost tells how many lines peers missed since it was last told.
func (c *Controller) PeerLinesLost(lines int) { c.bounds.hits(boundLost, lines) }

// maxWaiting bounds the requests that wait for the state service. A check of polls serves
// half as many questions as a transaction has conditions, so those that wait are answered
// within about a second; half of the sockets are left for workers in any case.
func (c *Controller) maxWaiting() int {
	perCheck := c.maxConditions() / 2
	perSecond := int(time.Second / c.checkPause())
	return max(minWaiting, min(perCheck*perSecond, c.cfg.Sockets/2))
}

// minWaiting is allowed to wait however small the state service is.
const minWaiting = 400

// maxHeld bounds the reports that are held for a leader: each takes a socket.
func (c *Controller) maxHeld() int { return c.cfg.Sockets / 2 }

// maxUnsaved bounds the placements that wait to be recorded, so that one round keeps
// nothing else waiting for long: two transactions full of chunk records, and as many as
// a small one's when transactions are small.
func (g *journal) maxUnsaved() int { return max(minUnsaved, 2*g.l.controller.cfg.TxnOps*g.chunkTasks) }

// minUnsaved is the least that maxUnsaved is.
const minUnsaved = 2000

// maxNews bounds the final states that wait to be told to peers: those of some seconds of
// all changes that the state service takes.
func (c *Controller) maxNews() int { return max(minNews, int(newsSeconds*c.cfg.StateWriteRPS)) }

const (
	minNews     = 5000
	newsSeconds = 20
)
