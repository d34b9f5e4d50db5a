package peers

import (
	"encoding/json"

	"brasskeel/internal/protocol"
)

// MaxMessage is the length in bytes of the longest message that a peer takes. What doesn't
// fit goes into further messages, or waits for the next round.
const MaxMessage = 64 << 10

// Message is one broadcast. Final states of jobs are told by who recorded them: they are
// created once and never overwritten, so they may be passed on to users like one's own,
// however late they come.
type Message struct {
	Sender             string                 `json:"node"`
	StoreReachable     bool                   `json:"storeOK"`
	Disconnected       bool                   `json:"unfit,omitempty"`     // resigned lately for lost connectivity
	WorkersUnreachable bool                   `json:"blind,omitempty"`     // of an owner of shards
	Term               uint64                 `json:"term,omitempty"`      // of a leader
	Progress           map[string]JobProgress `json:"progress,omitempty"`  // of some jobs
	Done               map[string]int         `json:"done,omitempty"`      // jobs, and their tasks done
	Cancelled          map[string]int         `json:"cancelled,omitempty"` // the same of cancelled ones
}

// JobProgress is how many tasks of a job are done and how many run.
type JobProgress [2]int

// Done is how many tasks are done.
func (p JobProgress) Done() int { return p[0] }

// Running is how many tasks run.
func (p JobProgress) Running() int { return p[1] }

// Sizes in bytes of a message's entries, at the most.
const (
	jobEntryBytes  = 16 // beyond the job's id: quotes, colon, comma, brackets
	taskCountBytes = 6
)

// OutcomeSize is about how many bytes a job's final state takes in a message.
func OutcomeSize(job string) int { return len(job) + jobEntryBytes + taskCountBytes }

// ProgressSize is about how many bytes a job's progress takes in a message.
func ProgressSize(job string) int { return len(job) + jobEntryBytes + 2*taskCountBytes }

// Encode is the message as it is sent. It may be longer than MaxMessage.
func (m *Message) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil { // messages hold only strings and numbers
		panic(err)
	}
	return raw
}

// Decode reads a message. Any error is one of its form.
func Decode(body []byte) (Message, error) {
	var m Message
	err := protocol.Decode(body, &m)
	return m, err
}
