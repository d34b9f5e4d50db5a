package coordination

import (
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/protocol"
)

// Limits of what is broadcast in one round. Peers take a few messages at once; a round that
// told them of every job of a very large fleet would take a small share of a processor.
const (
	messageBudget            = 48 << 10 // bytes of content in one message
	messagesPerRound         = 6
	progressMessagesPerRound = 4 // of them, those with progress
)

// broadcastsPerOutcome is how often a final state is broadcast, since a message may be lost.
const broadcastsPerOutcome = 2

// broadcastStatus tells the peers how this controller is, which jobs are over and, from a
// leader, how the others go on.
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

// newPeerMessage begins a message with what each one tells.
func (c *Controller) newPeerMessage() peers.Message {
	m := peers.Message{Sender: c.cfg.Name, Disconnected: c.election.Disconnected(), WorkersUnreachable: c.workersUnreachable(),
		StoreReachable: c.store.Healthy()}
	if c.leader != nil {
		m.Term = c.leader.term
	}
	return m
}

func (c *Controller) broadcastMessage(m *peers.Message) {
	body := m.Encode()
	if len(body) > peers.MaxMessage {
		c.limits.Reached(limits.PeerMessageSize)
		return
	}
	c.effects.Broadcasts = append(c.effects.Broadcasts, Broadcast{Body: body})
}

// addOutcomes puts final states into a message, as far as there is room, and returns the
// room that is left. Those that are to be broadcast once more are added to again.
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

// progressRound is one round of broadcasting how a leader's jobs go on, in which each has its
// turn at most once. The zero value, of a follower, is complete.
type progressRound struct {
	leader    *leader
	remaining int // jobs that had no turn in this round
}

func (c *Controller) newProgressRound() progressRound {
	if c.leader == nil {
		return progressRound{}
	}
	return progressRound{leader: c.leader, remaining: len(c.leader.jobsByAge)}
}

func (r *progressRound) complete() bool { return r.remaining == 0 }

// fill puts the progress of the next jobs into a message, as far as there is room. The
// next round begins where this one ends. A job that went back to nothing is told of, too.
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
		begun := j.runningTasks > 0 || j.doneTasks > 0
		if begun || j.progressBroadcast {
			size := peers.ProgressSize(j.ID)
			if size > room {
				return
			}
			room -= size
			m.Progress[j.ID] = peers.JobProgress{j.doneTasks, j.runningTasks}
			j.progressBroadcast = begun
		}
		l.nextBroadcastIndex++
	}
}
