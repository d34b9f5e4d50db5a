package coordination

import "time"

// leaveStep is how often a controller that is to be drained looks whether it can give more
// up, and leavePause how long it doesn't stand for election after it gave the lead up.
const (
	leaveStep  = 200 * time.Millisecond
	leavePause = 20 * time.Second
)

// Drain lets the controller give up what it has before a planned end: its shards move to
// others while jobs run, then the lead passes on. It answers users as before. Nothing is
// given up that nobody else can take.
func (n *Node) Drain(now time.Time) Effects {
	n.now = now
	if !n.draining {
		n.draining = true
		n.log.Info("draining this controller")
		if n.sharding != nil {
			n.sharding.drain()
		}
		n.drainStep()
	}
	return n.take()
}

// Drained reports whether the controller neither leads nor serves workers.
func (n *Node) Drained() bool {
	return n.lead == nil && (n.sharding == nil || n.sharding.own == nil || len(n.sharding.own.held) == 0)
}

// drainStep gives up the lead once there is nothing else to give up.
func (n *Node) drainStep() {
	servesShards := n.sharding != nil && n.sharding.own != nil && len(n.sharding.own.held) > 0
	if n.lead != nil && !servesShards && !n.storeDown() && n.fitPeer() {
		n.resign("this controller is drained", leavePause)
	}
	n.after(leaveStep, n.drainStep)
}

// fitPeer reports whether a peer was heard lately that may lead.
func (n *Node) fitPeer() bool {
	for _, p := range n.peers {
		if p.storeOK && !p.unfit && n.now.Sub(p.at) < 2500*time.Millisecond {
			return true
		}
	}
	return false
}

// drain lets the leader know that this member is to own nothing.
func (s *sharding) drain() {
	s.draining = true
	if s.own != nil {
		s.tellDraining(s.own)
	}
}

// tellDraining lets the member's record say that it drains, however often it must be written.
func (s *sharding) tellDraining(own *shardOwner) {
	s.writeMember(own, func(applied bool) {
		if !applied {
			s.n.after(300*time.Millisecond, func() {
				if s.own == own {
					s.tellDraining(own)
				}
			})
		}
	})
}
