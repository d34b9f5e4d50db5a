package coordination

// The leader as the holder of its lease (leadership.Holder).

// HoldsAuthority implements leadership.Holder.
func (l *leader) HoldsAuthority() bool { return l.alive() }

// RenewalSent implements leadership.Holder. A leader whose lease and grace period are over
// answers no worker any more, but keeps what it knows: in an outage the lease stands still,
// and once it is renewed after all, nobody else can have led meanwhile.
func (l *leader) RenewalSent() {
	if l.fenced || l.holdsLease() || l.jobsKnownAt.IsZero() {
		return
	}
	l.fenced = true
	l.controller.log.Warn("fenced until leader lease is renewed", "term", l.term)
}

// LeaseRenewed implements leadership.Holder.
func (l *leader) LeaseRenewed() { l.fenced = false }

// LeaseExpired implements leadership.Holder.
func (l *leader) LeaseExpired() { l.controller.election.StepDown("leader lease expired") }
