package shard

import "time"

// Header goes with each message between the leader and an owner.
type Header struct {
	// Epoch tells which leader and which owner talk: messages of others are dropped.
	Epoch        ChannelEpoch `json:"h"`
	Sequence     uint64       `json:"q"` // of this line, from 1; 0 for one that only acknowledges
	Acknowledged uint64       `json:"k"` // of the last line taken from the other side
	// Reset begins a snapshot: what was told before is void.
	Snapshot bool `json:"b,omitempty"`
	// Again asks for a snapshot: messages were lost.
	SnapshotRequested bool `json:"g,omitempty"`
}

// ChannelEpoch is a leader's term and the member that it talks to.
type ChannelEpoch struct {
	Term   uint64 `json:"t"`
	Member Member `json:"m"`
}

// ackTimeout is how long a message may go without being acknowledged before all is told anew,
// and minSnapshotInterval how long after a snapshot another one may be begun.
const (
	ackTimeout          = 2 * time.Second
	minSnapshotInterval = 500 * time.Millisecond
)

// maxUnacknowledged is how many messages may be on their way without an acknowledgement: fewer than
// a stream keeps for a peer that reads slowly. A snapshot of a large shard takes many more
// messages than that; sent at once, most of them were lost, each time it was asked for again.
const maxUnacknowledged = 8

// Channel numbers the messages of one side and notices lost ones. Messages come in order, but some
// may be missing: then the other side is asked for a snapshot. Nothing is repeated
// otherwise.
type Channel struct {
	epoch               ChannelEpoch
	sent                uint64
	acknowledged        uint64
	unacknowledgedSince time.Time // since when the oldest message without an acknowledgement waits
	received            uint64
	inOrder             bool // a snapshot was begun, and no message was lost since
	snapshotDue         bool // the next message begins a snapshot
	snapshotAt          time.Time
	snapshotRequested   bool // the other side asks for a snapshot
	ackDue              bool // a message was taken that isn't acknowledged
}

// NewChannel begins an epoch with a snapshot.
func NewChannel(e ChannelEpoch) *Channel { return &Channel{epoch: e, snapshotDue: true} }

// Epoch is the link's.
func (l *Channel) Epoch() ChannelEpoch { return l.epoch }

// SnapshotDue reports whether the next message has to begin a snapshot.
func (l *Channel) SnapshotDue() bool { return l.snapshotDue }

// WindowFull reports whether so many messages are on their way that others have to wait.
func (l *Channel) WindowFull() bool {
	return l.sent-l.acknowledged >= maxUnacknowledged && !l.snapshotDue
}

// Acknowledged is the last message that the other side is known to have taken.
func (l *Channel) Acknowledged() uint64 { return l.acknowledged }

// AckDue reports whether messages were taken that the other side doesn't know to have arrived.
func (l *Channel) AckDue() bool { return l.ackDue }

// NextHeader makes the header of the next message. Without content the message only acknowledges.
func (l *Channel) NextHeader(now time.Time, content bool) Header {
	h := Header{Epoch: l.epoch, Acknowledged: l.received, SnapshotRequested: !l.inOrder}
	l.ackDue = false
	if !content {
		return h
	}
	if l.sent == l.acknowledged {
		l.unacknowledgedSince = now
	}
	l.sent++
	h.Sequence, h.Snapshot = l.sent, l.snapshotDue
	if l.snapshotDue {
		l.snapshotDue, l.snapshotRequested, l.snapshotAt = false, false, now
	}
	return h
}

// Receive looks at the header of a message that came, and reports whether its content is to be
// taken.
func (l *Channel) Receive(h Header) bool {
	if h.Epoch != l.epoch {
		return false
	}
	l.receiveAck(h)
	if h.Sequence == 0 {
		return false
	}
	if h.Sequence <= l.received {
		return false // a copy: what it told may be long over, also where it began a snapshot
	}
	if !h.Snapshot && (!l.inOrder || h.Sequence != l.received+1) {
		// One of those after a lost message: a snapshot will come.
		l.inOrder, l.ackDue = false, true
		return false
	}
	l.received, l.inOrder, l.ackDue = h.Sequence, true, true
	return true
}

// RequestSnapshot notes that a message contradicts what is known: a snapshot is asked for.
func (l *Channel) RequestSnapshot() { l.inOrder, l.ackDue = false, true }

func (l *Channel) receiveAck(h Header) {
	if h.Acknowledged > l.acknowledged && h.Acknowledged <= l.sent {
		l.acknowledged = h.Acknowledged
		l.unacknowledgedSince = time.Time{}
	}
	l.snapshotRequested = h.SnapshotRequested
}

// CheckTimeouts notes that time has passed: what the other side lacks, or doesn't acknowledge for
// long, is told anew.
func (l *Channel) CheckTimeouts(now time.Time) {
	if l.snapshotRequested && now.Sub(l.snapshotAt) > minSnapshotInterval {
		l.snapshotDue = true
	}
	if l.sent == l.acknowledged || l.snapshotDue {
		return
	}
	if l.unacknowledgedSince.IsZero() {
		l.unacknowledgedSince = now
	}
	if now.Sub(l.unacknowledgedSince) > ackTimeout {
		l.snapshotDue, l.unacknowledgedSince = true, now
	}
}
