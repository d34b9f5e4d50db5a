package records

import "encoding/base64"

// TaskEntry is a block's entry for a task that was started and isn't done.
type TaskEntry struct {
	Offset  int    `json:"i"`           // within the block
	Attempt uint64 `json:"a"`           // number of the latest attempt; never reused
	Machine string `json:"m,omitempty"` // on which the attempt may be live
}

// TaskBlock is the record of a block of consecutive tasks of a job. A task in neither Done nor
// Tasks was never started.
type TaskBlock struct {
	Done  string      `json:"d,omitempty"` // completed tasks, as a base64 bit set
	Tasks []TaskEntry `json:"t,omitempty"`
	// Migrated are the tasks that were migrated in a surge of their team, as a base64 bit set.
	Migrated string `json:"m,omitempty"`
	Surge    uint64 `json:"s,omitempty"` // number of that surge
}

// SetDone records which tasks are done.
func (b *TaskBlock) SetDone(done []bool) { b.Done = packBits(done) }

// DoneTasks returns which tasks of a block of n tasks are done.
func (b *TaskBlock) DoneTasks(n int) ([]bool, error) { return unpackBits(b.Done, n) }

// SetMigrated records which tasks were migrated in a surge. If there are none, the number of the
// surge isn't recorded either.
func (b *TaskBlock) SetMigrated(surge uint64, migrated []bool) {
	if b.Migrated = packBits(migrated); b.Migrated != "" {
		b.Surge = surge
	}
}

// MigratedTasks returns which tasks of a block of n tasks were migrated.
func (b *TaskBlock) MigratedTasks(n int) ([]bool, error) { return unpackBits(b.Migrated, n) }

// packBits encodes a bit set in base64, or as the empty string if no bit is set.
func packBits(set []bool) string {
	empty := true
	bits := make([]byte, (len(set)+7)/8)
	for i, on := range set {
		if on {
			bits[i/8] |= 1 << (i % 8)
			empty = false
		}
	}
	if empty {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(bits)
}

// unpackBits decodes a bit set of n bits that packBits encoded.
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

// Size limits of a block: the bytes of its record besides the tasks, and the maximum number of bytes
// that one task with a long machine name and a high attempt number takes.
const (
	blockOverheadBytes = 512
	bytesPerTask       = 72

	minTasksPerBlock = 4
	maxTasksPerBlock = 96
)

// TasksPerBlock returns how many tasks fit into a value of the state service.
func TasksPerBlock(valueBytes int) int {
	return max(minTasksPerBlock, min(maxTasksPerBlock, (valueBytes-blockOverheadBytes)/bytesPerTask))
}
