package coordination

import (
	"testing"

	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/golden"
)

// Messages between controllers are encoded as earlier versions encoded them.
func TestPeerMessageEncodings(t *testing.T) {
	golden.Check(t, []golden.Case{
		{File: "peer_full.json", Value: &peers.Message{Sender: "n1", StoreReachable: true, Disconnected: true, WorkersUnreachable: true, Term: 41,
			Progress: map[string]peers.JobProgress{"run-000001": {3, 4}, "run-000002": {}}, Done: map[string]int{"run-000003": 5}, Cancelled: map[string]int{"run-000004": 6}}},
		{File: "peer_least.json", Value: &peers.Message{}},
		{File: "shard_instructions.json", Value: &shard.Message{From: "n1", Instructions: &shard.Instructions{TerminatedMachines: []string{"vm-1"}}}},
		{File: "shard_observations.json", Value: &shard.Message{From: "n1", Observations: &shard.Observations{Orphans: []shard.AttemptID{{Machine: "vm-1"}}}}},
		{File: "shard_least.json", Value: &shard.Message{}},
	})
}
