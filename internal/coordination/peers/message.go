package peers

import (
	"encoding/json"

	"brasskeel/internal/protocol"
)

// MaxMessage is the length in bytes of the longest message that a peer accepts. What does not fit is
// sent in further messages or in the next round.
const MaxMessage = 64 << 10

// Message is the content of one broadcast. The final states of jobs come from the controller
// that recorded them. The record of a final state is created once and never overwritten, so a
// receiver may report a final state from a message to users like one that it recorded itself, however
// late the message arrives.
type Message struct {
	Sender             string                 `json:"node"`
	StoreReachable     bool                   `json:"storeOK"`
	Disconnected       bool                   `json:"unfit,omitempty"`     // the sender resigned recently because it lost connectivity to its workers
	WorkersUnreachable bool                   `json:"blind,omitempty"`     // the sender owns shards and recently lost most of their workers
	Term               uint64                 `json:"term,omitempty"`      // the sender's term if it is the leader
	Progress           map[string]JobProgress `json:"progress,omitempty"`  // progress of some jobs, by job ID
	Done               map[string]int         `json:"done,omitempty"`      // completed jobs: number of tasks done, by job ID
	Cancelled          map[string]int         `json:"cancelled,omitempty"` // cancelled jobs: number of tasks done, by job ID
}

// JobProgress holds the number of tasks of a job that are done and that are running.
type JobProgress [2]int

// Done returns the number of tasks that are done.
func (p JobProgress) Done() int { return p[0] }

// Running returns the number of tasks that are running.
func (p JobProgress) Running() int { return p[1] }

// Upper bounds in bytes for the parts of a job's entry in a message.
const (
	jobEntryBytes  = 16 // without the job ID and the counts: quotes, colon, comma, brackets
	taskCountBytes = 6  // digits of a number of tasks, which is at most protocol.MaxTasks
)

// OutcomeSize returns an upper bound of the bytes that a job's final state takes in a message.
func OutcomeSize(job string) int { return len(job) + jobEntryBytes + taskCountBytes }

// ProgressSize returns an upper bound of the bytes that a job's progress takes in a message.
func ProgressSize(job string) int { return len(job) + jobEntryBytes + 2*taskCountBytes }

// Encode returns the message in its wire format. The result may be longer than MaxMessage.
func (m *Message) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil { // can't happen: a message holds only strings, numbers and booleans
		panic(err)
	}
	return raw
}

// Decode parses a message. An error means that the message is malformed.
func Decode(body []byte) (Message, error) {
	var m Message
	err := protocol.Decode(body, &m)
	return m, err
}
