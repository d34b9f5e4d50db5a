package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// Bounds of what admission keeps and lets wait.
const (
	maxFinals  = 50_000
	maxKnown   = 50_000
	maxWaiting = 400 // requests that wait for the state service
	maxNews    = 5_000
)

// checksShare is the part of the state service's requests that one node's checks of
// polls take at the most, as a divisor. A check serves dozens of polls, and when users
// ask ever more often, more share one: with a check as soon as the last one was over,
// those of three nodes alone took more than the service allows, and submissions were
// refused for it.
const checksShare = 12

func (n *Node) checkPause() time.Duration {
	return max(10*time.Millisecond, time.Duration(checksShare/n.cfg.StateRPS*float64(time.Second)))
}

// admission serves users. It works the same on every node: jobs and their
// final states are written to the state service before the user is told, and
// the leader learns of them from there.
type admission struct {
	finals  map[string]final    // told or read; can't change any more
	known   map[string]struct{} // accepted jobs
	polls   []poll              // wait for the next check
	checked time.Time           // when the last check was sent
	inCheck bool
	news    []toldFinal // final states that peers are to be told
	waiting int

	submissions []*submission // wait for the next transaction
	inSubmit    bool
}

// toldFinal is a final state on its way to the peers.
type toldFinal struct {
	job   string
	final final
	times int // it was told
}

// submission is a job whose record is to be written, and who asked for it.
type submission struct {
	job    *protocol.Job
	record json.RawMessage
	ids    []uint64
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

// noteFinal is setFinal for what this node wrote or learned as a leader: its peers
// hear of it, so that they need not read it for each user who asks them.
func (a *admission) noteFinal(job string, s protocol.JobState, done int) {
	if _, ok := a.finals[job]; !ok && len(a.news) < maxNews {
		a.news = append(a.news, toldFinal{job: job, final: final{s, done}})
	}
	a.setFinal(job, s, done)
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
	for _, s := range n.admission.submissions {
		if s.job.ID == job.ID {
			s.ids = append(s.ids, id)
			return
		}
	}
	n.admission.submissions = append(n.admission.submissions, &submission{job, raw, []uint64{id}})
	n.writeSubmissions()
}

// writeSubmissions writes the records of the jobs that came while the last transaction
// was under way. Half a transaction at the most: all of it is refused at once when the
// state service has too little left.
func (n *Node) writeSubmissions() {
	a := &n.admission
	if a.inSubmit || len(a.submissions) == 0 {
		return
	}
	a.inSubmit = true
	t := &protocol.Txn{}
	count, size := 0, 0
	for _, s := range a.submissions {
		if count == max(1, n.cfg.TxnOps/2) || count > 0 && size+len(s.record) > 32<<10 {
			break
		}
		// The job exists once this is applied, and only then is the user told. The
		// outcome's absence keeps a late copy from reviving a job that is over and
		// whose record is already gone.
		t.If = append(t.If, protocol.Condition{Key: bookkeeping.KeyActive(s.job.ID)}, protocol.Condition{Key: bookkeeping.KeyOutcome(s.job.ID)})
		t.Then = append(t.Then, protocol.Op{Put: bookkeeping.KeyActive(s.job.ID), Value: s.record})
		count, size = count+1, size+len(s.record)
	}
	group := a.submissions[:count:count]
	a.submissions = append([]*submission(nil), a.submissions[count:]...)
	n.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		a.inSubmit = false
		var again []*submission
		for _, s := range group {
			switch {
			case r == txnApplied:
				n.accepted(s)
			case r == txnFailed && (slices.Contains(failed, bookkeeping.KeyActive(s.job.ID)) || slices.Contains(failed, bookkeeping.KeyOutcome(s.job.ID))):
				n.knownAlready(s)
			case r == txnFailed && len(failed) > 0:
				again = append(again, s) // another of the group was known already
			default:
				a.waiting -= len(s.ids)
				for _, id := range s.ids {
					if r == txnRefused && !n.storeDown() {
						n.refuseForNow(id) // too much at once
					} else {
						n.refuseWithoutStore(id)
					}
				}
			}
		}
		a.submissions = append(again, a.submissions...)
		n.writeSubmissions()
	})
}

func (n *Node) accepted(s *submission) {
	n.admission.waiting -= len(s.ids)
	n.admission.setKnown(s.job.ID)
	n.log.Debug("job accepted", "job", s.job.ID, "class", s.job.Class, "tasks", s.job.Tasks,
		"estimate", s.job.Estimate, "deadline", s.job.Deadline, "image", s.job.Image, "gb", s.job.ImageGB)
	for i, id := range s.ids {
		status := 201
		if i > 0 {
			status = 200
		}
		n.reply(id, status, protocol.JobAnswer(s.job.ID, protocol.Queued))
	}
}

func (n *Node) knownAlready(s *submission) {
	n.lookup(s.job.ID, func(state protocol.JobState, ok bool) {
		n.admission.waiting -= len(s.ids)
		for _, id := range s.ids {
			if !ok || state == 0 {
				n.refuseWithoutStore(id)
				continue
			}
			n.reply(id, 200, protocol.JobAnswer(s.job.ID, state))
		}
	})
}

// refuseForNow sends a user away whose request is one too many at the moment. Not all
// are told to come back at the same time.
func (n *Node) refuseForNow(id uint64) {
	n.out.Replies = append(n.out.Replies, Reply{ID: id, Status: 503, RetryAfter: 1 + n.rng.IntN(3),
		Body: protocol.ErrorAnswer("too much at once")})
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
	n.admission.polls = append(n.admission.polls, poll{id, job})
	n.checkPolls()
}

func (n *Node) answerPoll(id uint64, job string) {
	s, done, running := n.progress(job)
	if f, ok := n.admission.finals[job]; ok {
		s, done, running = f.state, f.done, 0
	}
	n.reply(id, 200, protocol.JobStatus(job, s, done, running))
}

// checkPolls learns of many jobs with one transaction that only compares: whether each
// has an outcome, and of those this node hasn't heard of, whether they exist. Both are
// told as of the same moment.
func (n *Node) checkPolls() {
	a := &n.admission
	if a.inCheck || len(a.polls) == 0 {
		return
	}
	a.inCheck = true
	if wait := a.checked.Add(n.checkPause()).Sub(n.now); wait > 0 {
		n.after(wait, func() { a.inCheck = false; n.checkPolls() })
		return
	}
	a.checked = n.now
	t := &protocol.Txn{}
	listed, unsure := map[string]bool{}, map[string]bool{}
	count := 0
	for _, p := range a.polls {
		if !listed[p.job] {
			if len(t.If)+2 > 4*n.cfg.TxnOps {
				break
			}
			listed[p.job] = true
			t.If = append(t.If, protocol.Condition{Key: bookkeeping.KeyOutcome(p.job)})
			if _, ok := a.known[p.job]; !ok {
				unsure[p.job] = true
				t.If = append(t.If, protocol.Condition{Key: bookkeeping.KeyActive(p.job)})
			}
		}
		count++
	}
	batch := a.polls[:count:count]
	a.polls = append([]poll(nil), a.polls[count:]...)
	n.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		a.inCheck = false
		a.waiting -= len(batch)
		exists := map[string]bool{}
		for _, key := range failed {
			exists[key] = true
		}
		reads := map[string][]uint64{}
		for _, p := range batch {
			_, final := a.finals[p.job]
			switch {
			case r == txnRefused && !n.storeDown():
				n.refuseForNow(p.id)
			case r != txnApplied && r != txnFailed:
				n.refuseWithoutStore(p.id)
			case final:
				n.answerPoll(p.id, p.job)
			case exists[bookkeeping.KeyOutcome(p.job)]:
				reads[p.job] = append(reads[p.job], p.id)
			case unsure[p.job] && !exists[bookkeeping.KeyActive(p.job)]:
				n.reply(p.id, 404, protocol.ErrorAnswer("no such job"))
			default:
				a.setKnown(p.job)
				n.answerPoll(p.id, p.job)
			}
		}
		for _, p := range batch {
			if ids := reads[p.job]; ids != nil {
				delete(reads, p.job)
				n.readFinal(p.job, ids)
			}
		}
		n.checkPolls()
	})
}

// readFinal answers the polls for a job that is known to be over.
func (n *Node) readFinal(job string, ids []uint64) {
	n.admission.waiting += len(ids)
	n.storeGet(bookkeeping.KeyOutcome(job), func(it protocol.Item, found, ok bool) {
		n.admission.waiting -= len(ids)
		if found {
			if s, done, err := bookkeeping.DecodeOutcome(it.Value); err == nil {
				n.admission.setFinal(job, s, done)
			}
		}
		for _, id := range ids {
			if _, ok := n.admission.finals[job]; ok {
				n.answerPoll(id, job)
			} else {
				n.refuseForNow(id)
			}
		}
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
				n.admission.noteFinal(job, protocol.Cancelled, done)
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
