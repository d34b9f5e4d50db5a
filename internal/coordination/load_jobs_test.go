package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// fakeStore answers a new leader's reads.
type fakeStore struct {
	items map[string]protocol.Item
	asked []string // targets of what was read, and what transactions compare
	hold  string   // a key whose read gets no answer
}

func (r *fakeStore) put(key string, value any) {
	r.items[key] = protocol.Item{Key: key, Value: bookkeeping.Encode(value), Version: 3}
}

// answer gives the response to a call; status 0 for none.
func (r *fakeStore) answer(c Call) (status int, body []byte) {
	if c.To != State {
		return 0, nil
	}
	path, query := protocol.Query(c.Target)
	switch {
	case path == protocol.PathMulti:
		return r.compare(c.Body)
	case path == protocol.PathKeys:
		prefix, after, limit, _ := protocol.RangeQuery(query)
		r.asked = append(r.asked, prefix)
		return r.list(prefix, after, limit)
	case strings.HasPrefix(path, protocol.PathKeys+"/"):
		key := strings.TrimPrefix(path, protocol.PathKeys+"/")
		r.asked = append(r.asked, key)
		if it, ok := r.items[key]; ok && key != r.hold {
			return 200, protocol.EncodeItem(it)
		}
	}
	return 0, nil
}

func (r *fakeStore) compare(body []byte) (int, []byte) {
	t, err := protocol.ParseTxn(body)
	if err != nil || len(t.Then) > 0 {
		return 0, nil
	}
	var failed []string
	for _, c := range t.If {
		r.asked = append(r.asked, c.Key)
		if r.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, protocol.EncodeFailed(failed, 9)
	}
	return 200, protocol.EncodeRevision(9)
}

func (r *fakeStore) list(prefix, after string, limit int) (int, []byte) {
	var keys []string
	for k := range r.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var page []protocol.Item
	for _, k := range keys[:min(limit, len(keys))] {
		page = append(page, r.items[k])
	}
	return 200, protocol.EncodeRange(page, len(keys) > limit, 9)
}

// lead lets a node that nobody leads become the leader, and answers what it reads.
func (r *fakeStore) lead(n *Node) *lead {
	n.becomeLeader(2, 20, 5, 2*time.Second, n.now.Add(2*time.Second))
	calls := n.take().Calls
	for len(calls) > 0 {
		c := calls[0]
		calls = calls[1:]
		if status, body := r.answer(c); status != 0 {
			calls = append(calls, n.Result(n.now, c.ID, Outcome{Answered: true, Status: status, Body: body}).Calls...)
		}
	}
	// Records are taken in steps with pauses between.
	for n.lead.phase == loading && !n.Next().After(n.now.Add(chunksPause)) {
		n.Tick(n.now.Add(chunksPause))
	}
	return n.lead
}

// unfinishedJobs are records of jobs, of which the second is cancelled, and of many more
// that were over long ago.
func unfinishedJobs() *fakeStore {
	r := &fakeStore{items: map[string]protocol.Item{}}
	for i := range 3 {
		id := fmt.Sprintf("run-%06d", i+1)
		r.put(bookkeeping.KeyActive(id), bookkeeping.Job{Chunk: 8, Spec: spec(id)})
	}
	for i := range 3000 {
		r.put(bookkeeping.KeyOutcome(fmt.Sprintf("run-%06d", 100000+i)), bookkeeping.Outcome{State: "done", Done: 1})
	}
	r.put(bookkeeping.KeyOutcome("run-000002"), bookkeeping.Outcome{State: "cancelled"})
	return r
}

// A new leader asks for the outcomes of unfinished jobs alone: outcomes are kept for
// ever, and reading all of them made each election of a long-lived deployment longer.
func TestLoadReadsOutcomesOfUnfinishedJobs(t *testing.T) {
	n, _ := leading(active)
	r := unfinishedJobs()
	l := r.lead(n)
	for _, key := range r.asked {
		if key != bookkeeping.PrefixActive && strings.HasPrefix(bookkeeping.KeyOutcome("run-1"), key) || strings.HasPrefix(key, bookkeeping.KeyOutcome("run-1")) {
			t.Fatalf("%s was read", key)
		}
	}
	if len(l.jobs) != 3 || l.jobs["run-000002"].outcome != protocol.Cancelled || l.jobs["run-000001"].outcome != 0 {
		t.Errorf("jobs %v", l.jobs)
	}
	if l.phase != settling || l.known.IsZero() {
		t.Errorf("phase %d, known %s", l.phase, l.known)
	}
}

// It knows nothing, and answers no worker, before each outcome is read: the answer could
// renew the lease of a task whose job was cancelled.
func TestLoadKnowsNothingBeforeOutcomes(t *testing.T) {
	n, _ := leading(active)
	r := unfinishedJobs()
	r.hold = bookkeeping.KeyOutcome("run-000002")
	l := r.lead(n)
	if !l.known.IsZero() || l.entitled() {
		t.Fatalf("known as of %s", l.known)
	}
	if e := n.Request(n.now, 1, "POST", protocol.PathReport, report(4)); len(e.Replies) != 0 {
		t.Errorf("answered: %+v", e.Replies)
	}
}
