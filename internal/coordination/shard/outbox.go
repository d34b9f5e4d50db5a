package shard

import "time"

// messageInterval is the minimum time from the latest message to a scheduled flush to the same
// receiver. Changes within it are sent together, since each message wakes up both sides several times.
const messageInterval = 25 * time.Millisecond

// Outbox decides when one side of a channel sends its messages. Its user provides the content and
// sends it.
type Outbox struct {
	Channel   *Channel // to the other side; nil while none is open
	scheduled bool
	blocked   bool      // the window is full and more is pending
	sentAt    time.Time // when the latest message was sent
}

// Schedule arranges that flush is called at the end of the step, but not before messageInterval has
// passed since the latest message. after runs a function after a duration.
func (o *Outbox) Schedule(now time.Time, after func(time.Duration, func()), flush func()) {
	if o.scheduled {
		return
	}
	o.scheduled = true
	after(max(0, o.sentAt.Add(messageInterval).Sub(now)), func() {
		o.scheduled = false
		flush()
	})
}

// Flush calls send once, and again while pending reports more. It stops, or doesn't begin, when the
// send window is full.
func (o *Outbox) Flush(pending func() bool, send func()) {
	first := true
	for ; !o.Channel.WindowFull() && (first || pending()); first = false {
		send()
	}
	o.blocked = pending()
}

// NextHeader creates the header of a message that is sent now.
func (o *Outbox) NextHeader(now time.Time, content bool) Header {
	o.sentAt = now
	return o.Channel.NextHeader(now, content)
}

// Ready reports whether a received message requires one to be sent: to acknowledge it, or because
// pending content fits the window again.
func (o *Outbox) Ready() bool { return o.Channel.AckDue() || o.blocked && !o.Channel.WindowFull() }

// UnacknowledgedTerminations keeps terminations until the message that carried them is acknowledged.
// The owner drops terminated attempts, so no snapshot contains them: if the only message about a
// termination were lost, the leader would keep the attempt forever. The zero value keeps none.
type UnacknowledgedTerminations struct{ sent []sentTermination }

type sentTermination struct {
	sequence    uint64
	termination Termination
}

// Sent keeps the terminations that a message carried.
func (u *UnacknowledgedTerminations) Sent(message uint64, list []Termination) {
	for i := range list {
		u.sent = append(u.sent, sentTermination{message, list[i]})
	}
}

// Acknowledged drops the terminations of all messages up to an acknowledged one.
func (u *UnacknowledgedTerminations) Acknowledged(message uint64) {
	kept := u.sent[:0]
	for _, s := range u.sent {
		if s.sequence > message {
			kept = append(kept, s)
		}
	}
	clear(u.sent[len(kept):])
	u.sent = kept
}

// Take removes all kept terminations and returns them, to be sent again.
func (u *UnacknowledgedTerminations) Take() []Termination {
	var list []Termination
	for i := range u.sent {
		list = append(list, u.sent[i].termination)
	}
	u.sent = nil
	return list
}

// StatusParts reassembles a status that is sent in parts. The zero value has none.
type StatusParts struct{ unhealthy map[string]*UnhealthyWorker }

// Add adds the next part. After the last part it returns all unhealthy workers by machine, and
// complete is true: all other workers are healthy.
func (p *StatusParts) Add(s *Status) (unhealthy map[string]*UnhealthyWorker, complete bool) {
	if s.Part == 0 || p.unhealthy == nil {
		p.unhealthy = map[string]*UnhealthyWorker{}
	}
	for i := range s.Unhealthy {
		p.unhealthy[s.Unhealthy[i].Machine] = &s.Unhealthy[i]
	}
	if s.More {
		return nil, false
	}
	unhealthy, p.unhealthy = p.unhealthy, nil
	return unhealthy, true
}
