package protocol

import (
	"strconv"
	"strings"
	"time"
)

// Paths of the workers' interface.
const (
	PathOrders       = "/commands"
	PathWorkerStatus = "/show"
)

// MaxBody is the size of the largest request body, and of the longest line in a response to
// a worker or a user.
const MaxBody = 64 << 10

// maxMessageOverhead is what a message to or from a worker takes beside its orders or tasks, with
// names as long as they may be.
const maxMessageOverhead = 1 << 10

// Lengths of the longest entries without the names in them.
const (
	maxTaskStatusOverhead = len(`{"oar":"/99999","launch":18446744073709551615,"bearing":"fetching","wreckCause":"no_room","kept":true},`)
	maxOrderOverhead      = len(`{"orderKind":"clear","oar":"/99999","launch":18446744073709551615,"slackS":1000000000.0},`)
)

// MaxTaskStatusBytes is what a task of the job takes in a worker's report at the most.
func MaxTaskStatusBytes(job string) int { return len(job) + maxTaskStatusOverhead }

// OrderBudget is what is left of a message to a worker.
type OrderBudget int

// NewOrderBudget is the room for orders in one message.
func NewOrderBudget() OrderBudget { return MaxBody - maxMessageOverhead }

// Reserve uses the room of an order about a task of the job, if there is as much.
func (r *OrderBudget) Reserve(job string) bool {
	size := OrderBudget(len(job) + maxOrderOverhead)
	if *r < size {
		return false
	}
	*r -= size
	return true
}

// Fit shortens a list of orders to what there is room for, and reports whether it had to.
func (r *OrderBudget) Fit(orders []Order) (fit []Order, cut bool) {
	for i := range orders {
		if !r.Reserve(orders[i].Job) {
			return orders[:i], true
		}
	}
	return orders, false
}

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

// A gang's task that has its image waits for the others ("gathering"); until
// it runs it is taken for one that still fetches.
var taskStateNames = map[string]TaskState{"fetching": Fetching, "gathering": Fetching, "running": Running, "saving": Checkpointing, "exited": Exited}

var exitReasonNames = map[string]ExitReason{"done": ExitDone, "halted": ExitStopped, "error": ExitError,
	"no_room": ExitNoCapacity, "busy": ExitAlreadyRunning, "unknown": ExitUnknownTask,
	"peers": ExitGangFailed, "alone": ExitGangFailed}

// ParseHeartbeat reads a worker's report, from a request or from a response. A
// report that can't be understood in full is refused whole: a task left out
// of it would be taken for gone.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var w wireHeartbeat
	if err := Decode(body, &w); err != nil {
		return nil, err
	}
	if err := w.validate(); err != nil {
		return nil, err
	}
	r := &Heartbeat{Machine: w.Machine, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: *w.Incarnation, Sequence: *w.Sequence, FencingToken: w.FencingToken}
	if w.PreemptionNotice != nil {
		if !validAmount(max(*w.PreemptionNotice, 0)) {
			return nil, heartbeatError("recallS", "is not a duration")
		}
		r.HasPreemptionNotice, r.PreemptionNotice = true, Seconds(max(*w.PreemptionNotice, 0))
	}
	if len(w.Tasks) > 0 {
		r.Tasks = make([]TaskStatus, 0, len(w.Tasks))
	}
	for i := range w.Tasks {
		t := &w.Tasks[i]
		job, index, ok := splitTask(t.Task)
		state := taskStateNames[t.State]
		if !ok || state == 0 {
			return nil, heartbeatError("oars", "holds a task without a name or state")
		}
		r.Tasks = append(r.Tasks, TaskStatus{Job: job, TaskIndex: index, Attempt: t.Attempt, State: state,
			Reason: exitReasonNames[t.Reason], Checkpointed: t.Checkpointed})
	}
	return r, nil
}

// What a heartbeat without its sender lacks. Made once: workers that are not themselves may
// answer every probe so.
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

// EncodeHeartbeatResponse is the body of a 200 to a report.
func EncodeHeartbeatResponse(token uint64, orders []Order) []byte {
	b := make([]byte, 0, 48+96*len(orders))
	b = append(b, `{"helm":`...)
	b = strconv.AppendUint(b, token, 10)
	b = append(b, ',')
	b = appendOrders(b, orders)
	return append(b, '}')
}

// EncodeRedirect is the body of a 421: the leader's name, or none.
func EncodeRedirect(leader string) []byte {
	if leader == "" {
		return []byte(`{}`)
	}
	return []byte(`{"flagship":` + strconv.Quote(leader) + `}`)
}

// EncodeDirectOrders is the body of a POST to a worker.
func EncodeDirectOrders(token, session uint64, orders []Order) []byte {
	b := make([]byte, 0, 64+96*len(orders))
	b = append(b, `{"helm":`...)
	b = strconv.AppendUint(b, token, 10)
	b = append(b, `,"watch":`...)
	b = strconv.AppendUint(b, session, 10)
	b = append(b, ',')
	b = appendOrders(b, orders)
	return append(b, '}')
}
