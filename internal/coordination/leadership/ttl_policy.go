package leadership

import "time"

const (
	// changeWindow is how long a leader change lengthens the leases that controllers request.
	changeWindow = 15 * time.Second
	// maxRememberedChanges bounds the number of leader changes kept in memory. TTL needs three.
	maxRememberedChanges = 4
	// overloadWindow is how long a loss of leadership to overload lengthens the leases that this
	// controller requests.
	overloadWindow = 2 * time.Minute
)

// TTLPolicy sets the time to live of the lease that a candidate requests: twice the base
// after one or two recent leader changes, four times the base after three or more. Taking over
// a large fleet is the heaviest load on a leader. One that could not renew a short lease in
// time left the same work to its successor, and no leader ever completed it.
//
// A controller that recently lost leadership to overload requests four times the base. If its peers are
// down, it has twice as much work as before: a controller that alone served all workers of a fleet
// lost a short lease at every load peak, minutes apart.
//
// The absence of messages from peers counts as one leader change, because then no other controller is
// waiting for the lease to expire.
type TTLPolicy struct {
	base           time.Duration
	changes        []time.Time // times of leader changes, latest last
	overloadLossAt time.Time   // zero: never
}

// NewTTLPolicy returns a policy with the given minimum time to live and no history.
func NewTTLPolicy(base time.Duration) TTLPolicy { return TTLPolicy{base: base} }

// LeaderChanged records that a controller became leader.
func (p *TTLPolicy) LeaderChanged(now time.Time) {
	p.changes = append(p.changes, now)
	for len(p.changes) > 0 && (len(p.changes) > maxRememberedChanges || now.Sub(p.changes[0]) > changeWindow) {
		p.changes = p.changes[1:]
	}
}

// LostToOverload records that this controller lost leadership to overload.
func (p *TTLPolicy) LostToOverload(now time.Time) { p.overloadLossAt = now }

// TTL returns the time to live to request now. peersUnresponsive says that no message from another
// controller was received recently.
func (p *TTLPolicy) TTL(now time.Time, peersUnresponsive bool) time.Duration {
	if !p.overloadLossAt.IsZero() && now.Sub(p.overloadLossAt) < overloadWindow {
		return 4 * p.base
	}
	recent := 0
	if peersUnresponsive {
		recent = 1
	}
	for _, at := range p.changes {
		if now.Sub(at) <= changeWindow {
			recent++
		}
	}
	switch {
	case recent == 0:
		return p.base
	case recent < 3:
		return 2 * p.base
	}
	return 4 * p.base
}
