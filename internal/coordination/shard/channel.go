package shard

import "time"

// Header is part of each message between the leader and an owner.
type Header struct {
	// Epoch identifies the leader and the owner: messages of any other epoch are dropped.
	Epoch        ChannelEpoch `json:"h"`
	Sequence     uint64       `json:"q"` // of this message, from 1; 0 for a message without content, which only acknowledges or requests a snapshot
	Acknowledged uint64       `json:"k"` // sequence of the latest message accepted from the other side
	// Snapshot marks the first message of a snapshot, which replaces everything sent before.
	Snapshot bool `json:"b,omitempty"`
	// SnapshotRequested requests a snapshot from the other side, because messages were lost.
	SnapshotRequested bool `json:"g,omitempty"`
}

// ChannelEpoch is a leader's term and the member that it exchanges messages with.
type ChannelEpoch struct {
	Term   uint64 `json:"t"`
	Member Member `json:"m"`
}

const (
	// ackTimeout is how long a message may be unacknowledged before a snapshot is sent.
	ackTimeout = 2 * time.Second
	// minSnapshotInterval is the minimum time from the start of a snapshot to the next one that the
	// other side requests. The other side repeats its request in each message until the snapshot
	// arrives.
	minSnapshotInterval = 500 * time.Millisecond
)

// maxUnacknowledged is the send window: how many messages may be unacknowledged. It is smaller than
// the number that a stream buffers for a slow peer. A snapshot of a large shard takes many more
// messages. If they were all sent at once, most of them would be lost, and the same would happen
// with each snapshot that is then requested.
const maxUnacknowledged = 8

// Channel numbers the messages that one side sends and detects which messages of the other side were
// lost. Messages arrive in order, but some may be lost: then a snapshot is requested from the other
// side. Single messages are never resent.
type Channel struct {
	epoch               ChannelEpoch
	sent                uint64    // sequence of the latest message sent
	acknowledged        uint64    // sequence of the latest message that the other side acknowledged
	unacknowledgedSince time.Time // start of the wait for the next acknowledgement; zero from its arrival until the next wait begins
	received            uint64    // sequence of the latest message accepted from the other side
	inOrder             bool      // a snapshot has begun to arrive, and no message was lost since
	snapshotDue         bool      // the next message sent begins a snapshot
	snapshotAt          time.Time // when the first message of the latest snapshot was sent
	snapshotRequested   bool      // the other side requested a snapshot
	ackDue              bool      // an acknowledgement or a snapshot request is to be sent
}

// NewChannel returns the channel of an epoch. Its first message begins a snapshot.
func NewChannel(e ChannelEpoch) *Channel { return &Channel{epoch: e, snapshotDue: true} }

// Epoch is the channel's epoch.
func (c *Channel) Epoch() ChannelEpoch { return c.epoch }

// SnapshotDue reports whether the next message must begin a snapshot.
func (c *Channel) SnapshotDue() bool { return c.snapshotDue }

// WindowFull reports whether so many messages are unacknowledged that further ones must wait. A
// snapshot that is due doesn't wait.
func (c *Channel) WindowFull() bool {
	return c.sent-c.acknowledged >= maxUnacknowledged && !c.snapshotDue
}

// Acknowledged is the sequence of the latest message that the other side acknowledged.
func (c *Channel) Acknowledged() uint64 { return c.acknowledged }

// AckDue reports whether a message must be sent to acknowledge others or to request a snapshot.
func (c *Channel) AckDue() bool { return c.ackDue }

// NextHeader creates the header of the next message. A message without content only
// acknowledges, or requests a snapshot.
func (c *Channel) NextHeader(now time.Time, content bool) Header {
	h := Header{Epoch: c.epoch, Acknowledged: c.received, SnapshotRequested: !c.inOrder}
	c.ackDue = false
	if !content {
		return h
	}
	if c.sent == c.acknowledged {
		c.unacknowledgedSince = now
	}
	c.sent++
	h.Sequence, h.Snapshot = c.sent, c.snapshotDue
	if c.snapshotDue {
		c.snapshotDue, c.snapshotRequested, c.snapshotAt = false, false, now
	}
	return h
}

// Receive processes the header of a received message, and reports whether its content is to be
// applied.
func (c *Channel) Receive(h Header) bool {
	if h.Epoch != c.epoch {
		return false
	}
	c.receiveAck(h)
	if h.Sequence == 0 {
		return false // the message only acknowledges
	}
	if h.Sequence <= c.received {
		return false // a duplicate: its content may be outdated, even if it begins a snapshot
	}
	if !h.Snapshot && (!c.inOrder || h.Sequence != c.received+1) {
		// An earlier message was lost: a snapshot is requested.
		c.inOrder, c.ackDue = false, true
		return false
	}
	c.received, c.inOrder, c.ackDue = h.Sequence, true, true
	return true
}

// RequestSnapshot requests a snapshot from the other side, because a message contradicts the known
// state.
func (c *Channel) RequestSnapshot() { c.inOrder, c.ackDue = false, true }

// receiveAck applies the acknowledgement and the snapshot request in a header.
func (c *Channel) receiveAck(h Header) {
	if h.Acknowledged > c.acknowledged && h.Acknowledged <= c.sent {
		c.acknowledged = h.Acknowledged
		c.unacknowledgedSince = time.Time{}
	}
	c.snapshotRequested = h.SnapshotRequested
}

// CheckTimeouts makes a snapshot due if the other side requested one and the latest began more than
// minSnapshotInterval ago, or if the other side hasn't acknowledged messages within ackTimeout.
func (c *Channel) CheckTimeouts(now time.Time) {
	if c.snapshotRequested && now.Sub(c.snapshotAt) > minSnapshotInterval {
		c.snapshotDue = true
	}
	if c.sent == c.acknowledged || c.snapshotDue {
		return
	}
	if c.unacknowledgedSince.IsZero() {
		c.unacknowledgedSince = now
	}
	if now.Sub(c.unacknowledgedSince) > ackTimeout {
		c.snapshotDue, c.unacknowledgedSince = true, now
	}
}
