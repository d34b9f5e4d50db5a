package sessions

// Delivery is how far the start of an attempt has come. A start in a heartbeat's answer is
// carried out before the worker's next heartbeat or never. A direct one, sent by a call of
// its own, may be carried out minutes late if the call isn't answered, until the worker has
// seen a higher token or has begun another incarnation.
//
// The zero value is a start that was never sent.
type Delivery struct {
	Inherited     bool // recorded before this epoch; whether it was sent is unknown
	OwnerNotified bool // the owner of the machine's shard was told of it
	Reported      bool // the worker reported the attempt

	SentIncarnation uint64 // to which it was sent in an answer, or by a call that was answered
	SentSequence    uint64 // of the heartbeat whose answer carried it

	DirectPending     bool   // a direct start awaits its response
	DirectToken       uint64 // of an unanswered direct start; 0 when none
	DirectIncarnation uint64 // that it named
}

// NeverSent reports whether no start of the attempt can be on its way.
func (d *Delivery) NeverSent() bool {
	return !d.Inherited && !d.OwnerNotified && !d.Reported && d.SentIncarnation == 0 && !d.DirectPending && d.DirectToken == 0
}

// MarkDirectSent notes that the start is being sent by a call of its own.
func (d *Delivery) MarkDirectSent(token, incarnation uint64) {
	d.DirectPending = true
	d.DirectToken, d.DirectIncarnation = token, incarnation
}

// MarkDirectAnswered notes that the call was answered, or certainly not carried out.
func (d *Delivery) MarkDirectAnswered() { d.DirectToken = 0 }

// MarkSent notes that the worker has the start, or will have it before its next heartbeat.
func (d *Delivery) MarkSent(incarnation, sequence uint64) {
	d.SentIncarnation, d.SentSequence = incarnation, sequence
}

// Absence says what it means that a worker's message lacks an attempt.
type Absence uint8

const (
	// Undecided says that a start may still be carried out.
	Undecided Absence = iota + 1
	// Terminated says that the attempt is gone and can't start any more.
	Terminated
	// Unfenced says that a start may be carried out until the worker sees a token above DirectToken.
	Unfenced
	// NotStarted says that no start that was sent can be carried out; another may be sent.
	NotStarted
)

// Why an attempt is terminated, as controllers tell each other.
const (
	ReasonNoLongerReported = "no longer reported"
	ReasonNotHeld          = "not held by the worker"
	ReasonLeaseExpired     = "the worker's lease expired"
)

// EvaluateAbsence judges that a worker's newest message lacks the attempt, in an epoch with the given
// lowest token. Absence is proof only once nothing that was sent can still start the attempt.
// The reason is set for Terminated.
func (d *Delivery) EvaluateAbsence(m Message, baseToken uint64) (verdict Absence, reason string) {
	switch {
	case d.Reported:
		return Terminated, ReasonNoLongerReported
	case d.Inherited:
		// An earlier owner may have sent the start, directly too. A worker that has seen a
		// token of this epoch refuses it.
		if m.Token < baseToken {
			return Undecided, ""
		}
		return Terminated, ReasonNotHeld
	case d.DirectPending:
		return Undecided, "" // its response is on the way
	case d.DirectToken != 0:
		return d.absentAfterDirectStart(m)
	case d.SentIncarnation != 0 && d.SentIncarnation != m.Incarnation:
		return Terminated, ReasonLeaseExpired
	case d.SentIncarnation != 0 && (!m.Heartbeat || m.Sequence <= d.SentSequence):
		// A response of the worker's may be older than the answer that carries the start;
		// only its next heartbeat proves that the answer was lost.
		return Undecided, ""
	}
	return NotStarted, ""
}

// absentAfterDirectStart judges absence after a direct start that wasn't answered.
func (d *Delivery) absentAfterDirectStart(m Message) (verdict Absence, reason string) {
	switch {
	case m.Incarnation > d.DirectIncarnation:
		// Refused from now on, however late it comes: it names an incarnation that is over.
		// Where answers don't reach the worker this proof comes alone.
		return Terminated, ReasonLeaseExpired
	case m.Token <= d.DirectToken:
		return Unfenced, ""
	}
	d.DirectToken = 0
	return NotStarted, ""
}
