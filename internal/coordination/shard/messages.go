package shard

import "brasskeel/internal/protocol"

// Task names an attempt at a task on a machine.
type Task struct {
	Machine   string `json:"m"`
	Job       string `json:"j"`
	TaskIndex int    `json:"i"`
	Attempt   uint64 `json:"a"`
}

// Start is an attempt that was recorded and may be started.
type Start struct {
	Task
	FirstNotice bool  `json:"f,omitempty"` // nobody was told of it before
	Stopping    bool  `json:"x,omitempty"` // it is to end
	GraceMillis int64 `json:"g,omitempty"` // milliseconds to save in
}

// Stop ends a task.
type Stop struct {
	Task
	GraceMillis int64 `json:"g,omitempty"`
}

// Machine is a machine of a shard and all attempts that may be on it.
type Machine struct {
	Shard            ID      `json:"s"`
	Term             uint64  `json:"t"` // of the grant under which it is to be served
	Name             string  `json:"n"`
	Addr             string  `json:"a,omitempty"`
	Type             string  `json:"y"`
	Zone             string  `json:"z"`
	Spot             bool    `json:"p,omitempty"`
	RegisteredBefore bool    `json:"u,omitempty"` // its worker was heard
	Starts           []Start `json:"r,omitempty"`
}

// Instructions is a message from the leader to an owner. It makes things faster and grants
// nothing: the owner follows it only while the state service says that the shard is its
// own, and what it tells to start was recorded before.
type Instructions struct {
	Header
	Machines           []Machine `json:"m,omitempty"`
	TerminatedMachines []string  `json:"x,omitempty"` // machines proven gone
	Starts             []Start   `json:"n,omitempty"`
	Stops              []Stop    `json:"o,omitempty"`
	Forgets            []Task    `json:"f,omitempty"` // whose results are recorded
}

// Worker is what an owner tells of a machine's worker.
type Worker struct {
	Machine          string `json:"m"`
	Shard            ID     `json:"s"`
	Incarnation      uint64 `json:"w"`
	Addr             string `json:"a,omitempty"`
	Type             string `json:"y"`
	Zone             string `json:"z"`
	Spot             bool   `json:"p,omitempty"`
	Reconciled       bool   `json:"c,omitempty"` // its tasks were compared with the leader's list
	Reached          bool   `json:"r,omitempty"` // something of the owner's arrived
	PreemptionMillis int64  `json:"n,omitempty"` // milliseconds until the cloud takes it; 0 without
	IncarnationReset bool   `json:"b,omitempty"` // it lost its memory
}

// TaskState is a task's state as its worker reported it.
type TaskState struct {
	Task
	State protocol.TaskState `json:"s"`
}

// Exit is an exited task.
type Exit struct {
	Task
	Reason       protocol.ExitReason `json:"w"`
	Checkpointed bool                `json:"k,omitempty"`
}

// Termination is a proof that an attempt is gone and can't start any more. It holds for good; the
// leader takes it only from who owns the shard, under the term that it names.
type Termination struct {
	Task
	Reason string `json:"w"`
}

// UnhealthyWorker is a worker that is silent, or that nothing reaches, times in milliseconds.
type UnhealthyWorker struct {
	Machine          string `json:"m"`
	SilentMillis     int64  `json:"s"`
	UnreachedMillis  int64  `json:"u"`
	UnansweredMillis int64  `json:"r"`
	FailedProbes     int    `json:"f"` // calls in a row without an answer
}

// Observations is a message from an owner to the leader.
type Observations struct {
	Header
	// Grants are the shards served, and the terms under which all of this was observed.
	ServedTerms  map[ID]uint64 `json:"t"`
	Workers      []Worker      `json:"w,omitempty"`
	TaskStates   []TaskState   `json:"u,omitempty"`
	Exits        []Exit        `json:"e,omitempty"`
	Terminations []Termination `json:"d,omitempty"`
	Orphans      []Task        `json:"y,omitempty"` // tasks that the leader didn't tell of
	// Status is sent every second: all workers but the late ones are well.
	Status *Status `json:"l,omitempty"`
}

// Status is how an owner and its workers are. One with many late workers comes in parts.
type Status struct {
	Load      Load              `json:"l"`
	Unhealthy []UnhealthyWorker `json:"s,omitempty"`
	Part      int               `json:"p,omitempty"` // from 0
	More      bool              `json:"o,omitempty"` // another part follows
}
