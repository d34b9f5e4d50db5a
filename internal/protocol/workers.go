package protocol

import (
	"strconv"
	"strings"
	"time"
)

// Paths of the workers' API.
const (
	PathOrders       = "/commands"
	PathWorkerStatus = "/show"
)

// MaxBody is the largest size of the body of a request, and of a response to a worker or a user.
const MaxBody = 64 << 10

// maxMessageOverhead is the largest size of a message to or from a worker without its orders or
// tasks.
const maxMessageOverhead = 1 << 10

// Largest sizes of the entry of a task and of an order, without the job's ID.
const (
	maxTaskStatusOverhead = len(`{"oar":"/99999","launch":18446744073709551615,"bearing":"fetching","wreckCause":"no_room","kept":true},`)
	maxOrderOverhead      = len(`{"orderKind":"clear","oar":"/99999","launch":18446744073709551615,"slackS":1000000000.0},`)
)

// MaxTaskStatusBytes returns the largest size of the status of one of the job's tasks in a
// heartbeat.
func MaxTaskStatusBytes(job string) int { return len(job) + maxTaskStatusOverhead }

// OrderBudget is the number of bytes left for orders in a message to a worker.
type OrderBudget int

// NewOrderBudget returns the budget of an empty message.
func NewOrderBudget() OrderBudget { return MaxBody - maxMessageOverhead }

// Reserve takes the largest size of an order about one of the job's tasks from the budget. It
// reports false, and takes nothing, if the budget is too small.
func (b *OrderBudget) Reserve(job string) bool {
	size := OrderBudget(len(job) + maxOrderOverhead)
	if *b < size {
		return false
	}
	*b -= size
	return true
}

// Fit returns the leading orders that fit in the budget and takes their sizes from it. cut
// reports whether any orders were left out.
func (b *OrderBudget) Fit(orders []Order) (fit []Order, cut bool) {
	for i := range orders {
		if !b.Reserve(orders[i].Job) {
			return orders[:i], true
		}
	}
	return orders, false
}

// wireHeartbeat and wireTask are a heartbeat and an entry for a task in it. The workers' API fixes
// the names of their fields, states and exit reasons.
type wireHeartbeat struct {
	Machine          string     `json:"deck"`
	Addr             string     `json:"endpoint"`
	Type             string     `json:"hullForm"`
	Zone             string     `json:"harbour"`
	Spot             bool       `json:"driftwood"`
	Incarnation      *uint64    `json:"watch"`
	Sequence         *uint64    `json:"logSeq"`
	FencingToken     uint64     `json:"helm"`
	PreemptionNotice *float64   `json:"recallS"`
	Tasks            []wireTask `json:"oars"`
}

type wireTask struct {
	Task         string `json:"oar"`
	Attempt      uint64 `json:"launch"`
	State        string `json:"bearing"`
	Reason       string `json:"wreckCause"`
	Checkpointed bool   `json:"kept"`
}

// A task of a gang that has fetched its image and waits for the rest of the gang is reported as
// "gathering". It is treated as fetching until it runs.
var taskStateNames = map[string]TaskState{"fetching": Fetching, "gathering": Fetching, "running": Running, "saving": Checkpointing, "exited": Exited}

var exitReasonNames = map[string]ExitReason{"done": ExitDone, "halted": ExitStopped, "error": ExitError,
	"no_room": ExitNoCapacity, "busy": ExitAlreadyRunning, "unknown": ExitUnknownTask,
	"peers": ExitGangFailed, "alone": ExitGangFailed}

// ParseHeartbeat parses a worker's heartbeat, sent as a request or as a response to a
// controller's call. A heartbeat with any invalid part is rejected as a whole: a task skipped
// here would be considered gone. But an unknown exit reason is parsed as ExitNone, and a
// preemption notice of a time in the past as 0.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var w wireHeartbeat
	if err := Decode(body, &w); err != nil {
		return nil, err
	}
	if err := w.validate(); err != nil {
		return nil, err
	}
	h := &Heartbeat{Machine: w.Machine, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: *w.Incarnation, Sequence: *w.Sequence, FencingToken: w.FencingToken}
	if w.PreemptionNotice != nil {
		if !validAmount(max(*w.PreemptionNotice, 0)) {
			return nil, heartbeatError("recallS", "is not a duration")
		}
		h.HasPreemptionNotice, h.PreemptionNotice = true, Seconds(max(*w.PreemptionNotice, 0))
	}
	if len(w.Tasks) > 0 {
		h.Tasks = make([]TaskStatus, 0, len(w.Tasks))
	}
	for i := range w.Tasks {
		t := &w.Tasks[i]
		job, index, ok := splitTask(t.Task)
		state := taskStateNames[t.State]
		if !ok || state == 0 {
			return nil, heartbeatError("oars", "holds a task with an invalid name or state")
		}
		h.Tasks = append(h.Tasks, TaskStatus{Job: job, TaskIndex: index, Attempt: t.Attempt, State: state,
			Reason: exitReasonNames[t.Reason], Checkpointed: t.Checkpointed})
	}
	return h, nil
}

// Errors about heartbeats that don't identify their sender. They are allocated once: a faulty
// worker may answer every probe with such a heartbeat.
var (
	errNoMachine     = heartbeatError("deck", "is missing or not a name")
	errNoIncarnation = heartbeatError("watch", reasonMissing)
	errNoSequence    = heartbeatError("logSeq", reasonMissing)
)

func (w *wireHeartbeat) validate() error {
	switch {
	case !validName(w.Machine):
		return errNoMachine
	case w.Incarnation == nil || *w.Incarnation == 0:
		return errNoIncarnation
	case w.Sequence == nil:
		return errNoSequence
	}
	return nil
}

// splitTask splits the wire name of a task, job/index.
func splitTask(name string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i <= 0 || len(name) > maxNameBytes {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[i+1:])
	if err != nil || n < 0 || n >= MaxTasks {
		return "", 0, false
	}
	return name[:i], n, true
}

func appendOrders(b []byte, orders []Order) []byte {
	b = append(b, `"orders":[`...)
	for i := range orders {
		o := &orders[i]
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"orderKind":"`...)
		b = append(b, [...]string{Start: "run", Stop: "stop", Forget: "clear"}[o.Kind]...)
		b = append(b, `","oar":"`...)
		b = append(b, o.Job...)
		b = append(b, '/')
		b = strconv.AppendInt(b, int64(o.TaskIndex), 10)
		b = append(b, `","launch":`...)
		b = strconv.AppendUint(b, o.Attempt, 10)
		if o.Kind == Stop {
			b = append(b, `,"slackS":`...)
			b = strconv.AppendFloat(b, float64(o.Grace)/float64(time.Second), 'f', 1, 64)
		}
		b = append(b, '}')
	}
	return append(b, ']')
}

// EncodeHeartbeatResponse encodes the body of a 200 response to a heartbeat.
func EncodeHeartbeatResponse(token uint64, orders []Order) []byte {
	b := make([]byte, 0, 48+96*len(orders))
	b = append(b, `{"helm":`...)
	b = strconv.AppendUint(b, token, 10)
	b = append(b, ',')
	b = appendOrders(b, orders)
	return append(b, '}')
}

// EncodeRedirect encodes the body of a 421 response: the leader's name, or an empty object if leader is
// empty.
func EncodeRedirect(leader string) []byte {
	if leader == "" {
		return []byte(`{}`)
	}
	return []byte(`{"flagship":` + strconv.Quote(leader) + `}`)
}

// EncodeDirectOrders encodes a request that sends orders to a worker. Only the given incarnation
// of the worker carries them out.
func EncodeDirectOrders(token, incarnation uint64, orders []Order) []byte {
	b := make([]byte, 0, 64+96*len(orders))
	b = append(b, `{"helm":`...)
	b = strconv.AppendUint(b, token, 10)
	b = append(b, `,"watch":`...)
	b = strconv.AppendUint(b, incarnation, 10)
	b = append(b, ',')
	b = appendOrders(b, orders)
	return append(b, '}')
}
