package coordination

// A shard's owner as the holder of its lease (leadership.Holder).

// HoldsAuthority implements leadership.Holder.
func (o *shardOwner) HoldsAuthority() bool { return o.sharding.owner == o }

// RenewalSent implements leadership.Holder.
func (o *shardOwner) RenewalSent() {}

// LeaseRenewed implements leadership.Holder.
func (o *shardOwner) LeaseRenewed() {}

// LeaseExpired implements leadership.Holder.
func (o *shardOwner) LeaseExpired() {
	o.sharding.leave("its lease has ended")
	o.sharding.loadTable()
}
