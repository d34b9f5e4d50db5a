package shard

import "time"

// messageInterval is the least time between messages to one side: what happens meanwhile shares
// one, since each message costs both sides some wake-ups.
const messageInterval = 25 * time.Millisecond

// Outbox decides when one side sends its messages. What there is to send, and how it goes out,
// is up to the side.
type Outbox struct {
	Channel   *Channel // to the other side; nil while there is none
	scheduled bool
	blocked   bool // more waits until messages are acknowledged
	sentAt    time.Time
}

// Schedule wants flush called at the end of the step, or once the last message is long enough
// ago. after runs a function when a time has passed.
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

// Flush calls send once, and again while pending says that there is more, as far as messages
// may be on their way.
func (o *Outbox) Flush(pending func() bool, send func()) {
	first := true
	for ; !o.Channel.WindowFull() && (first || pending()); first = false {
		send()
	}
	o.blocked = pending()
}

// NextHeader is the header of the message that is sent now.
func (o *Outbox) NextHeader(now time.Time, content bool) Header {
	o.sentAt = now
	return o.Channel.NextHeader(now, content)
}

// Ready reports whether a message is to be sent after one was received: to acknowledge it, or
// because the window has opened.
func (o *Outbox) Ready() bool { return o.Channel.AckDue() || o.blocked && !o.Channel.WindowFull() }

// UnacknowledgedTerminations keeps terminations until the message that told of them is acknowledged. The
// owner forgets the attempts, so that no snapshot tells of them: one whose only message was lost
// counted for ever. The zero value keeps none.
type UnacknowledgedTerminations struct{ sent []sentTermination }

type sentTermination struct {
	sequence    uint64
	termination Termination
}

// Sent keeps what a message told.
func (u *UnacknowledgedTerminations) Sent(message uint64, list []Termination) {
	for i := range list {
		u.sent = append(u.sent, sentTermination{message, list[i]})
	}
}

// Acknowledged forgets what was told by messages up to one that arrived.
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

// Take gives what is kept, to be told anew, and keeps it no more.
func (u *UnacknowledgedTerminations) Take() []Termination {
	var list []Termination
	for i := range u.sent {
		list = append(list, u.sent[i].termination)
	}
	u.sent = nil
	return list
}

// StatusParts gathers a status that comes in parts. The zero value has none.
type StatusParts struct{ unhealthy map[string]*UnhealthyWorker }

// Add takes the next part. Once it was the last one, it gives the workers that aren't well by
// machine, and complete is true: all others are well.
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
