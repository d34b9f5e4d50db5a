package simulator

import (
	"fmt"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// migrationInvariant checks that no task is migrated twice in one surge. It reads only the migration
// marks in the records of the state service.
type migrationInvariant struct {
	marksByRecord map[string]map[migratedTask]bool // marks currently set, by record key
	markCounts    map[migratedTask]int             // how often each mark was set
	stops         int                              // stop orders for tasks that were fetching or running
}

// migratedTask identifies a task that is recorded as migrated in a surge.
type migratedTask struct {
	job   string
	task  int
	surge uint64
}

func newMigrationInvariant() *migrationInvariant {
	return &migrationInvariant{marksByRecord: map[string]map[migratedTask]bool{}, markCounts: map[migratedTask]int{}}
}

// observe checks a write to the state service. If a mark is set a second time, a leader has migrated
// a task that was already migrated in the same surge.
func (inv *migrationInvariant) observe(c *Cluster, op protocol.Op) {
	job, chunk, ok := records.ParseTaskBlockKey(op.Put)
	j := c.jobs[job]
	if !ok || j == nil {
		return
	}
	var r records.TaskBlock
	if protocol.Decode(op.Value, &r) != nil {
		return
	}
	size := records.TasksPerBlock(c.settings.MaxValueBytes)
	migrated, err := r.MigratedTasks(size)
	if err != nil {
		c.reportViolation("unreadable_mark", "migration marks of record %s cannot be decoded", op.Put)
		return
	}
	before, now := inv.marksByRecord[op.Put], map[migratedTask]bool{}
	for i, isMigrated := range migrated {
		if !isMigrated {
			continue
		}
		t := migratedTask{job, chunk*size + i, r.Surge}
		now[t] = true
		if before[t] {
			continue
		}
		if inv.markCounts[t]++; inv.markCounts[t] > 1 {
			c.reportViolation("moved_twice", "task %s/%d migrated again in surge %d", t.job, t.task, t.surge)
		}
	}
	inv.marksByRecord[op.Put] = now
}

// Migrations describes how many tasks were migrated according to the records, and how many stop
// orders reached tasks that were fetching or running, for whatever reason.
func (c *Cluster) Migrations() string {
	return fmt.Sprintf("moved=%d stops=%d", len(c.migrations.markCounts), c.migrations.stops)
}
