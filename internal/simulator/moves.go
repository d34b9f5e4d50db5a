package simulator

import (
	"fmt"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// movesCheck follows, by the records alone, which tasks were moved in which surge.
type movesCheck struct {
	on    map[string]map[markedTask]bool // by record: the marks that stand there now
	times map[markedTask]int             // times that a mark was set
	stops int                            // tasks that were told to stop while they fetched or ran
}

// markedTask is a task that is on record as moved in a surge.
type markedTask struct {
	job   string
	task  int
	surge uint64
}

func newMovesCheck() *movesCheck {
	return &movesCheck{on: map[string]map[markedTask]bool{}, times: map[markedTask]int{}}
}

// note takes a change in the state service. A mark that is set once more says that a leader
// moved a task which another one had moved in the same surge.
func (k *movesCheck) note(c *Cluster, op protocol.Op) {
	job, chunk, ok := records.ParseChunkKey(op.Put)
	j := c.jobs[job]
	if !ok || j == nil {
		return
	}
	var r records.Chunk
	if protocol.Decode(op.Value, &r) != nil {
		return
	}
	size := records.ChunkSize(c.settings.ValueBytes)
	moved, err := r.IsMoved(size)
	if err != nil {
		c.breaks("unreadable_mark", "%s", op.Put)
		return
	}
	before, now := k.on[op.Put], map[markedTask]bool{}
	for i, on := range moved {
		if !on {
			continue
		}
		t := markedTask{job, chunk*size + i, r.Surge}
		now[t] = true
		if before[t] {
			continue
		}
		if k.times[t]++; k.times[t] > 1 {
			c.breaks("moved_twice", "%s/%d in surge %d", t.job, t.task, t.surge)
		}
	}
	k.on[op.Put] = now
}

// Moved tells how many tasks were moved, by the records, and how often tasks were stopped.
func (c *Cluster) Moved() string {
	return fmt.Sprintf("moved=%d stops=%d", len(c.moves.times), c.moves.stops)
}
