package coordination

import "time"

// drainInterval is how often a controller that drains looks whether it can give more up, and
// drainCampaignPause how long it doesn't campaign after it resigned.
const (
	drainInterval      = 200 * time.Millisecond
	drainCampaignPause = 20 * time.Second
	drainRecordRetry   = 300 * time.Millisecond
)

// Drain lets the controller give up what it has before a planned end: its shards move to
// others while jobs run, then the leadership passes on. It answers users as before. Nothing is
// given up that nobody else can take.
func (c *Controller) Drain(now time.Time) Effects {
	c.now = now
	if !c.draining {
		c.draining = true
		c.log.Info("controller drain started")
		if c.sharding != nil {
			c.sharding.startDraining()
		}
		c.drainStep()
	}
	return c.takeEffects()
}

// Drained reports whether the controller neither leads nor serves workers.
func (c *Controller) Drained() bool {
	return c.leader == nil && (c.sharding == nil || c.sharding.owner == nil || len(c.sharding.owner.shards) == 0)
}

// drainStep resigns the leadership once there is nothing else to give up.
func (c *Controller) drainStep() {
	servesShards := c.sharding != nil && c.sharding.owner != nil && len(c.sharding.owner.shards) > 0
	if c.leader != nil && !servesShards && !c.store.Unavailable() && c.peers.AnyEligible(c.now) {
		c.election.Resign("controller drained", drainCampaignPause)
	}
	c.after(drainInterval, c.drainStep)
}

// startDraining lets the leader know that this member is to own nothing.
func (s *sharding) startDraining() {
	s.draining = true
	if s.owner != nil {
		s.recordDraining(s.owner)
	}
}

// recordDraining lets the member's record say that it drains, however often it must be written.
func (s *sharding) recordDraining(own *shardOwner) {
	s.writeMemberRecord(own, func(applied bool) {
		if applied {
			return
		}
		s.controller.after(drainRecordRetry, func() {
			if s.owner == own {
				s.recordDraining(own)
			}
		})
	})
}
