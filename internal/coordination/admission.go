package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// Bounds of what admission keeps and lets wait.
const (
	maxFinals  = 50_000
	maxKnown   = 50_000
	maxWaiting = 400 // requests that wait for the state service
)

// admission serves users. It works the same on every node: jobs and their
// final states are written to the state service before the user is told, and
// the leader learns of them from there.
type admission struct {
	finals  map[string]final    // told or read; can't change any more
	known   map[string]struct{} // accepted jobs
	polls   []poll              // wait for the next check
	inCheck bool
	waiting int
}

// final is a job's final state and the number of its tasks that were done.
type final struct {
	state protocol.JobState
	done  int
}

type poll struct {
	id  uint64
	job string
}

func (a *admission) init() {
	a.finals = map[string]final{}
	a.known = map[string]struct{}{}
}

func (a *admission) setFinal(job string, s protocol.JobState, done int) {
	if len(a.finals) >= maxFinals {
		for k := range a.finals {
			delete(a.finals, k)
			if len(a.finals) < maxFinals*9/10 {
				break
			}
		}
	}
	a.finals[job] = final{s, done}
	delete(a.known, job)
}

func (a *admission) setKnown(job string) {
	if len(a.known) >= maxKnown {
		clear(a.known)
	}
	a.known[job] = struct{}{}
}

// route sends a request to whoever serves it.
func (n *Node) route(id uint64, method, target string, body []byte) {
	route, job := protocol.ParseTarget(target)
	want := "POST"
	switch route {
	case protocol.RouteNone:
		n.reply(id, 404, protocol.ErrorAnswer("no such resource"))
		return
	case protocol.RouteJob, protocol.RouteHealth:
		want = "GET"
	}
	if method != want {
		n.reply(id, 405, protocol.ErrorAnswer("use "+want))
		return
	}
	switch route {
	case protocol.RouteHealth:
		n.health(id)
		return
	case protocol.RouteReport:
		n.count.Reports++
		n.report(id, body)
		return
	}
	if n.admission.waiting >= maxWaiting {
		n.refuse(id, 429, "too many requests at once")
		return
	}
	switch route {
	case protocol.RouteJobs:
		n.count.Submissions++
		n.submit(id, body)
	case protocol.RouteJob:
		n.count.Polls++
		n.poll(id, job)
	case protocol.RouteCancel:
		n.cancel(id, job)
	}
}

// health is honest about the cases in which other nodes may serve users and this
// one can't: the state service refuses it while a peer still reaches it, or it is
// cut off from both. In an outage that peers confirm, no node is better than
// another, and leaving the balancer would only cost time when it ends.
func (n *Node) health(id uint64) {
	if n.storeDown() && len(n.cfg.Peers) > 0 && (n.peerReachesStore() || !n.hearsPeer()) {
		n.refuse(id, 503, "the state service refuses this node")
		return
	}
	n.reply(id, 200, []byte(`{"ok":true}`))
}

// refuseWithoutStore refuses what needs the state service. The connection is
// closed: its user would go on asking this node, perhaps the only one that is cut
// off, while a new connection may lead to another.
func (n *Node) refuseWithoutStore(id uint64) {
	n.out.Replies = append(n.out.Replies, Reply{ID: id, Status: 503, RetryAfter: 1, Close: true,
		Body: protocol.ErrorAnswer("the state service does not answer")})
}

func (n *Node) submit(id uint64, body []byte) {
	job, err := protocol.ParseJob(body)
	if err != nil {
		n.reply(id, 400, protocol.ErrorAnswer(err.Error()))
		return
	}
	if f, ok := n.admission.finals[job.ID]; ok {
		n.reply(id, 200, protocol.JobAnswer(job.ID, f.state))
		return
	}
	if len(n.types) == 0 || n.storeDown() {
		n.refuse(id, 503, "not ready to decide")
		return
	}
	n.admission.waiting++
	if reason := n.neverRuns(job); reason != "" {
		// A known job gets its state whatever the limits say by now.
		n.lookup(job.ID, func(s protocol.JobState, ok bool) {
			n.admission.waiting--
			switch {
			case !ok:
				n.refuseWithoutStore(id)
			case s == 0:
				n.reply(id, 422, protocol.ErrorAnswer(reason))
			default:
				n.reply(id, 200, protocol.JobAnswer(job.ID, s))
			}
		})
		return
	}
	record := bookkeeping.Job{Submitted: bookkeeping.Millis(n.now), Chunk: bookkeeping.ChunkSize(n.cfg.ValueBytes), Spec: job}
	raw := bookkeeping.Encode(record)
	if len(raw) > n.cfg.ValueBytes {
		n.admission.waiting--
		n.reply(id, 400, protocol.ErrorAnswer("the job's description is too long"))
		return
	}
	// The job exists once this is applied, and only then is the user told. The
	// outcome's absence keeps a late copy from reviving a job that is over and
	// whose record is already gone.
	n.storeTxn(&protocol.Txn{
		If:   []protocol.Condition{{Key: bookkeeping.KeyActive(job.ID)}, {Key: bookkeeping.KeyOutcome(job.ID)}},
		Then: []protocol.Op{{Put: bookkeeping.KeyActive(job.ID), Value: raw}},
	}, func(r txnResult, _ uint64, _ []string) {
		n.admission.waiting--
		switch r {
		case txnApplied:
			n.admission.setKnown(job.ID)
			n.log.Debug("job accepted", "job", job.ID, "class", job.Class, "tasks", job.Tasks,
				"estimate", job.Estimate, "deadline", job.Deadline, "image", job.Image, "gb", job.ImageGB)
			n.reply(id, 201, protocol.JobAnswer(job.ID, protocol.Queued))
		case txnFailed:
			n.admission.waiting++
			n.lookup(job.ID, func(s protocol.JobState, ok bool) {
				n.admission.waiting--
				if !ok || s == 0 {
					n.refuseWithoutStore(id)
					return
				}
				n.reply(id, 200, protocol.JobAnswer(job.ID, s))
			})
		default:
			n.refuseWithoutStore(id)
		}
	})
}

// neverRuns tells why a job can't ever run; empty when it can.
func (n *Node) neverRuns(j *protocol.Job) string {
	team := n.teams[j.Team]
	if team == nil {
		return "unknown team"
	}
	fits := false
	for _, t := range n.types {
		if j.AllowsType(t.Name) && t.Fits(j) {
			fits = true
			break
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	at := 1.0
	if j.Kind != protocol.Batch {
		at = float64(j.Tasks)
	}
	if at*j.CPUs > team.CPUsMax+protocol.Epsilon || at*j.GPUs > team.GPUsMax+protocol.Epsilon {
		return "the job needs more than its team's limit"
	}
	return ""
}

// lookup reads a job's state afresh: 0 when it was never accepted. The record
// is read before the outcome: a job whose record is gone by the first read has
// its outcome by the second.
func (n *Node) lookup(job string, done func(s protocol.JobState, ok bool)) {
	n.storeGet(bookkeeping.KeyActive(job), func(_ protocol.Item, active, ok bool) {
		if !ok {
			done(0, false)
			return
		}
		n.storeGet(bookkeeping.KeyOutcome(job), func(it protocol.Item, found, ok bool) {
			switch {
			case !ok:
				done(0, false)
			case found:
				s, count, err := bookkeeping.DecodeOutcome(it.Value)
				if err != nil {
					done(0, false)
					return
				}
				n.admission.setFinal(job, s, count)
				done(s, true)
			case active:
				n.admission.setKnown(job)
				s, _, _ := n.progress(job)
				done(s, true)
			default:
				done(0, true)
			}
		})
	})
}

func (n *Node) poll(id uint64, job string) {
	if !protocol.ValidID(job) {
		n.reply(id, 404, protocol.ErrorAnswer("no such job"))
		return
	}
	if f, ok := n.admission.finals[job]; ok {
		n.reply(id, 200, protocol.JobStatus(job, f.state, f.done, 0))
		return
	}
	if n.lag > lagFar {
		n.refuse(id, 503, "busy")
		return
	}
	// Anything but a final state may have been overtaken at another node, so
	// it needs a fresh read; without one there is no answer.
	if n.storeDown() {
		n.refuseWithoutStore(id)
		return
	}
	n.admission.waiting++
	if _, ok := n.admission.known[job]; ok {
		n.admission.polls = append(n.admission.polls, poll{id, job})
		n.checkPolls()
		return
	}
	n.lookup(job, func(s protocol.JobState, ok bool) {
		n.admission.waiting--
		switch {
		case !ok:
			n.refuseWithoutStore(id)
		case s == 0:
			n.reply(id, 404, protocol.ErrorAnswer("no such job"))
		default:
			n.answerPoll(id, job)
		}
	})
}

func (n *Node) answerPoll(id uint64, job string) {
	s, done, running := n.progress(job)
	if f, ok := n.admission.finals[job]; ok {
		s, done, running = f.state, f.done, 0
	}
	n.reply(id, 200, protocol.JobStatus(job, s, done, running))
}

// checkPolls asks for the absence of many outcomes with one transaction that
// only compares.
func (n *Node) checkPolls() {
	a := &n.admission
	if a.inCheck || len(a.polls) == 0 {
		return
	}
	a.inCheck = true
	batch := a.polls[:min(len(a.polls), 4*n.cfg.TxnOps)]
	a.polls = append([]poll(nil), a.polls[len(batch):]...)
	t := &protocol.Txn{}
	listed := map[string]bool{}
	for _, p := range batch {
		if !listed[p.job] {
			listed[p.job] = true
			t.If = append(t.If, protocol.Condition{Key: bookkeeping.KeyOutcome(p.job)})
		}
	}
	n.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		a.waiting -= len(batch)
		over := map[string]bool{}
		for _, key := range failed {
			over[key] = true
		}
		for _, p := range batch {
			switch {
			case r != txnApplied && r != txnFailed:
				n.refuseWithoutStore(p.id)
			case over[bookkeeping.KeyOutcome(p.job)]:
				a.waiting++
				n.lookup(p.job, func(s protocol.JobState, ok bool) {
					a.waiting--
					if !ok || s == 0 {
						n.refuseWithoutStore(p.id)
						return
					}
					n.answerPoll(p.id, p.job)
				})
			default:
				n.answerPoll(p.id, p.job)
			}
		}
		// A short pause collects the next ones.
		n.after(10*time.Millisecond, func() { a.inCheck = false; n.checkPolls() })
	})
}

func (n *Node) cancel(id uint64, job string) {
	if !protocol.ValidID(job) {
		n.reply(id, 404, protocol.ErrorAnswer("no such job"))
		return
	}
	if f, ok := n.admission.finals[job]; ok {
		n.reply(id, 200, protocol.JobAnswer(job, f.state))
		return
	}
	if n.storeDown() {
		n.refuseWithoutStore(id)
		return
	}
	n.admission.waiting++
	finish := func(s protocol.JobState, ok bool) {
		n.admission.waiting--
		switch {
		case !ok || s != 0 && !s.Final():
			n.refuseWithoutStore(id)
		case s == 0:
			n.reply(id, 404, protocol.ErrorAnswer("no such job"))
		default:
			n.reply(id, 200, protocol.JobAnswer(job, s))
		}
	}
	n.storeGet(bookkeeping.KeyActive(job), func(it protocol.Item, found, ok bool) {
		if !ok {
			finish(0, false)
			return
		}
		if !found {
			n.lookup(job, finish)
			return
		}
		_, done, _ := n.progress(job)
		// The outcome is created at most once, by this or by the leader's
		// "done"; whoever comes second learns what the first wrote. The user is
		// told only after that.
		n.storeTxn(&protocol.Txn{
			If:   []protocol.Condition{{Key: bookkeeping.KeyActive(job), Version: it.Version}, {Key: bookkeeping.KeyOutcome(job)}},
			Then: []protocol.Op{{Put: bookkeeping.KeyOutcome(job), Value: bookkeeping.EncodeOutcome(protocol.Cancelled, done)}},
		}, func(r txnResult, _ uint64, _ []string) {
			switch r {
			case txnApplied:
				n.admission.setFinal(job, protocol.Cancelled, done)
				finish(protocol.Cancelled, true)
			case txnFailed, txnUnknown:
				n.lookup(job, finish)
			default:
				finish(0, false)
			}
		})
	})
}

// progress is what is known here of an unfinished job, for display.
func (n *Node) progress(job string) (s protocol.JobState, done, running int) {
	if n.lead != nil {
		if j := n.lead.jobs[job]; j != nil {
			done, running = j.doneCount, j.running
		}
	} else if p := n.peers[n.election.leader.Node]; p != nil {
		if c, ok := p.progress[job]; ok {
			done, running = c[0], c[1]
		}
	}
	if running > 0 || done > 0 {
		return protocol.JobRunning, done, running
	}
	return protocol.Queued, done, running
}

// loadTypes gets the machine types: from the state service, where leaders keep
// them, or from the cloud. Without them no submission can be judged.
func (n *Node) loadTypes() {
	n.storeGet(bookkeeping.KeyTypes, func(it protocol.Item, found, ok bool) {
		if found {
			var types []protocol.MachineType
			if json.Unmarshal(it.Value, &types) == nil && len(types) > 0 {
				if len(n.types) == 0 {
					n.setTypes(types)
				}
				return
			}
		}
		if len(n.types) > 0 {
			return
		}
		n.fetchTypes(func(ok bool) {
			if !ok {
				n.after(time.Second+n.jitter(time.Second), n.loadTypes)
			}
		})
	})
}

func (n *Node) fetchTypes(done func(ok bool)) {
	n.call(Cloud, "", "GET", protocol.PathTypes, nil, 3*time.Second, func(o Outcome) {
		if o.Answered && o.Status == 200 {
			if types, err := protocol.ParseTypes(o.Body); err == nil {
				n.setTypes(types)
				done(true)
				return
			}
		}
		done(false)
	})
}

func (n *Node) setTypes(types []protocol.MachineType) {
	n.types = make(map[string]*protocol.MachineType, len(types))
	for i := range types {
		n.types[types[i].Name] = &types[i]
		n.log.Debug("machine type", "type", types[i].Name, "zones", types[i].Zones, "price", types[i].Price, "spot", types[i].SpotPrice)
	}
}
