package simulator

import (
	"fmt"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// migrationInvariant follows, by the records alone, which tasks were moved in which surge.
type migrationInvariant struct {
	marksByRecord map[string]map[migratedTask]bool // by record: the marks that stand there now
	moves         map[migratedTask]int             // times that a mark was set
	stops         int                              // tasks that were told to stop while they fetched or ran
}

// migratedTask is a task that is on record as moved in a surge.
type migratedTask struct {
	job   string
	task  int
	surge uint64
}

func newMigrationInvariant() *migrationInvariant {
	return &migrationInvariant{marksByRecord: map[string]map[migratedTask]bool{}, moves: map[migratedTask]int{}}
}

// observe takes a change in the state service. A mark that is set once more says that a leader
// moved a task which another one had moved in the same surge.
func (k *migrationInvariant) observe(c *Cluster, op protocol.Op) {
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
	moved, err := r.MigratedTasks(size)
	if err != nil {
		c.reportViolation("unreadable_mark", "%s", op.Put)
		return
	}
	before, now := k.marksByRecord[op.Put], map[migratedTask]bool{}
	for i, on := range moved {
		if !on {
			continue
		}
		t := migratedTask{job, chunk*size + i, r.Surge}
		now[t] = true
		if before[t] {
			continue
		}
		if k.moves[t]++; k.moves[t] > 1 {
			c.reportViolation("moved_twice", "%s/%d in surge %d", t.job, t.task, t.surge)
		}
	}
	k.marksByRecord[op.Put] = now
}

// Migrations tells how many tasks were moved, by the records, and how often tasks were stopped.
func (c *Cluster) Migrations() string {
	return fmt.Sprintf("moved=%d stops=%d", len(c.migrations.moves), c.migrations.stops)
}
