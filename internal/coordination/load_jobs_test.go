package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// fakeStateService holds items and answers a new leader's reads of them. Calls other than reads get
// no answer.
type fakeStateService struct {
	items         map[string]protocol.KeyValue
	readKeys      []string // keys read, prefixes listed, and keys compared by transactions
	unansweredKey string   // a read of this key gets no answer
}

func (s *fakeStateService) put(key string, value any) {
	s.items[key] = protocol.KeyValue{Key: key, Value: records.Encode(value), Version: 3}
}

// answer returns the response to a call; status 0 means no response.
func (s *fakeStateService) answer(call Call) (status int, body []byte) {
	if call.To != StateService {
		return 0, nil
	}
	path, query := protocol.ParseQuery(call.Target)
	switch {
	case path == protocol.PathTransactions:
		return s.compare(call.Body)
	case path == protocol.PathKeys:
		prefix, after, limit, _ := protocol.ParseRangeQuery(query)
		s.readKeys = append(s.readKeys, prefix)
		return s.list(prefix, after, limit)
	case strings.HasPrefix(path, protocol.PathKeys+"/"):
		key := strings.TrimPrefix(path, protocol.PathKeys+"/")
		s.readKeys = append(s.readKeys, key)
		if it, ok := s.items[key]; ok && key != s.unansweredKey {
			return 200, protocol.EncodeKeyValue(it)
		}
	}
	return 0, nil
}

func (s *fakeStateService) compare(body []byte) (int, []byte) {
	t, err := protocol.ParseTxn(body)
	if err != nil || len(t.Ops) > 0 {
		return 0, nil
	}
	var failed []string
	for _, condition := range t.Conditions {
		s.readKeys = append(s.readKeys, condition.Key)
		if s.items[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return 409, protocol.EncodeFailedConditions(failed, 9)
	}
	return 200, protocol.EncodeRevision(9)
}

func (s *fakeStateService) list(prefix, after string, limit int) (int, []byte) {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var page []protocol.KeyValue
	for _, k := range keys[:min(limit, len(keys))] {
		page = append(page, s.items[k])
	}
	return 200, protocol.EncodeRange(page, len(keys) > limit, 9)
}

// electLeader makes a controller the leader and responds to its reads.
func (s *fakeStateService) electLeader(c *Controller) *leader {
	c.election.BecomeLeader(leadership.LeaderTerm{Term: 2, KeyVersion: 20, ElectedAt: c.now,
		Lease: leadership.Lease{ID: 5, TTL: 2 * time.Second, ValidUntil: c.now.Add(2 * time.Second)}})
	calls := c.takeEffects().Calls
	for len(calls) > 0 {
		call := calls[0]
		calls = calls[1:]
		if status, body := s.answer(call); status != 0 {
			calls = append(calls, c.Result(c.now, call.ID, Outcome{Answered: true, Status: status, Body: body}).Calls...)
		}
	}
	// Task blocks are loaded in steps with pauses in between.
	for c.leader.phase == phaseLoading && !c.NextTick().After(c.now.Add(blockStepPause)) {
		c.Tick(c.now.Add(blockStepPause))
	}
	return c.leader
}

// newStateServiceWithJobs returns a state service with the records of three jobs, of which the
// second is cancelled, and with the outcomes of 3000 jobs that finished long ago.
func newStateServiceWithJobs() *fakeStateService {
	service := &fakeStateService{items: map[string]protocol.KeyValue{}}
	for i := range 3 {
		id := fmt.Sprintf("run-%06d", i+1)
		service.put(records.KeyActive(id), records.Job{BlockSize: 8, Spec: jobSpec(id)})
	}
	for i := range 3000 {
		service.put(records.KeyOutcome(fmt.Sprintf("run-%06d", 100000+i)), records.Outcome{State: "done", Done: 1})
	}
	service.put(records.KeyOutcome("run-000002"), records.Outcome{State: "cancelled"})
	return service
}

// A new leader reads only the outcomes of jobs that still have a record. Outcomes are kept
// forever, and reading all of them made each change of leaders in a long-running deployment take
// longer.
func TestLoadReadsOutcomesOfUnfinishedJobs(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	service := newStateServiceWithJobs()
	l := service.electLeader(c)
	for _, key := range service.readKeys {
		if key != records.PrefixActive && strings.HasPrefix(records.KeyOutcome("run-1"), key) || strings.HasPrefix(key, records.KeyOutcome("run-1")) {
			t.Fatalf("%s was read, which holds outcomes of jobs without a record", key)
		}
	}
	if len(l.jobs) != 3 || l.jobs["run-000002"].finalState != protocol.Cancelled || l.jobs["run-000001"].finalState != 0 {
		t.Errorf("jobs %v, want three of which run-000002 is cancelled", l.jobs)
	}
	if l.phase != phaseReconciling || l.jobsKnownAt.IsZero() {
		t.Errorf("phase %d, jobs known as of %s; want phaseReconciling and a time", l.phase, l.jobsKnownAt)
	}
}

// A new leader answers no worker before all outcomes of recorded jobs are read: a response could
// renew the lease of a worker with a task whose job was cancelled.
func TestNoWorkerAnswerBeforeOutcomesAreRead(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	service := newStateServiceWithJobs()
	service.unansweredKey = records.KeyOutcome("run-000002")
	l := service.electLeader(c)
	if !l.jobsKnownAt.IsZero() || l.holdsLease() {
		t.Fatalf("jobs known as of %s before all outcomes were read", l.jobsKnownAt)
	}
	if e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(4)); len(e.Replies) != 0 {
		t.Errorf("heartbeat answered before all outcomes were read: %+v", e.Replies)
	}
}
