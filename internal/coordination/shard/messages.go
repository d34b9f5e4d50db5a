package shard

import "brasskeel/internal/protocol"

// AttemptID identifies an attempt at a task on a machine.
type AttemptID struct {
	Machine   string `json:"m"`
	Job       string `json:"j"`
	TaskIndex int    `json:"i"`
	Attempt   uint64 `json:"a"`
}

// Start is a recorded attempt that may be started.
type Start struct {
	AttemptID
	FirstNotice bool  `json:"f,omitempty"` // no owner was notified of it before
	Stopping    bool  `json:"x,omitempty"` // its stop was requested already
	GraceMillis int64 `json:"g,omitempty"` // time that it gets to save a checkpoint when it is stopped
}

// Stop is an attempt that is to be stopped.
type Stop struct {
	AttemptID
	GraceMillis int64 `json:"g,omitempty"`
}

// Machine is a machine of a shard and all attempts that may be on it.
type Machine struct {
	Shard            ID      `json:"s"`
	Term             uint64  `json:"t"` // of the ownership under which it is to be served
	Name             string  `json:"n"`
	Addr             string  `json:"a,omitempty"`
	Type             string  `json:"y"`
	Zone             string  `json:"z"`
	Spot             bool    `json:"p,omitempty"`
	RegisteredBefore bool    `json:"u,omitempty"` // its worker registered with the leader or an earlier owner
	Starts           []Start `json:"r,omitempty"`
}

// Instructions is a message from the leader to an owner. With it the owner needs to read no records
// of attempts. It grants no rights: the owner applies it only while the state service shows that it
// owns the shard, and attempts are recorded before the message lists them.
type Instructions struct {
	Header
	Machines           []Machine   `json:"m,omitempty"`
	TerminatedMachines []string    `json:"x,omitempty"` // machines that are proven terminated
	Starts             []Start     `json:"n,omitempty"`
	Stops              []Stop      `json:"o,omitempty"`
	Forgets            []AttemptID `json:"f,omitempty"` // exited attempts whose results are recorded, so that workers need not report them any longer
}

// Worker is the state of a machine's worker as its owner knows it.
type Worker struct {
	Machine          string `json:"m"`
	Shard            ID     `json:"s"`
	Incarnation      uint64 `json:"w"`
	Addr             string `json:"a,omitempty"`
	Type             string `json:"y"`
	Zone             string `json:"z"`
	Spot             bool   `json:"p,omitempty"`
	Reconciled       bool   `json:"c,omitempty"` // its tasks were compared with the leader's list
	Reached          bool   `json:"r,omitempty"` // it is proven that something sent by the owner reached it
	PreemptionMillis int64  `json:"n,omitempty"` // time until the cloud reclaims the machine; 0 without a preemption notice
	IncarnationReset bool   `json:"b,omitempty"` // it lost its state and restarted its incarnation numbers
}

// TaskState is the state of an attempt as its worker reported it.
type TaskState struct {
	AttemptID
	State protocol.TaskState `json:"s"`
}

// Exit is an attempt that exited.
type Exit struct {
	AttemptID
	Reason       protocol.ExitReason `json:"w"`
	Checkpointed bool                `json:"k,omitempty"`
}

// Termination reports that an attempt has certainly ended and can no longer be started. It is never
// withdrawn. The leader accepts it only from the shard's owner under the term that the message names.
type Termination struct {
	AttemptID
	Reason string `json:"w"`
}

// UnhealthyWorker is a worker whose owner is partly or completely out of contact with it, with the
// times that sessions.ContactLoss holds.
type UnhealthyWorker struct {
	Machine          string `json:"m"`
	UnseenMillis     int64  `json:"s"`
	UnreachedMillis  int64  `json:"u"`
	UnansweredMillis int64  `json:"r"`
	FailedProbes     int    `json:"f"` // consecutive probes without an answer
}

// Observations is a message from an owner to the leader.
type Observations struct {
	Header
	// ServedTerms are the served shards and the terms under which all of this was observed.
	ServedTerms  map[ID]uint64 `json:"t"`
	Workers      []Worker      `json:"w,omitempty"`
	TaskStates   []TaskState   `json:"u,omitempty"`
	Exits        []Exit        `json:"e,omitempty"`
	Terminations []Termination `json:"d,omitempty"`
	Orphans      []AttemptID   `json:"y,omitempty"` // reported attempts that the leader didn't list
	// Status is sent every second. Workers that it doesn't list are healthy.
	Status *Status `json:"l,omitempty"`
}

// Status is an owner's load and its unhealthy workers. If not all of these fit into one message, it
// is sent in parts.
type Status struct {
	Load      Load              `json:"l"`
	Unhealthy []UnhealthyWorker `json:"s,omitempty"`
	Part      int               `json:"p,omitempty"` // from 0
	More      bool              `json:"o,omitempty"` // another part follows
}
