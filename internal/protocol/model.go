package protocol

import "time"

// Kind is a kind of job: how its tasks run and when they end.
type Kind uint8

// Kinds of jobs.
const (
	Batch   Kind = iota + 1 // independent tasks, each runs to completion
	Service                 // replicas run until the job is cancelled
	Gang                    // tasks that run to completion and must all run at the same time
)

// Priority orders jobs: those with a larger value are scheduled first.
type Priority uint8

// Priorities of jobs.
const (
	Low Priority = iota + 1
	Standard
	Urgent
	Critical
)

// Job is the specification of an accepted job, as its user submitted it.
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
	MachineTypes []string `json:"types,omitempty"`   // allowed machine types; any when empty
	Zone         string   `json:"zone,omitempty"`    // the only allowed zone; any when empty
	OneZone      bool     `json:"oneZone,omitempty"` // all tasks in the same zone
	Spread       bool     `json:"spread,omitempty"`  // at most half of the tasks, rounded up, in any one zone
	AllowSpot    bool     `json:"spot,omitempty"`    // may use spot machines

	EstimatedRuntime   time.Duration `json:"est,omitempty"`
	CheckpointInterval time.Duration `json:"ckpt,omitempty"` // 0: the task takes no checkpoints
	CheckpointDuration time.Duration `json:"save,omitempty"` // time that writing a checkpoint takes
	// Deadline is the time after the submission by which the job should be finished. It only
	// influences the order of jobs and what they wait for; a job that misses it continues.
	Deadline    time.Duration `json:"deadline,omitempty"`
	HasDeadline bool          `json:"hasDeadline,omitempty"`
}

// AllowsType reports whether the job may run on machines of the named type.
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

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name             string        `json:"name"`
	CPUs             float64       `json:"cpus"`
	GPUs             float64       `json:"gpus,omitempty"`
	MemoryGB         float64       `json:"mem"`
	CacheGB          float64       `json:"cache"` // for images
	FetchGBPerSecond float64       `json:"fetch"` // of images
	PricePerHour     float64       `json:"price"` // on demand
	SpotPricePerHour float64       `json:"spot"`  // 0: not offered as a spot machine
	BootTime         time.Duration `json:"boot"`
	Zones            []string      `json:"zones"`
}

// Fits reports whether one task of the job fits an empty machine of the type.
func (t *MachineType) Fits(j *Job) bool {
	return j.CPUs <= t.CPUs+Epsilon && j.GPUs <= t.GPUs+Epsilon && j.MemoryGB <= t.MemoryGB+Epsilon
}

// Epsilon is the tolerance in comparisons of resource amounts: it absorbs the rounding errors
// of repeated additions and subtractions.
const Epsilon = 1e-9

// TaskState is the state of a task as its worker reports it.
type TaskState uint8

// States of reported tasks.
const (
	Fetching TaskState = iota + 1
	Running
	Checkpointing
	Exited
)

// ExitReason is the reason that a worker reports for an attempt that ended or that it didn't start.
type ExitReason uint8

// Reasons of exited attempts.
const (
	ExitNone           ExitReason = iota // the attempt hasn't exited, or the reason is unknown
	ExitDone                             // it completed
	ExitStopped                          // it was stopped by an order
	ExitError                            // it failed
	ExitNoCapacity                       // the machine's free resources don't suffice
	ExitAlreadyRunning                   // the machine runs another attempt of the task
	ExitUnknownTask                      // the worker knows no such task
	ExitGangFailed                       // another task of its gang ended or did not start
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Job          string
	TaskIndex    int
	Attempt      uint64
	State        TaskState
	Reason       ExitReason
	Checkpointed bool // the attempt wrote a checkpoint when it was stopped
}

// Heartbeat is a worker's report of its machine and the tasks on it.
type Heartbeat struct {
	Machine             string
	Addr                string
	Type, Zone          string
	Spot                bool
	Incarnation         uint64
	Sequence            uint64
	FencingToken        uint64
	HasPreemptionNotice bool
	PreemptionNotice    time.Duration // until the cloud reclaims the machine
	Tasks               []TaskStatus
}

// OrderKind is the action that an order asks for.
type OrderKind uint8

// Kinds of orders.
const (
	Start OrderKind = iota + 1
	Stop
	Forget // no longer report the exited attempt
)

// Order is one command to a worker about an attempt of a task.
type Order struct {
	Kind      OrderKind
	Job       string
	TaskIndex int
	Attempt   uint64
	Grace     time.Duration // that a stopped task has for a checkpoint
}

// MachineState is the state of a machine in the cloud's list.
type MachineState uint8

// States of listed machines.
const (
	Booting MachineState = iota + 1
	Up
	Failed
)

// ListedMachine is one entry of the cloud's machine list.
type ListedMachine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	State                  MachineState
	Age                    time.Duration
}

// JobState is the state of a job in responses to users.
type JobState uint8

// States of jobs.
const (
	Queued JobState = iota + 1
	JobRunning
	Done
	Cancelled
)

// Final reports whether the state is terminal.
func (s JobState) Final() bool { return s == Done || s == Cancelled }
