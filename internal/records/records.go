// Package records defines what the controllers keep in the state service
// and how much they may ask of it: keys, records, and request budgets.
package records

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"brasskeel/internal/protocol"
)

// Keys. Everything about jobs that other nodes may change lies under
// PrefixJobs, so that one watch tells the leader of submissions and of
// cancellations.
const (
	PrefixElection = "e/"
	KeyLeader      = "e/leader"
	KeyTerm        = "e/term"
	KeyPrefer      = "e/prefer"
	KeySharded     = "e/sharded" // there while machines are divided into shards

	PrefixJobs    = "b/"
	PrefixActive  = "b/q/"
	PrefixOutcome = "b/f/"

	PrefixChunks   = "c/"
	PrefixMachines = "m/"
	KeyTypes       = "t/types"

	PrefixSurges = "u/"
	KeySurges    = "u/surges"

	// Everything about shards lies under PrefixShards, so that one watch tells of
	// owners and of members.
	PrefixShards  = "s/"
	PrefixOwners  = "s/o/"
	PrefixMembers = "s/m/"
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
func KeyMember(node string) string { return PrefixMembers + node }

// KeyActive is where an unfinished job's record lies.
func KeyActive(job string) string { return PrefixActive + job }

// KeyOutcome is where a job's final state lies. It is created once and never
// overwritten (every write of it demands its absence), so whoever reads it may
// tell the user: nothing can contradict it later.
func KeyOutcome(job string) string { return PrefixOutcome + job }

// KeyChunk is where the attempts of one run of a job's tasks lie.
func KeyChunk(job string, chunk int) string {
	return fmt.Sprintf("%s%s/%05d", PrefixChunks, job, chunk)
}

// ParseChunkKey is the inverse of KeyChunk.
func ParseChunkKey(key string) (job string, chunk int, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixChunks)
	if !ok {
		return "", 0, false
	}
	job, number, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(number)
	return job, chunk, err == nil && chunk >= 0
}

// KeyMachines is where the record of some rented machines lies, by the term of the
// leader that wrote it first and a counter of its own. Machines of a shard have it in the
// key, so that no late write of the record changes it; 0 is none. Keys with a shard come
// first in a list.
func KeyMachines(shard int, term, counter uint64) string {
	if shard == 0 {
		return fmt.Sprintf("%st%d-%d", PrefixMachines, term, counter)
	}
	return fmt.Sprintf("%ss%04d/t%d-%d", PrefixMachines, shard, term, counter)
}

// ShardOfMachines is the shard that a key of machines names, 0 for none.
func ShardOfMachines(key string) int {
	rest, _ := strings.CutPrefix(key, PrefixMachines+"s")
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

// Leader is the record of who leads.
type Leader struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	Term uint64 `json:"term"`
	Boot uint64 `json:"boot"` // tells a process from its predecessor of the same name
}

// Term is the record of the highest term so far.
type Term struct {
	Term uint64 `json:"term"`
}

// Surge is the record of a team's surge that is under way.
type Surge struct {
	Number uint64  `json:"n"`     // never used again for the team
	Level  float64 `json:"level"` // CPUs that it usually wants
}

// Surges are the surges under way, by team.
type Surges map[string]Surge

// Prefer names the zone a leader reaches most machines from.
type Prefer struct {
	Zone string `json:"zone"`
}

// Job is the record of an accepted job.
type Job struct {
	Submitted int64         `json:"at"`    // Unix milliseconds
	Chunk     int           `json:"chunk"` // tasks per chunk record
	Spec      *protocol.Job `json:"spec"`
}

// Outcome is the record of a job's final state.
type Outcome struct {
	State string `json:"state"`
	Done  int    `json:"done,omitempty"` // tasks, for display
}

const (
	outcomeDone      = "done"
	outcomeCancelled = "cancelled"
)

// EncodeOutcome makes the record of a final state.
func EncodeOutcome(s protocol.JobState, done int) json.RawMessage {
	state := outcomeDone
	if s == protocol.Cancelled {
		state = outcomeCancelled
	}
	return Encode(Outcome{State: state, Done: done})
}

// DecodeOutcome reads a final state and the number of tasks done.
func DecodeOutcome(raw json.RawMessage) (s protocol.JobState, done int, err error) {
	var o Outcome
	if err := protocol.Decode(raw, &o); err != nil {
		return 0, 0, err
	}
	switch o.State {
	case outcomeDone:
		return protocol.Done, o.Done, nil
	case outcomeCancelled:
		return protocol.Cancelled, o.Done, nil
	}
	return 0, 0, errors.New("records: unknown outcome")
}

// Machines is the record of rented machines of one kind.
type Machines struct {
	Type     string    `json:"type"`
	Zone     string    `json:"zone"`
	Spot     bool      `json:"spot,omitempty"`
	Machines []Machine `json:"m"`

	// Of a record from before machines shared them, whose key ends with the name of
	// its machine.
	Rented int64 `json:"at,omitempty"`
}

// MachinesPerRecord is the number of machines whose record fits a value of the state
// service, with long names.
func MachinesPerRecord(valueBytes int) int {
	return max(4, min(50, (valueBytes-256)/104))
}

// Machine is one of them.
type Machine struct {
	Name   string `json:"n"`
	Rented int64  `json:"at"` // Unix milliseconds
	Addr   string `json:"a,omitempty"`
}

// TaskRecord is what a chunk keeps of a task that was started and isn't done.
type TaskRecord struct {
	Offset  int    `json:"i"` // within the chunk
	Attempt uint64 `json:"a"` // the latest; never used again
	Machine string `json:"m,omitempty"`
}

// Chunk is the record of a run of a job's tasks. A task in neither list was
// never started.
type Chunk struct {
	Done  string       `json:"d,omitempty"` // bit set, base64
	Tasks []TaskRecord `json:"t,omitempty"`
	// Moved are the tasks that were moved in a surge of their team: bit set, base64.
	Moved string `json:"m,omitempty"`
	Surge uint64 `json:"s,omitempty"` // that surge
}

// SetDone packs the done tasks.
func (c *Chunk) SetDone(done []bool) { c.Done = packBits(done) }

// IsDone unpacks the done tasks.
func (c *Chunk) IsDone(n int) ([]bool, error) { return unpackBits(c.Done, n) }

// SetMoved packs the tasks that were moved in a surge.
func (c *Chunk) SetMoved(surge uint64, moved []bool) {
	if c.Moved = packBits(moved); c.Moved != "" {
		c.Surge = surge
	}
}

// IsMoved unpacks the tasks that were moved.
func (c *Chunk) IsMoved(n int) ([]bool, error) { return unpackBits(c.Moved, n) }

// packBits makes a bit set, empty when none is set.
func packBits(set []bool) string {
	any := false
	bits := make([]byte, (len(set)+7)/8)
	for i, on := range set {
		if on {
			bits[i/8] |= 1 << (i % 8)
			any = true
		}
	}
	if !any {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(bits)
}

func unpackBits(packed string, n int) ([]bool, error) {
	set := make([]bool, n)
	bits, err := base64.RawStdEncoding.DecodeString(packed)
	if err != nil {
		return nil, err
	}
	for i := range set {
		set[i] = i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0
	}
	return set, nil
}

// bytesPerTask is the room one task needs in a chunk record at the most, with
// long machine names and high attempt numbers.
const bytesPerTask = 72

// ChunkSize is the number of tasks per chunk that fits a value of the state
// service.
func ChunkSize(valueBytes int) int {
	return max(4, min(96, (valueBytes-512)/bytesPerTask))
}

// Encode makes the value of a record.
func Encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil { // records hold only strings and finite numbers
		panic(err)
	}
	return raw
}

// Millis is a wall-clock instant as records keep it.
func Millis(t time.Time) int64 { return t.UnixMilli() }
