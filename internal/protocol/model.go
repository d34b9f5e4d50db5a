package protocol

import "time"

// Kind says how a job's tasks end.
type Kind uint8

// Kinds of jobs.
const (
	Batch   Kind = iota + 1 // independent tasks, each runs to completion
	Service                 // replicas run until the job is cancelled
	Gang                    // tasks that run to completion, all of them at once
)

// Priority orders jobs; a larger one goes first.
type Priority uint8

// Priorities of jobs.
const (
	Low Priority = iota + 1
	Standard
	Urgent
	Critical
)

// Job is an accepted job as its user described it.
type Job struct {
	ID           string   `json:"id"`
	Class        string   `json:"class"`
	Team         string   `json:"team"`
	Kind         Kind     `json:"kind"`
	Priority     Priority `json:"prio"`
	Tasks        int      `json:"tasks"`
	CPUs         float64  `json:"cpus"`
	GPUs         float64  `json:"gpus,omitempty"`
	MemoryGB     float64  `json:"mem"`
	Image        string   `json:"image"`
	ImageGB      float64  `json:"gb"`
	MachineTypes []string `json:"types,omitempty"` // allowed machine types; any when empty
	Zone         string   `json:"zone,omitempty"`  // the only allowed zone; any when empty
	OneZone      bool     `json:"oneZone,omitempty"`
	Spread       bool     `json:"spread,omitempty"` // at most half of the tasks in a zone
	AllowSpot    bool     `json:"spot,omitempty"`   // may use spot machines

	EstimatedRuntime   time.Duration `json:"est,omitempty"`
	CheckpointInterval time.Duration `json:"ckpt,omitempty"` // 0: the task never saves
	CheckpointDuration time.Duration `json:"save,omitempty"`
	Deadline           time.Duration `json:"deadline,omitempty"`
	HasDeadline        bool          `json:"hasDeadline,omitempty"`
}

// AllowsType reports whether the job may run on machines of the type.
func (j *Job) AllowsType(name string) bool {
	if len(j.MachineTypes) == 0 {
		return true
	}
	for _, t := range j.MachineTypes {
		if t == name {
			return true
		}
	}
	return false
}

// MachineType describes what the cloud rents.
type MachineType struct {
	Name             string        `json:"name"`
	CPUs             float64       `json:"cpus"`
	GPUs             float64       `json:"gpus,omitempty"`
	MemoryGB         float64       `json:"mem"`
	CacheGB          float64       `json:"cache"`
	FetchGBPerSecond float64       `json:"fetch"` // GB per second
	PricePerHour     float64       `json:"price"` // per hour
	SpotPricePerHour float64       `json:"spot"`
	BootTime         time.Duration `json:"boot"`
	Zones            []string      `json:"zones"`
}

// Fits reports whether one task of the job fits an empty machine of the type.
func (t *MachineType) Fits(j *Job) bool {
	return j.CPUs <= t.CPUs+Epsilon && j.GPUs <= t.GPUs+Epsilon && j.MemoryGB <= t.MemoryGB+Epsilon
}

// Epsilon absorbs what adding and subtracting decimal amounts leaves behind.
const Epsilon = 1e-9

// TaskState is a task's state as its worker reports it.
type TaskState uint8

// States of reported tasks.
const (
	Fetching TaskState = iota + 1
	Running
	Checkpointing
	Exited
)

// ExitReason tells why a reported task has ended.
type ExitReason uint8

// Reasons of exited tasks.
const (
	ExitNone ExitReason = iota
	ExitDone
	ExitStopped
	ExitError
	ExitNoCapacity
	ExitAlreadyRunning
	ExitUnknownTask
	ExitGangFailed // the rest of its gang ended or didn't come
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Job          string
	TaskIndex    int
	Attempt      uint64
	State        TaskState
	Reason       ExitReason
	Checkpointed bool
}

// Heartbeat is what a worker tells of its machine.
type Heartbeat struct {
	Machine             string
	Addr                string
	Type, Zone          string
	Spot                bool
	Incarnation         uint64
	Sequence            uint64
	FencingToken        uint64
	HasPreemptionNotice bool
	PreemptionNotice    time.Duration // until the cloud takes the machine
	Tasks               []TaskStatus
}

// OrderKind is what a worker is told to do.
type OrderKind uint8

// Kinds of orders.
const (
	Start OrderKind = iota + 1
	Stop
	Forget
)

// Order is one command to a worker.
type Order struct {
	Kind      OrderKind
	Job       string
	TaskIndex int
	Attempt   uint64
	Grace     time.Duration // of a stop
}

// MachineState is a machine's state as the cloud lists it.
type MachineState uint8

// States of listed machines.
const (
	Booting MachineState = iota + 1
	Up
	Failed
)

// ListedMachine is one machine of the cloud's list.
type ListedMachine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	State                  MachineState
	Age                    time.Duration
}

// JobState is what users are told of a job.
type JobState uint8

// States of jobs.
const (
	Queued JobState = iota + 1
	JobRunning
	Done
	Cancelled
)

// Final reports whether the state can't change any more.
func (s JobState) Final() bool { return s == Done || s == Cancelled }
