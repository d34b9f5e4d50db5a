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
	recoveryTime = 30 * time.Second // after the last trouble
	termBits     = 16               // of a token, below the term that it was drawn under
)

// maxTimeUnserved is how long a worker that can be reached may go without an answer once all
// troubles have been over for recoveryTime.
func (c *Cluster) maxTimeUnserved() time.Duration { return c.settings.WorkerLease / 2 }

// setShards says into how many shards for each controller machines are divided by controllers
// that start from now on; 0 for none.
func (c *Cluster) setShards(perController int) { c.operator.Sharding = sharding(perController) }

// sharding is the operators' setting for that many shards per controller, nil for none.
func sharding(perController int) *config.Sharding {
	if perController == 0 {
		return nil
	}
	return &config.Sharding{ShardsPerController: perController}
}

// incarnationID names a node's process, and not another one of the same node; nothing where that
// can't be told, as of processes of their own.
func (n *controllerHost) incarnationID() string {
	if n.remote != nil {
		return ""
	}
	return fmt.Sprintf("%s#%d", n.name, n.starts)
}

// checkFencingToken notes that a worker followed a controller under a token. A term belongs to one life
// of one controller: orders of two under one token could not be told apart.
func (c *Cluster) checkFencingToken(token uint64, from string) {
	if from == "" {
		return
	}
	term := token >> termBits
	if by := c.servedByTerm[term]; by != "" && by != from {
		c.reportViolation("two_owners", "workers follow %s and %s under term %d", by, from, term)
	}
	c.servedByTerm[term] = from
}

// checkShardOwners checks, once troubles are over, that every machine is in one shard on record at
// the most and that every worker is served.
func (c *Cluster) checkShardOwners() {
	in := map[string]int{}
	for _, it := range c.state.withPrefix(records.PrefixMachineGroups) {
		id := records.ShardOfGroupKey(it.Key)
		var r records.MachineGroup
		if id == 0 || protocol.Decode(it.Value, &r) != nil {
			continue
		}
		for _, m := range r.Machines {
			if other, there := in[m.Name]; there && other != id {
				c.reportViolation("two_shards", "%s is in shards %d and %d", m.Name, other, id)
			}
			in[m.Name] = id
		}
	}
	if c.now.Sub(c.quiescentSince) < recoveryTime {
		return
	}
	for _, h := range c.cloud.machines {
		w := h.agent
		if w == nil || w.dead || w.hung || w.heartbeatsLost || c.now.Sub(h.bootedAt) < recoveryTime {
			continue
		}
		if unserved := c.now.Sub(laterOf(w.lastReply, c.quiescentSince)); unserved > c.maxTimeUnserved() {
			c.reportViolation("unserved", "%s got no answer for %s", w.name, unserved.Round(time.Millisecond))
			w.lastReply = c.now
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ShardCounts lists who owns how many shards, as the state service has it, and which move.
func (c *Cluster) ShardCounts() []string {
	owned, moving := map[string]int{}, 0
	for _, it := range c.state.withPrefix(records.PrefixOwners) {
		var r shard.OwnerRecord
		if protocol.Decode(it.Value, &r) != nil {
			continue
		}
		owned[r.Owner.Name]++
		if r.Next != nil {
			moving++
		}
	}
	var list []string
	for node, count := range owned {
		list = append(list, fmt.Sprintf("%s owns %d", node, count))
	}
	slices.Sort(list)
	if moving > 0 {
		list = append(list, fmt.Sprintf("%d move", moving))
	}
	return list
}

// Members lists the controllers that may own shards, as the state service has it.
func (c *Cluster) Members() []string {
	var list []string
	for _, it := range c.state.withPrefix(records.PrefixMembers) {
		list = append(list, strings.TrimPrefix(it.Key, records.PrefixMembers))
	}
	return list
}

// ShardOwners lists the shards and who owns them, as the state service has it.
func (c *Cluster) ShardOwners() []string {
	var list []string
	for _, it := range c.state.withPrefix(records.PrefixOwners) {
		var r shard.OwnerRecord
		if protocol.Decode(it.Value, &r) == nil {
			list = append(list, fmt.Sprintf("%s %s", strings.TrimPrefix(it.Key, records.PrefixOwners), r.Owner.Name))
		}
	}
	return list
}

// Times between two answers to a worker are kept from a millisecond to ten minutes, to a
// hundredth.
func newDurationHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000, 2) }

func (c *Cluster) recordReplyInterval(d time.Duration) {
	_ = c.replyIntervals.RecordValue(min(d.Milliseconds(), 600_000)) // within its range
}

// ReplyIntervals tells the distribution of times between two answers to a worker.
func (c *Cluster) ReplyIntervals() string {
	at := func(q float64) string {
		return (time.Duration(c.replyIntervals.ValueAtQuantile(q)) * time.Millisecond).String()
	}
	return strings.Join([]string{"median " + at(50), "99% " + at(99), "most " + at(100)}, ", ")
}
