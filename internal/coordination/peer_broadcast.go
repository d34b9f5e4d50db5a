package coordination

import (
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/protocol"
)

// Limits of one round of broadcasts. Peers buffer only a few messages, and a round with the progress
// of every job of a very large fleet would use all of a small CPU share.
const (
	messageBudget            = 48 << 10 // bytes of entries in one message, also of those between leader and shard owners
	messagesPerRound         = 6        // maximum number of messages in one round
	progressMessagesPerRound = 4        // messages of a round that may contain progress
)

// broadcastsPerOutcome is the number of times that a final state is broadcast, since a message
// may be lost.
const broadcastsPerOutcome = 2

// broadcastStatus sends one round of messages to the peers: this controller's status, the final
// states of jobs, and, from the leader, the progress of jobs. What doesn't fit into messagesPerRound
// messages is left for the next round. It also logs the limits that were reached and the suppressed
// log lines.
func (c *Controller) broadcastStatus() {
	c.limits.Log(c.log, c.now)
	c.sampler.Flush(c.log, c.now)
	round := c.newProgressRound()
	var again []outcomeAnnouncement
	for number := range messagesPerRound {
		m := c.newPeerMessage()
		room := c.addOutcomes(&m, messageBudget, &again)
		if number < progressMessagesPerRound {
			round.fill(&m, room)
		}
		c.broadcastMessage(&m)
		if len(c.admission.pendingAnnouncements) == 0 && (round.complete() || number+1 >= progressMessagesPerRound) {
			break
		}
	}
	if !round.complete() {
		c.limits.Reached(limits.ProgressToBroadcast)
	}
	c.admission.pendingAnnouncements = append(c.admission.pendingAnnouncements, again...)
}

// newPeerMessage returns a message with the status that every message contains.
func (c *Controller) newPeerMessage() peers.Message {
	m := peers.Message{Sender: c.cfg.Name, Disconnected: c.election.Disconnected(), WorkersUnreachable: c.workersUnreachable(),
		StoreReachable: c.store.Healthy()}
	if c.leader != nil {
		m.Term = c.leader.term
	}
	return m
}

// broadcastMessage sends a message to all peers, unless it is too large for them to receive.
func (c *Controller) broadcastMessage(m *peers.Message) {
	body := m.Encode()
	if len(body) > peers.MaxMessage {
		c.limits.Reached(limits.PeerMessageSize)
		return
	}
	c.effects.Broadcasts = append(c.effects.Broadcasts, Broadcast{Body: body})
}

// addOutcomes adds final states to a message until it is full, and returns the number of bytes that
// are left in it. It appends the final states that have been sent less than broadcastsPerOutcome
// times to again.
func (c *Controller) addOutcomes(m *peers.Message, room int, again *[]outcomeAnnouncement) int {
	a := &c.admission
	m.Done, m.Cancelled = map[string]int{}, map[string]int{}
	added := 0
	for _, announcement := range a.pendingAnnouncements {
		size := peers.OutcomeSize(announcement.job)
		if size > room {
			break
		}
		room -= size
		added++
		if announcement.outcome.state == protocol.Done {
			m.Done[announcement.job] = announcement.outcome.done
		} else {
			m.Cancelled[announcement.job] = announcement.outcome.done
		}
		if announcement.sendCount++; announcement.sendCount < broadcastsPerOutcome {
			*again = append(*again, announcement)
		}
	}
	a.pendingAnnouncements = append(a.pendingAnnouncements[:0:0], a.pendingAnnouncements[added:]...)
	return room
}

// progressRound is a round of broadcasting the progress of the leader's jobs, in which each job
// is visited at most once. The zero value, for a controller that does not lead, is complete.
type progressRound struct {
	leader    *leader
	remaining int // jobs not visited yet in this round
}

func (c *Controller) newProgressRound() progressRound {
	if c.leader == nil {
		return progressRound{}
	}
	return progressRound{leader: c.leader, remaining: len(c.leader.jobsByAge)}
}

func (r *progressRound) complete() bool { return r.remaining == 0 }

// fill adds the progress of the next jobs to a message until it is full. The next round starts
// where this one ends. A job whose last broadcast showed running or done tasks, and that has none of
// either now, is included once more.
func (r *progressRound) fill(m *peers.Message, room int) {
	l := r.leader
	if l == nil {
		return
	}
	m.Progress = map[string]peers.JobProgress{}
	for ; r.remaining > 0; r.remaining-- {
		if l.nextBroadcastIndex >= len(l.jobsByAge) {
			l.nextBroadcastIndex = 0
		}
		j := l.jobsByAge[l.nextBroadcastIndex]
		hasProgress := j.runningTasks > 0 || j.doneTasks > 0
		if hasProgress || j.progressBroadcast {
			size := peers.ProgressSize(j.ID)
			if size > room {
				return
			}
			room -= size
			m.Progress[j.ID] = peers.JobProgress{j.doneTasks, j.runningTasks}
			j.progressBroadcast = hasProgress
		}
		l.nextBroadcastIndex++
	}
}
