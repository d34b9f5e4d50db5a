package records

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys of the election of a leader, under one prefix so that one watch tells of them all.
const (
	PrefixElection   = "e/"
	KeyLeader        = "e/leader" // bound to the leader's lease
	KeyTerm          = "e/term"
	KeyPreferredZone = "e/prefer"
	KeySharded       = "e/sharded" // there while machines are divided into shards
)

// Prefixes of what is kept of jobs and may be changed by any controller. All of it lies under
// PrefixJobs, so that one watch tells the leader of submissions and of cancellations.
const (
	PrefixJobs    = "b/"
	PrefixActive  = "b/q/"
	PrefixOutcome = "b/f/"
)

// Keys and prefixes of what the leader alone writes.
const (
	PrefixTaskBlocks    = "c/"
	PrefixMachineGroups = "m/"
	KeyMachineTypes     = "t/types" // a list of protocol.MachineType
	PrefixSurges        = "u/"
	KeySurges           = "u/surges"
)

// Prefixes of what is kept of shards. All of it lies under PrefixShards, so that one watch
// tells of owners and of members.
const (
	PrefixShards  = "s/"
	PrefixOwners  = "s/o/"
	PrefixMembers = "s/m/" // bound to the members' leases
)

// KeyOwner is where the record of who owns a shard lies.
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

// KeyMember is where a controller that may own shards records itself, bound to its lease.
func KeyMember(controller string) string { return PrefixMembers + controller }

// KeyActive is where an unfinished job's record lies.
func KeyActive(job string) string { return PrefixActive + job }

// KeyOutcome is where a job's final state lies. It is created once and never
// overwritten (every write of it demands its absence), so whoever reads it may
// tell the user: nothing can contradict it later.
func KeyOutcome(job string) string { return PrefixOutcome + job }

// KeyTaskBlock is where the attempts of one run of a job's tasks lie.
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

// KeyMachineGroup is where the record of some rented machines lies, by the term of the
// leader that wrote it first and a counter of its own. Machines of a shard have it in the
// key, so that no late write of the record changes it; 0 is none. Keys with a shard come
// first in a list.
func KeyMachineGroup(shard int, term, counter uint64) string {
	if shard == 0 {
		return fmt.Sprintf("%st%d-%d", PrefixMachineGroups, term, counter)
	}
	return fmt.Sprintf("%ss%04d/t%d-%d", PrefixMachineGroups, shard, term, counter)
}

// ShardOfGroupKey is the shard that a key of machines names, 0 for none.
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
