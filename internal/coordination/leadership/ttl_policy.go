package leadership

import "time"

const (
	// changeWindow is how long a change of leaders counts for the next one's lease.
	changeWindow = 15 * time.Second
	// maxRememberedChanges bounds the changes that are remembered.
	maxRememberedChanges = 4
	// overloadWindow is how long a leadership lost to overload counts.
	overloadWindow = 2 * time.Minute
)

// TTLPolicy sets the time to live of the lease that a candidate asks for: twice the base
// after a recent change of leaders, four times after three of them. A large fleet is most
// work for a new leader; one that couldn't renew a short lease in time left the same work to
// the next, and none ever got through with it.
//
// A controller that lost the leadership to overload has twice as much to do as before:
// alone with all workers of a fleet it lost each short lease to the next peak, minutes apart.
// And where no peer is heard, nobody waits for a short lease to expire.
type TTLPolicy struct {
	base           time.Duration
	changes        []time.Time // of the leadership, the latest last
	overloadLossAt time.Time   // zero: never
}

// NewTTLPolicy starts with the least time to live, and without any history.
func NewTTLPolicy(base time.Duration) TTLPolicy { return TTLPolicy{base: base} }

// LeaderChanged notes that somebody became leader.
func (p *TTLPolicy) LeaderChanged(now time.Time) {
	p.changes = append(p.changes, now)
	for len(p.changes) > 0 && (len(p.changes) > maxRememberedChanges || now.Sub(p.changes[0]) > changeWindow) {
		p.changes = p.changes[1:]
	}
}

// LostToOverload notes that this controller lost the leadership to overload.
func (p *TTLPolicy) LostToOverload(now time.Time) { p.overloadLossAt = now }

// TTL is the time to live to ask for now. peersSilent says that no other controller is heard.
func (p *TTLPolicy) TTL(now time.Time, peersSilent bool) time.Duration {
	if !p.overloadLossAt.IsZero() && now.Sub(p.overloadLossAt) < overloadWindow {
		return 4 * p.base
	}
	recent := 0
	if peersSilent {
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
