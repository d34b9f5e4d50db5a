package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/protocol"
)

// MaxPeerLine is the length of the longest line that a peer takes. What doesn't fit goes
// into further lines, or waits for the next turn.
const MaxPeerLine = 64 << 10

// Bounds of what is told to peers in one turn. Peers take a few lines at once; a turn that
// told them of every job of a very large fleet would take a small share of a processor.
const (
	lineRoom      = 48 << 10 // bytes of content in one line
	linesAtOnce   = 6        // lines in one turn
	progressLines = 4        // of them, those with progress

	jobBytes = 16 // of an entry, beyond the job's id: quotes, colon, comma, brackets
	numBytes = 6  // of a number of tasks
)

// finalsTold is how often a final state is told, since a line may be lost.
const finalsTold = 2

// progressKept is for how long a peer's word on a job's progress counts: a job of a very
// large fleet has its turn only every few seconds.
const progressKept = 30 * time.Second

// jobProgress is how many tasks of a job are done and how many run.
type jobProgress [2]int

func (p jobProgress) done() int    { return p[0] }
func (p jobProgress) running() int { return p[1] }

// publish tells the peers how this node is, which jobs are over and, from a leader, how
// the others go on.
func (c *Controller) publish() {
	c.limits.log(c.log, c.now)
	c.flushSampledLogs()
	turn := c.progressTurn()
	var again []outcomeAnnouncement
	for line := range linesAtOnce {
		m := c.peerMessage()
		room := c.addFinals(&m, lineRoom, &again)
		if line < progressLines {
			turn.fill(&m, room)
		}
		c.publishLine(&m)
		if len(c.admission.unannounced) == 0 && (turn.over() || line+1 >= progressLines) {
			break
		}
	}
	if !turn.over() {
		c.limits.reached(limitProgress)
	}
	c.admission.unannounced = append(c.admission.unannounced, again...)
}

// peerMessage begins a message with what each one tells.
func (c *Controller) peerMessage() peerMessage {
	m := peerMessage{Node: c.cfg.Name, Unfit: c.unfit(), Blind: c.blind(), StoreOK: !c.storeDown() && c.now.Sub(c.storeOK) < 5*time.Second}
	if c.leader != nil {
		m.Term = c.leader.term
	}
	return m
}

func (c *Controller) publishLine(m *peerMessage) {
	raw, err := json.Marshal(m)
	if err != nil { // messages hold only strings and numbers
		panic(err)
	}
	if len(raw) > MaxPeerLine {
		c.limits.reached(limitPeerLine)
		return
	}
	c.out.Publishes = append(c.out.Publishes, Publish{Body: raw})
}

// addFinals puts final states into a message, as far as there is room, and returns the
// room that is left. Those that are to be told once more are added to again.
func (c *Controller) addFinals(m *peerMessage, room int, again *[]outcomeAnnouncement) int {
	a := &c.admission
	m.Done, m.Ended = map[string]int{}, map[string]int{}
	told := 0
	for _, f := range a.unannounced {
		size := len(f.job) + jobBytes + numBytes
		if size > room {
			break
		}
		room -= size
		told++
		if f.outcome.state == protocol.Done {
			m.Done[f.job] = f.outcome.done
		} else {
			m.Ended[f.job] = f.outcome.done
		}
		if f.sent++; f.sent < finalsTold {
			*again = append(*again, f)
		}
	}
	a.unannounced = append(a.unannounced[:0:0], a.unannounced[told:]...)
	return room
}

// progressTurn is one turn of telling how a leader's jobs go on, in which each has its
// place at most once.
type progressTurn struct {
	l    *leader
	left int // jobs that weren't looked at in this turn
}

func (c *Controller) progressTurn() *progressTurn {
	if c.leader == nil {
		return &progressTurn{}
	}
	return &progressTurn{l: c.leader, left: len(c.leader.jobsByAge)}
}

func (t *progressTurn) over() bool { return t.left == 0 }

// fill puts the progress of the next jobs into a message, as far as there is room. The
// next turn begins where this one ends. A job that went back to nothing is told of, too.
func (t *progressTurn) fill(m *peerMessage, room int) {
	if t.l == nil {
		return
	}
	m.Progress = map[string]jobProgress{}
	for ; t.left > 0; t.left-- {
		l := t.l
		if l.tellNext >= len(l.jobsByAge) {
			l.tellNext = 0
		}
		j := l.jobsByAge[l.tellNext]
		begun := j.runningTasks > 0 || j.doneTasks > 0
		if begun || j.progressTold {
			size := len(j.ID) + jobBytes + 2*numBytes
			if size > room {
				return
			}
			room -= size
			m.Progress[j.ID] = jobProgress{j.doneTasks, j.runningTasks}
			j.progressTold = begun
		}
		l.tellNext++
	}
}

// heardProgress is a peer's word on a job's progress, and when it came.
type heardProgress struct {
	jobProgress
	at time.Time
}

// takeProgress takes what a leader tells of its jobs.
func (p *peerView) takeProgress(m *peerMessage, now time.Time) {
	if p.term != m.Term || p.progress == nil {
		p.term, p.progress = m.Term, map[string]heardProgress{}
	}
	for job, c := range m.Progress {
		p.progress[job] = heardProgress{c, now}
	}
	if now.Sub(p.pruned) < progressKept {
		return
	}
	p.pruned = now
	for job, heard := range p.progress {
		if now.Sub(heard.at) > progressKept {
			delete(p.progress, job)
		}
	}
}
