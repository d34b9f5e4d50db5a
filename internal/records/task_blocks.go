package records

import "encoding/base64"

// TaskEntry is what a block keeps of a task that was started and isn't done.
type TaskEntry struct {
	Offset  int    `json:"i"`           // within the block
	Attempt uint64 `json:"a"`           // the latest number; never used again
	Machine string `json:"m,omitempty"` // where the attempt may be live
}

// TaskBlock is the record of a run of consecutive tasks of a job. A task in neither list was
// never started.
type TaskBlock struct {
	Done  string      `json:"d,omitempty"` // bit set, base64
	Tasks []TaskEntry `json:"t,omitempty"`
	// Migrated are the tasks that were migrated in a surge of their team: bit set, base64.
	Migrated string `json:"m,omitempty"`
	Surge    uint64 `json:"s,omitempty"` // that surge
}

// SetDone packs the done tasks.
func (b *TaskBlock) SetDone(done []bool) { b.Done = packBits(done) }

// DoneTasks unpacks the done tasks of a block of n.
func (b *TaskBlock) DoneTasks(n int) ([]bool, error) { return unpackBits(b.Done, n) }

// SetMigrated packs the tasks that were moved in a surge.
func (b *TaskBlock) SetMigrated(surge uint64, moved []bool) {
	if b.Migrated = packBits(moved); b.Migrated != "" {
		b.Surge = surge
	}
}

// MigratedTasks unpacks the moved tasks of a block of n.
func (b *TaskBlock) MigratedTasks(n int) ([]bool, error) { return unpackBits(b.Migrated, n) }

// packBits makes a bit set, empty when none is set.
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

// unpackBits is the inverse of packBits for a set of n.
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

// Bounds of a block: bytes beside its tasks, and bytes of one with a long machine name and a
// high attempt number at the most.
const (
	blockOverheadBytes = 512
	bytesPerTask       = 72

	minTasksPerBlock = 4
	maxTasksPerBlock = 96
)

// TasksPerBlock is how many tasks fit a value of the state service.
func TasksPerBlock(valueBytes int) int {
	return max(minTasksPerBlock, min(maxTasksPerBlock, (valueBytes-blockOverheadBytes)/bytesPerTask))
}
