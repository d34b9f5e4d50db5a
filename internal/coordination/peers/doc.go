// Package peers defines the status messages that controllers exchange, and keeps the latest
// status of each peer.
//
// Every controller broadcasts a [Message] each second. It says whether the controller reaches
// the state service and its workers, and which jobs ended recently; the leader's also contains
// the progress of running jobs. A [Table] keeps the latest [Status] of each peer.
//
// The package owns the message format and the table, and sends nothing itself. The status and progress
// in messages are hints, never proof: messages may be lost, late, or from an earlier process. The
// correctness of the protocol depends on the state service alone.
package peers
