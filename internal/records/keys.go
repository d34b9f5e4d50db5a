package records

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys of the leader election. They share a prefix so that one watch covers them all.
const (
	PrefixElection   = "e/"
	KeyLeader        = "e/leader" // bound to the leader's lease
	KeyTerm          = "e/term"
	KeyPreferredZone = "e/prefer"
	KeySharded       = "e/sharded" // exists while machines are divided into shards
)

// Prefixes of the job records that any controller may write. They all begin with PrefixJobs,
// so that one watch informs the leader of submissions and cancellations.
const (
	PrefixJobs    = "b/"
	PrefixActive  = "b/q/"
	PrefixOutcome = "b/f/"
)

// Keys and prefixes of the records that only the leader writes.
const (
	PrefixTaskBlocks    = "c/"
	PrefixMachineGroups = "m/"
	KeyMachineTypes     = "t/types" // a list of protocol.MachineType
	PrefixSurges        = "u/"
	KeySurges           = "u/surges"
)

// Prefixes of shard records. They all begin with PrefixShards, so that one watch covers owners
// and members.
const (
	PrefixShards  = "s/"
	PrefixOwners  = "s/o/"
	PrefixMembers = "s/m/" // bound to the members' leases
)

// KeyOwner returns the key of the record of a shard's owner.
func KeyOwner(shard int) string { return fmt.Sprintf("%s%04d", PrefixOwners, shard) }

// ParseOwnerKey is the inverse of KeyOwner.
func ParseOwnerKey(key string) (shard int, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixOwners)
	if !ok {
		return 0, false
	}
	shard, err := strconv.Atoi(rest)
	return shard, err == nil && shard > 0
}

// KeyMember returns the key under which a controller that may own shards registers. The key is
// bound to the controller's lease.
func KeyMember(controller string) string { return PrefixMembers + controller }

// KeyActive returns the key of an unfinished job's record.
func KeyActive(job string) string { return PrefixActive + job }

// KeyOutcome returns the key of a job's final state. The key is created once and never
// overwritten (every write is conditional on its absence), so a controller that has read it
// may report it to the user: no later write can contradict it.
func KeyOutcome(job string) string { return PrefixOutcome + job }

// KeyTaskBlock returns the key of the record of one block of a job's tasks.
func KeyTaskBlock(job string, block int) string {
	return fmt.Sprintf("%s%s/%05d", PrefixTaskBlocks, job, block)
}

// ParseTaskBlockKey is the inverse of KeyTaskBlock.
func ParseTaskBlockKey(key string) (job string, block int, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixTaskBlocks)
	if !ok {
		return "", 0, false
	}
	job, number, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	block, err := strconv.Atoi(number)
	return job, block, err == nil && block >= 0
}

// KeyMachineGroup returns the key of the record of a group of machines. It is made from the
// term of the leader that created the group and a counter that the leader keeps. The shard of the
// group's machines is part of the key, so that a delayed write of the record can't change it;
// 0 is no shard. Keys with a shard sort before those without.
func KeyMachineGroup(shard int, term, counter uint64) string {
	if shard == 0 {
		return fmt.Sprintf("%st%d-%d", PrefixMachineGroups, term, counter)
	}
	return fmt.Sprintf("%ss%04d/t%d-%d", PrefixMachineGroups, shard, term, counter)
}

// ShardOfGroupKey returns the shard that the key of a machine group names, or 0 for none.
func ShardOfGroupKey(key string) int {
	rest, _ := strings.CutPrefix(key, PrefixMachineGroups+"s")
	number, _, ok := strings.Cut(rest, "/")
	if !ok {
		return 0
	}
	shard, err := strconv.Atoi(number)
	if err != nil || shard < 0 {
		return 0
	}
	return shard
}
