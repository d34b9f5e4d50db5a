package statestore

import (
	"container/heap"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

// fakeHost is a host whose clock advances only in run, and whose requests wait for answer.
type fakeHost struct {
	now    time.Time
	timers fakeTimers
	sent   []sentRequest
}

type sentRequest struct {
	Request
	done func(Response)
}

type fakeTimer struct {
	at      time.Time
	run     func()
	stopped bool
}

func (t *fakeTimer) Stop() { t.stopped = true }

type fakeTimers []*fakeTimer

func (t fakeTimers) Len() int           { return len(t) }
func (t fakeTimers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t fakeTimers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *fakeTimers) Push(x any)        { *t = append(*t, x.(*fakeTimer)) }
func (t *fakeTimers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (h *fakeHost) Now() time.Time                       { return h.now }
func (h *fakeHost) Jitter(d time.Duration) time.Duration { return d / 2 }
func (h *fakeHost) After(d time.Duration, f func()) Timer {
	t := &fakeTimer{at: h.now.Add(d), run: f}
	heap.Push(&h.timers, t)
	return t
}
func (h *fakeHost) Send(r Request, done func(Response)) {
	h.sent = append(h.sent, sentRequest{r, done})
}

// run advances the clock by d, runs the timers that fire, and calls step after each.
func (h *fakeHost) run(d time.Duration, step func()) {
	end := h.now.Add(d)
	for len(h.timers) > 0 && !h.timers[0].at.After(end) {
		t := heap.Pop(&h.timers).(*fakeTimer)
		h.now = t.at
		if !t.stopped {
			t.run()
		}
		step()
	}
	h.now = end
}

// answer answers the oldest unanswered request, and returns it.
func (h *fakeHost) answer(t *testing.T, r Response) Request {
	t.Helper()
	if len(h.sent) == 0 {
		t.Fatal("no request is in flight")
	}
	oldest := h.sent[0]
	h.sent = h.sent[1:]
	oldest.done(r)
	return oldest.Request
}

func answered(status int, body []byte) Response {
	return Response{Status: status, Body: body, Answered: true}
}

func newTestClient() (*fakeHost, *Client) {
	h := &fakeHost{now: time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)}
	c := NewClient(h, slog.New(slog.DiscardHandler), "probe")
	c.Start()
	return h, c
}

func always() bool { return true }

func item(key string, version uint64) protocol.KeyValue {
	return protocol.KeyValue{Key: key, Value: []byte(`{}`), Version: version}
}

// fakeSource is a source of keys to be created. It records the results of its batches.
type fakeSource struct {
	keys    []string
	pending Pending
	ended   bool
	history []string
}

func (s *fakeSource) Alive() bool { return !s.ended }

func (s *fakeSource) Pending() Pending {
	if len(s.keys) > 0 {
		return Pending{Any: true}
	}
	return s.pending
}

func (s *fakeSource) Fill(t *Transaction) Batch {
	b := &fakeBatch{source: s}
	for len(s.keys) > 0 && t.HasRoom() {
		t.Require(s.keys[0], 0)
		t.Put(s.keys[0], []byte(`{}`))
		b.keys = append(b.keys, s.keys[0])
		s.keys = s.keys[1:]
	}
	return b
}

type fakeBatch struct {
	source *fakeSource
	keys   []string
}

func (b *fakeBatch) note(what string, args ...any) {
	b.source.history = append(b.source.history, fmt.Sprintf(what, args...))
}

func (b *fakeBatch) Applied(revision uint64)  { b.note("applied %v at %d", b.keys, revision) }
func (b *fakeBatch) Conflict(failed []string) { b.note("conflict on %v", failed) }
func (b *fakeBatch) Refused()                 { b.note("refused %v", b.keys) }
func (b *fakeBatch) Unknown()                 { b.note("unknown %v", b.keys) }
