package shard

import "time"

// Header goes with each line between the leader and an owner.
type Header struct {
	// Epoch tells which leader and which owner talk: lines of others are dropped.
	Epoch Epoch  `json:"h"`
	Seq   uint64 `json:"q"` // of this line, from 1; 0 for one that only acknowledges
	Ack   uint64 `json:"k"` // of the last line taken from the other side
	// Reset begins a full account: what was told before is void.
	Reset bool `json:"b,omitempty"`
	// Again asks for a full account: lines were lost.
	Again bool `json:"g,omitempty"`
}

// Epoch is a leader's term and the member that it talks to.
type Epoch struct {
	Term   uint64 `json:"t"`
	Member Member `json:"m"`
}

// ackPatience is how long a line may go without being acknowledged before all is told anew,
// and againPatience how long after a full account another one may be begun.
const (
	ackPatience   = 2 * time.Second
	againPatience = 500 * time.Millisecond
)

// linesInFlight is how many lines may be on their way without an acknowledgement: fewer than
// a stream keeps for a peer that reads slowly. A full account of a large shard takes many more
// lines than that; sent at once, most of them were lost, each time it was asked for again.
const linesInFlight = 8

// Link numbers the lines of one side and notices lost ones. Lines come in order, but some
// may be missing: then the other side is asked for a full account. Nothing is repeated
// otherwise.
type Link struct {
	epoch   Epoch
	sent    uint64
	acked   uint64
	since   time.Time // since when the oldest line without an acknowledgement waits
	taken   uint64
	inOrder bool // a full account was begun, and no line was lost since
	reset   bool // the next line begins a full account
	resetAt time.Time
	asked   bool // the other side asks for a full account
	ackDue  bool // a line was taken that isn't acknowledged
}

// NewLink begins an epoch with a full account.
func NewLink(e Epoch) *Link { return &Link{epoch: e, reset: true} }

// Epoch is the link's.
func (l *Link) Epoch() Epoch { return l.epoch }

// NeedsReset reports whether the next line has to begin a full account.
func (l *Link) NeedsReset() bool { return l.reset }

// Full reports whether so many lines are on their way that others have to wait.
func (l *Link) Full() bool { return l.sent-l.acked >= linesInFlight && !l.reset }

// Acked is the last line that the other side is known to have taken.
func (l *Link) Acked() uint64 { return l.acked }

// AckDue reports whether lines were taken that the other side doesn't know to have arrived.
func (l *Link) AckDue() bool { return l.ackDue }

// Next makes the header of the next line. Without content the line only acknowledges.
func (l *Link) Next(now time.Time, content bool) Header {
	h := Header{Epoch: l.epoch, Ack: l.taken, Again: !l.inOrder}
	l.ackDue = false
	if !content {
		return h
	}
	if l.sent == l.acked {
		l.since = now
	}
	l.sent++
	h.Seq, h.Reset = l.sent, l.reset
	if l.reset {
		l.reset, l.asked, l.resetAt = false, false, now
	}
	return h
}

// Take looks at the header of a line that came, and reports whether its content is to be
// taken.
func (l *Link) Take(h Header) bool {
	if h.Epoch != l.epoch {
		return false
	}
	l.takeAck(h)
	if h.Seq == 0 {
		return false
	}
	if h.Seq <= l.taken {
		return false // a copy: what it told may be long over, also where it began an account
	}
	if !h.Reset && (!l.inOrder || h.Seq != l.taken+1) {
		// One of those after a lost line: a full account will come.
		l.inOrder, l.ackDue = false, true
		return false
	}
	l.taken, l.inOrder, l.ackDue = h.Seq, true, true
	return true
}

// Lost notes that a line contradicts what is known: a full account is asked for.
func (l *Link) Lost() { l.inOrder, l.ackDue = false, true }

func (l *Link) takeAck(h Header) {
	if h.Ack > l.acked && h.Ack <= l.sent {
		l.acked = h.Ack
		l.since = time.Time{}
	}
	l.asked = h.Again
}

// Check notes that time has passed: what the other side lacks, or doesn't acknowledge for
// long, is told anew.
func (l *Link) Check(now time.Time) {
	if l.asked && now.Sub(l.resetAt) > againPatience {
		l.reset = true
	}
	if l.sent == l.acked || l.reset {
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) > ackPatience {
		l.reset, l.since = true, now
	}
}
