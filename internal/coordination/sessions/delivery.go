package sessions

// Delivery tracks the delivery of an attempt's start order. A start in a heartbeat response is
// carried out before the worker's next heartbeat or never. A direct start, sent by a separate
// call, may be carried out minutes late if the call gets no response, until the worker has seen
// a higher token or has begun another incarnation.
//
// The zero value is a start that was never sent.
type Delivery struct {
	Inherited     bool // the attempt was recorded before this epoch, so its start may or may not have been sent
	OwnerNotified bool // the owner of the machine's shard was notified of the attempt
	Reported      bool // the worker reported the attempt

	SentIncarnation uint64 // incarnation to which the start was sent in a heartbeat response, or by a call that was answered
	SentSequence    uint64 // sequence of the heartbeat answered with it, or of the call response that confirmed it

	DirectPending     bool   // a direct start awaits its response
	DirectToken       uint64 // token of a direct start without a response; 0 if there is none
	DirectIncarnation uint64 // incarnation that the direct start named
}

// NeverSent reports whether no start of the attempt can have been sent.
func (d *Delivery) NeverSent() bool {
	return !d.Inherited && !d.OwnerNotified && !d.Reported && d.SentIncarnation == 0 && !d.DirectPending && d.DirectToken == 0
}

// MarkDirectSent records that the start is being sent by a separate call.
func (d *Delivery) MarkDirectSent(token, incarnation uint64) {
	d.DirectPending = true
	d.DirectToken, d.DirectIncarnation = token, incarnation
}

// MarkDirectAnswered records that the call of a direct start was answered or was certainly not
// carried out. The caller clears DirectPending at the end of each call, answered or not.
func (d *Delivery) MarkDirectAnswered() { d.DirectToken = 0 }

// MarkSent records that the worker has the start, or that it receives it either before it sends its
// next heartbeat or never.
func (d *Delivery) MarkSent(incarnation, sequence uint64) {
	d.SentIncarnation, d.SentSequence = incarnation, sequence
}

// Absence is what follows from a worker's message that doesn't report an attempt.
type Absence uint8

const (
	// Undecided means that a start may still be carried out.
	Undecided Absence = iota + 1
	// Terminated means that the attempt has ended and can no longer be started.
	Terminated
	// Unfenced means that a start may be carried out until the worker sees a token above
	// DirectToken.
	Unfenced
	// NotStarted means that no start sent so far can be carried out; another may be sent.
	NotStarted
)

// Reasons for the termination of an attempt, as they are sent between controllers.
const (
	ReasonNoLongerReported = "no longer reported"
	ReasonNotHeld          = "not held by the worker"
	ReasonLeaseExpired     = "the worker's lease expired"
)

// EvaluateAbsence determines what follows if a worker's newest message doesn't report the attempt.
// baseToken is the lowest fencing token of the current epoch. Absence proves termination only once
// no start that was sent can still be carried out. The reason is set for Terminated.
func (d *Delivery) EvaluateAbsence(m Message, baseToken uint64) (verdict Absence, reason string) {
	switch {
	case d.Reported:
		return Terminated, ReasonNoLongerReported
	case d.Inherited:
		// An earlier owner may have sent the start, possibly as a direct one. A worker that has
		// seen a token of this epoch refuses it.
		if m.Token < baseToken {
			return Undecided, ""
		}
		return Terminated, ReasonNotHeld
	case d.DirectPending:
		return Undecided, "" // the call is in flight
	case d.DirectToken != 0:
		return d.absentAfterDirectStart(m)
	case d.SentIncarnation != 0 && d.SentIncarnation != m.Incarnation:
		// A worker ends all of its tasks before it begins another incarnation.
		return Terminated, ReasonLeaseExpired
	case d.SentIncarnation != 0 && (!m.Heartbeat || m.Sequence <= d.SentSequence):
		// A response to a call may have been sent before the worker got the heartbeat response
		// with the start. Only the next heartbeat proves that the heartbeat response was lost.
		return Undecided, ""
	}
	return NotStarted, ""
}

// absentAfterDirectStart evaluates the absence of an attempt after a direct start without a
// response. It clears DirectToken once the worker has seen a higher token and so refuses the start.
func (d *Delivery) absentAfterDirectStart(m Message) (verdict Absence, reason string) {
	switch {
	case m.Incarnation > d.DirectIncarnation:
		// The worker refuses the start from now on, however late it arrives, since it names an
		// earlier incarnation. If heartbeat responses don't reach the worker, it sees no higher
		// token, so nothing else proves that the start can't be carried out.
		return Terminated, ReasonLeaseExpired
	case m.Token <= d.DirectToken:
		return Unfenced, ""
	}
	d.DirectToken = 0
	return NotStarted, ""
}
