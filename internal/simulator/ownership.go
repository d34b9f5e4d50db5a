package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

const (
	recoveryTime = 30 * time.Second // time to recover after the last fault
	termBits     = 16               // number of bits below the term in a fencing token
)

// maxTimeUnserved is how long a reachable worker may go without a reply to its heartbeats once all
// faults have been over for recoveryTime.
func (c *Cluster) maxTimeUnserved() time.Duration { return c.settings.WorkerLease / 2 }

// setShards sets the shards per controller for controllers that start from now on. 0 disables
// sharding.
func (c *Cluster) setShards(perController int) { c.operator.Sharding = sharding(perController) }

// sharding returns the operators' setting for the given number of shards per controller, nil for 0.
func sharding(perController int) *config.Sharding {
	if perController == 0 {
		return nil
	}
	return &config.Sharding{ShardsPerController: perController}
}

// incarnationID identifies the running process of a controller, as distinct from earlier ones. It is
// empty for controllers that run as separate processes.
func (n *controllerHost) incarnationID() string {
	if n.remote != nil {
		return ""
	}
	return fmt.Sprintf("%s#%d", n.name, n.starts)
}

// checkFencingToken checks, when a worker accepts a controller's fencing token, that its term belongs
// to one incarnation of one controller only. Orders of two controllers with the same token could
// not be told apart. from is the incarnation ID.
func (c *Cluster) checkFencingToken(token uint64, from string) {
	if from == "" {
		return
	}
	term := token >> termBits
	if other := c.servedByTerm[term]; other != "" && other != from {
		c.reportViolation("two_owners", "workers accept orders of %s and %s under term %d", other, from, term)
	}
	c.servedByTerm[term] = from
}

// checkShardsAndHeartbeats checks that the records assign every machine to at most one shard and,
// once faults have been over for recoveryTime, that every reachable worker gets replies.
func (c *Cluster) checkShardsAndHeartbeats() {
	shardOf := map[string]int{}
	for _, kv := range c.state.withPrefix(records.PrefixMachineGroups) {
		id := records.ShardOfGroupKey(kv.Key)
		var r records.MachineGroup
		if id == 0 || protocol.Decode(kv.Value, &r) != nil {
			continue
		}
		for _, m := range r.Machines {
			if other, assigned := shardOf[m.Name]; assigned && other != id {
				c.reportViolation("two_shards", "%s is in shards %d and %d", m.Name, other, id)
			}
			shardOf[m.Name] = id
		}
	}
	if c.now.Sub(c.quiescentSince) < recoveryTime {
		return
	}
	for _, m := range c.cloud.machines {
		a := m.agent
		if a == nil || a.dead || a.hung || a.heartbeatsLost || c.now.Sub(m.bootedAt) < recoveryTime {
			continue
		}
		if unserved := c.now.Sub(laterOf(a.lastReply, c.quiescentSince)); unserved > c.maxTimeUnserved() {
			c.reportViolation("unserved", "%s got no reply to its heartbeats for %s", a.name, unserved.Round(time.Millisecond))
			a.lastReply = c.now
		}
	}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ShardCounts lists how many shards each controller owns according to the state service, and how
// many are being moved.
func (c *Cluster) ShardCounts() []string {
	owned, moving := map[string]int{}, 0
	for _, kv := range c.state.withPrefix(records.PrefixOwners) {
		var r shard.OwnerRecord
		if protocol.Decode(kv.Value, &r) != nil {
			continue
		}
		owned[r.Owner.Name]++
		if r.Next != nil {
			moving++
		}
	}
	var list []string
	for name, count := range owned {
		list = append(list, fmt.Sprintf("%s owns %d", name, count))
	}
	slices.Sort(list)
	if moving > 0 {
		list = append(list, fmt.Sprintf("%d move", moving))
	}
	return list
}

// Members lists the controllers that are members, and so may own shards, according to the state
// service.
func (c *Cluster) Members() []string {
	var list []string
	for _, kv := range c.state.withPrefix(records.PrefixMembers) {
		list = append(list, strings.TrimPrefix(kv.Key, records.PrefixMembers))
	}
	return list
}

// ShardOwners lists the shards and their owners according to the state service.
func (c *Cluster) ShardOwners() []string {
	var list []string
	for _, kv := range c.state.withPrefix(records.PrefixOwners) {
		var r shard.OwnerRecord
		if protocol.Decode(kv.Value, &r) == nil {
			list = append(list, fmt.Sprintf("%s %s", strings.TrimPrefix(kv.Key, records.PrefixOwners), r.Owner.Name))
		}
	}
	return list
}

// newDurationHistogram returns a histogram of durations from 1 ms to 10 minutes, with two
// significant digits.
func newDurationHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000, 2) }

// recordReplyInterval records the time between two replies to an agent.
func (c *Cluster) recordReplyInterval(d time.Duration) {
	_ = c.replyIntervals.RecordValue(min(d.Milliseconds(), 600_000)) // never fails: the value is within the histogram's range
}

// ReplyIntervals describes the distribution of the times between two replies to an agent.
func (c *Cluster) ReplyIntervals() string {
	at := func(q float64) string {
		return (time.Duration(c.replyIntervals.ValueAtQuantile(q)) * time.Millisecond).String()
	}
	return strings.Join([]string{"median " + at(50), "99% " + at(99), "most " + at(100)}, ", ")
}
