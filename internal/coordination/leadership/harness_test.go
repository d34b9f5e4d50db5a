package leadership

import (
	"log/slog"
	"sort"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

const baseTTL = 2 * time.Second

var start = time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)

// harness is the clock, the store and the host of an election under test. It collects
// requests until the test responds to them.
type harness struct {
	*Election
	now    time.Time
	timers []harnessTimer

	lists    []func([]protocol.KeyValue, uint64)
	wanted   []func() bool
	watches  []func(WatchResponse)
	grants   []func(uint64, bool)
	ttls     []time.Duration // requested
	renewals []func(Renewal)
	revoked  []uint64
	txns     []*protocol.Txn
	commits  []func(bool, uint64)

	leaderTerms       []LeaderTerm
	leadershipsEnded  int
	updates           int // calls of ElectionKeysChanged
	overloaded        bool
	peersUnresponsive bool
}

type harnessTimer struct {
	at  time.Time
	run func()
}

func newHarness() *harness {
	h := &harness{now: start}
	h.Election = New(Settings{Name: "n0", Zone: "a", BootID: 7, BaseTTL: baseTTL}, slog.New(slog.DiscardHandler), h, h, h)
	return h
}

func (h *harness) Now() time.Time { return h.now }
func (h *harness) After(d time.Duration, f func()) {
	h.timers = append(h.timers, harnessTimer{h.now.Add(d), f})
}
func (h *harness) Jitter(time.Duration) time.Duration { return 0 }

func (h *harness) List(_ string, wanted func() bool, done func([]protocol.KeyValue, uint64)) {
	h.lists, h.wanted = append(h.lists, done), append(h.wanted, wanted)
}

func (h *harness) Watch(_ string, _ uint64, done func(WatchResponse)) {
	h.watches = append(h.watches, done)
}

func (h *harness) GrantLease(ttl time.Duration, done func(uint64, bool)) {
	h.ttls, h.grants = append(h.ttls, ttl), append(h.grants, done)
}

func (h *harness) RenewLease(_ uint64, _ time.Duration, done func(Renewal)) {
	h.renewals = append(h.renewals, done)
}

func (h *harness) RevokeLease(lease uint64) { h.revoked = append(h.revoked, lease) }

func (h *harness) Commit(t *protocol.Txn, done func(bool, uint64)) {
	h.txns, h.commits = append(h.txns, t), append(h.commits, done)
}

func (h *harness) Elected(t LeaderTerm)    { h.leaderTerms = append(h.leaderTerms, t) }
func (h *harness) LeadershipEnded()        { h.leadershipsEnded++ }
func (h *harness) ElectionKeysChanged()    { h.updates++ }
func (h *harness) LostToOverload() bool    { return h.overloaded }
func (h *harness) PeersUnresponsive() bool { return h.peersUnresponsive }

// advance moves the clock forward by d and runs the timers that become due.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for {
		sort.SliceStable(h.timers, func(i, k int) bool { return h.timers[i].at.Before(h.timers[k].at) })
		if len(h.timers) == 0 || h.timers[0].at.After(end) {
			break
		}
		next := h.timers[0]
		h.timers = h.timers[1:]
		h.now = next.at
		next.run()
	}
	h.now = end
}

// answerList responds to the latest list request.
func (h *harness) answerList(items ...protocol.KeyValue) {
	done := h.lists[len(h.lists)-1]
	done(items, 40)
}

// answerWatch responds to the latest watch request.
func (h *harness) answerWatch(response WatchResponse) { h.watches[len(h.watches)-1](response) }

func leaderItem(controller string, term, incarnation, version, lease uint64) protocol.KeyValue {
	return protocol.KeyValue{Key: records.KeyLeader, Version: version, Lease: lease,
		Value: records.Encode(records.Leader{Controller: controller, Zone: "a", Term: term, Incarnation: incarnation})}
}

func termItem(term, version uint64) protocol.KeyValue {
	return protocol.KeyValue{Key: records.KeyTerm, Version: version, Value: records.Encode(records.Term{Term: term})}
}

func zoneItem(zone string) protocol.KeyValue {
	return protocol.KeyValue{Key: records.KeyPreferredZone, Version: 5, Value: records.Encode(records.PreferredZone{Zone: zone})}
}

// elect makes the controller the leader in term 5 with lease 77.
func (h *harness) elect() {
	h.Follow()
	h.answerList(termItem(4, 33))
	h.advance(time.Second)
	h.grants[0](77, true)
	h.commits[0](true, 50)
}
