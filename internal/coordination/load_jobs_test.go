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

// fakeStateService answers a new leader's reads.
type fakeStateService struct {
	items         map[string]protocol.KeyValue
	readKeys      []string // targets of what was read, and what transactions compare
	unansweredKey string   // a key whose read gets no answer
}

func (s *fakeStateService) put(key string, value any) {
	s.items[key] = protocol.KeyValue{Key: key, Value: records.Encode(value), Version: 3}
}

// answer gives the response to a call; status 0 for none.
func (s *fakeStateService) answer(call Call) (status int, body []byte) {
	if call.To != StateService {
		return 0, nil
	}
	path, query := protocol.Query(call.Target)
	switch {
	case path == protocol.PathTransactions:
		return s.compare(call.Body)
	case path == protocol.PathKeys:
		prefix, after, limit, _ := protocol.RangeQuery(query)
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

// electLeader lets a controller that nobody leads become the leader, and answers what it reads.
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
	// Records are taken in steps with pauses between.
	for c.leader.phase == phaseLoading && !c.NextTick().After(c.now.Add(blockStepPause)) {
		c.Tick(c.now.Add(blockStepPause))
	}
	return c.leader
}

// newStateServiceWithJobs are records of jobs, of which the second is cancelled, and of many more
// that were over long ago.
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

// A new leader asks for the outcomes of unfinished jobs alone: outcomes are kept for
// ever, and reading all of them made each election of a long-lived deployment longer.
func TestLoadReadsOutcomesOfUnfinishedJobs(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	service := newStateServiceWithJobs()
	l := service.electLeader(c)
	for _, key := range service.readKeys {
		if key != records.PrefixActive && strings.HasPrefix(records.KeyOutcome("run-1"), key) || strings.HasPrefix(key, records.KeyOutcome("run-1")) {
			t.Fatalf("%s was read", key)
		}
	}
	if len(l.jobs) != 3 || l.jobs["run-000002"].finalState != protocol.Cancelled || l.jobs["run-000001"].finalState != 0 {
		t.Errorf("jobs %v", l.jobs)
	}
	if l.phase != phaseReconciling || l.jobsKnownAt.IsZero() {
		t.Errorf("phase %d, known %s", l.phase, l.jobsKnownAt)
	}
}

// It knows nothing, and answers no worker, before each outcome is read: the answer could
// renew the lease of a task whose job was cancelled.
func TestNoWorkerAnswerBeforeOutcomesAreRead(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	service := newStateServiceWithJobs()
	service.unansweredKey = records.KeyOutcome("run-000002")
	l := service.electLeader(c)
	if !l.jobsKnownAt.IsZero() || l.holdsLease() {
		t.Fatalf("known as of %s", l.jobsKnownAt)
	}
	if e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(4)); len(e.Replies) != 0 {
		t.Errorf("answered: %+v", e.Replies)
	}
}
