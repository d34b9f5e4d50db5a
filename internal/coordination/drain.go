package coordination

import "time"

// Times of a drain.
const (
	drainInterval      = 200 * time.Millisecond // between checks whether leadership can be resigned
	drainCampaignPause = 20 * time.Second       // after the resignation, until the controller may campaign again
	drainRecordRetry   = 300 * time.Millisecond // until a failed write of the member record is retried
)

// Drain prepares the controller for a planned shutdown: its shards move to other controllers
// while jobs continue to run, then it resigns leadership. It still serves users. It keeps shards
// and leadership as long as no other controller can take them over.
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

// drainStep resigns leadership if the controller owns no shards, reaches the state service, and has
// an eligible peer. It is repeated every drainInterval, as the controller may be elected again.
func (c *Controller) drainStep() {
	servesShards := c.sharding != nil && c.sharding.owner != nil && len(c.sharding.owner.shards) > 0
	if c.leader != nil && !servesShards && !c.store.Unavailable() && c.peers.AnyEligible(c.now) {
		c.election.Resign("controller drained", drainCampaignPause)
	}
	c.after(drainInterval, c.drainStep)
}

// startDraining marks this controller as draining, and records that in its member record, so that
// the leader moves its shards away.
func (s *sharding) startDraining() {
	s.draining = true
	if s.owner != nil {
		s.recordDraining(s.owner)
	}
}

// recordDraining writes to the member record that the member is draining, and retries until that
// succeeds or the membership ends.
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
