package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/protocol"
)

// MaxPeerMessage is the length of the longest line that a peer takes. What doesn't fit goes
// into further lines, or waits for the next turn.
const MaxPeerMessage = 64 << 10

// Bounds of what is told to peers in one turn. Peers take a few lines at once; a turn that
// told them of every job of a very large fleet would take a small share of a processor.
const (
	messageBudget    = 48 << 10 // bytes of content in one line
	messagesPerRound = 6        // lines in one turn
	progressMessages = 4        // of them, those with progress

	jobEntryBytes  = 16 // of an entry, beyond the job's id: quotes, colon, comma, brackets
	taskCountBytes = 6  // of a number of tasks
)

// outcomeBroadcasts is how often a final state is told, since a line may be lost.
const outcomeBroadcasts = 2

// progressTTL is for how long a peer's word on a job's progress counts: a job of a very
// large fleet has its turn only every few seconds.
const progressTTL = 30 * time.Second

// jobProgress is how many tasks of a job are done and how many run.
type jobProgress [2]int

func (p jobProgress) done() int    { return p[0] }
func (p jobProgress) running() int { return p[1] }

// broadcastStatus tells the peers how this node is, which jobs are over and, from a leader, how
// the others go on.
func (c *Controller) broadcastStatus() {
	c.limits.Log(c.log, c.now)
	c.sampler.Flush(c.log, c.now)
	turn := c.newProgressRound()
	var again []outcomeAnnouncement
	for line := range messagesPerRound {
		m := c.newPeerMessage()
		room := c.addOutcomes(&m, messageBudget, &again)
		if line < progressMessages {
			turn.fill(&m, room)
		}
		c.broadcastMessage(&m)
		if len(c.admission.unannounced) == 0 && (turn.complete() || line+1 >= progressMessages) {
			break
		}
	}
	if !turn.complete() {
		c.limits.Reached(limits.Progress)
	}
	c.admission.unannounced = append(c.admission.unannounced, again...)
}

// newPeerMessage begins a message with what each one tells.
func (c *Controller) newPeerMessage() peerMessage {
	m := peerMessage{Node: c.cfg.Name, Disconnected: c.election.Disconnected(), WorkersUnreachable: c.workersUnreachable(), StoreReachable: !c.storeDown() && c.now.Sub(c.storeAnsweredAt) < 5*time.Second}
	if c.leader != nil {
		m.Term = c.leader.term
	}
	return m
}

func (c *Controller) broadcastMessage(m *peerMessage) {
	raw, err := json.Marshal(m)
	if err != nil { // messages hold only strings and numbers
		panic(err)
	}
	if len(raw) > MaxPeerMessage {
		c.limits.Reached(limits.PeerMessage)
		return
	}
	c.effects.Broadcasts = append(c.effects.Broadcasts, Broadcast{Body: raw})
}

// addOutcomes puts final states into a message, as far as there is room, and returns the
// room that is left. Those that are to be told once more are added to again.
func (c *Controller) addOutcomes(m *peerMessage, room int, again *[]outcomeAnnouncement) int {
	a := &c.admission
	m.Done, m.Cancelled = map[string]int{}, map[string]int{}
	told := 0
	for _, f := range a.unannounced {
		size := len(f.job) + jobEntryBytes + taskCountBytes
		if size > room {
			break
		}
		room -= size
		told++
		if f.outcome.state == protocol.Done {
			m.Done[f.job] = f.outcome.done
		} else {
			m.Cancelled[f.job] = f.outcome.done
		}
		if f.sent++; f.sent < outcomeBroadcasts {
			*again = append(*again, f)
		}
	}
	a.unannounced = append(a.unannounced[:0:0], a.unannounced[told:]...)
	return room
}

// progressRound is one turn of telling how a leader's jobs go on, in which each has its
// place at most once.
type progressRound struct {
	leader    *leader
	remaining int // jobs that weren't looked at in this turn
}

func (c *Controller) newProgressRound() *progressRound {
	if c.leader == nil {
		return &progressRound{}
	}
	return &progressRound{leader: c.leader, remaining: len(c.leader.jobsByAge)}
}

func (t *progressRound) complete() bool { return t.remaining == 0 }

// fill puts the progress of the next jobs into a message, as far as there is room. The
// next turn begins where this one ends. A job that went back to nothing is told of, too.
func (t *progressRound) fill(m *peerMessage, room int) {
	if t.leader == nil {
		return
	}
	m.Progress = map[string]jobProgress{}
	for ; t.remaining > 0; t.remaining-- {
		l := t.leader
		if l.nextBroadcast >= len(l.jobsByAge) {
			l.nextBroadcast = 0
		}
		j := l.jobsByAge[l.nextBroadcast]
		begun := j.runningTasks > 0 || j.doneTasks > 0
		if begun || j.progressBroadcast {
			size := len(j.ID) + jobEntryBytes + 2*taskCountBytes
			if size > room {
				return
			}
			room -= size
			m.Progress[j.ID] = jobProgress{j.doneTasks, j.runningTasks}
			j.progressBroadcast = begun
		}
		l.nextBroadcast++
	}
}

// receivedProgress is a peer's word on a job's progress, and when it came.
type receivedProgress struct {
	jobProgress
	receivedAt time.Time
}

// applyProgress takes what a leader tells of its jobs.
func (p *peerStatus) applyProgress(m *peerMessage, now time.Time) {
	if p.term != m.Term || p.progress == nil {
		p.term, p.progress = m.Term, map[string]receivedProgress{}
	}
	for job, c := range m.Progress {
		p.progress[job] = receivedProgress{c, now}
	}
	if now.Sub(p.prunedAt) < progressTTL {
		return
	}
	p.prunedAt = now
	for job, heard := range p.progress {
		if now.Sub(heard.receivedAt) > progressTTL {
			delete(p.progress, job)
		}
	}
}
