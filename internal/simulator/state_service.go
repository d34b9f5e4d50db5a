package simulator

import (
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/ratelimit"
	"brasskeel/internal/records"
)

// stateService simulates the state service: a key-value store with transactions, leases and watches.
type stateService struct {
	cluster            *Cluster
	revision           uint64
	keys               map[string]protocol.KeyValue
	history            []historyEntry // all changes, in order
	leases             map[uint64]*lease
	lastLeaseID        uint64
	watches            []*watch
	outage             bool            // all requests get status 503
	refusedControllers map[string]bool // names of controllers whose requests get status 503
	// If commitDelay is not 0, transactions are applied this much later, plus up to
	// commitDelayJitter, and never answered: a share of them, or all if delayedCommitShare is 0.
	commitDelay, commitDelayJitter time.Duration
	delayedCommitShare             float64
	lostReplyShare                 float64       // share of transactions that are applied at once and never answered
	maxRequestDelay                time.Duration // upper bound of the delay of slow requests
	slowRequestShare               float64       // share of requests that are slow
	watchDelay                     time.Duration // replies to watches are delayed this much

	requestBucket, writeBucket *ratelimit.TokenBucket // enforce the limits of requests and writes per second
	// writes counts the puts and deletes in all transactions that were not rate-limited, also in
	// those that were not applied; rateLimited counts the requests that got status 429.
	writes, rateLimited int
}

// withPrefix returns the items whose keys have the prefix, sorted by key.
func (s *stateService) withPrefix(prefix string) []protocol.KeyValue {
	var list []protocol.KeyValue
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	slices.SortFunc(list, func(a, b protocol.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// historyEntry is one change of a key.
type historyEntry struct {
	revision uint64
	event    protocol.Event
}

// lease is a lease with its expiry and the keys attached to it.
type lease struct {
	id     uint64
	ttl    time.Duration
	expiry *event
	keys   map[string]bool
}

// watch is a watch request that has not been answered yet.
type watch struct {
	from          string // name of the controller that waits
	prefix        string
	afterRevision uint64
	respond       respondFunc
	closed        bool
}

func newStateService(c *Cluster) *stateService {
	rps, writeRPS := c.settings.StateRPS, c.settings.StateWriteRPS
	return &stateService{cluster: c, keys: map[string]protocol.KeyValue{}, leases: map[uint64]*lease{}, refusedControllers: map[string]bool{},
		requestBucket: ratelimit.NewTokenBucket(rps, rps, c.now), writeBucket: ratelimit.NewTokenBucket(writeRPS, writeRPS, c.now)}
}

// leader returns the name of the controller that the leader record names, or "" if there is none.
func (s *stateService) leader() string {
	kv, ok := s.keys[records.KeyLeader]
	if !ok {
		return ""
	}
	var l records.Leader
	_ = json.Unmarshal(kv.Value, &l)
	return l.Controller
}

// setOutage begins or ends an outage. Leases do not expire during an outage and have their full TTL
// after it.
func (s *stateService) setOutage(on bool) {
	s.outage = on
	for _, id := range s.leaseIDs() {
		s.extendLease(s.leases[id])
	}
	if !on {
		s.notify()
	}
}

// readmit stops refusing requests of the given controllers, or of all if none is given.
func (s *stateService) readmit(controllers ...string) {
	for _, name := range controllers {
		delete(s.refusedControllers, name)
	}
	if len(controllers) == 0 {
		clear(s.refusedControllers)
	}
	s.notify()
}

// leaseIDs returns the IDs of all leases, sorted.
func (s *stateService) leaseIDs() []uint64 {
	var ids []uint64
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// extendLease restarts the TTL of a lease.
func (s *stateService) extendLease(l *lease) {
	if l.expiry != nil {
		l.expiry.run = nil
	}
	l.expiry = s.cluster.after(l.ttl, func() {
		if !s.outage {
			s.endLease(l)
		}
	})
}

// endLease removes a lease and deletes the keys attached to it, under one new revision.
func (s *stateService) endLease(l *lease) {
	if s.leases[l.id] == nil {
		return
	}
	delete(s.leases, l.id)
	l.expiry.run = nil
	var keys []string
	for k := range l.keys {
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	s.revision++
	for _, k := range keys {
		s.remove(k)
	}
	s.notify()
}

// remove deletes a key under the current revision.
func (s *stateService) remove(key string) {
	kv, ok := s.keys[key]
	if !ok {
		return
	}
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, key)
	}
	delete(s.keys, key)
	s.history = append(s.history, historyEntry{s.revision, protocol.Event{Key: key, Deleted: true, Version: s.revision}})
}

// put writes a key under the current revision.
func (s *stateService) put(op protocol.Op) {
	if old, ok := s.keys[op.Put]; ok {
		if l := s.leases[old.Lease]; l != nil {
			delete(l.keys, op.Put)
		}
	}
	s.keys[op.Put] = protocol.KeyValue{Key: op.Put, Value: op.Value, Version: s.revision, Lease: op.Lease}
	if l := s.leases[op.Lease]; l != nil {
		l.keys[op.Put] = true
	}
	if s.cluster.externalUsers {
		s.cluster.learnFromRecord(op)
	}
	s.cluster.migrations.observe(s.cluster, op)
	s.history = append(s.history, historyEntry{s.revision, protocol.Event{Key: op.Put, Value: op.Value, Version: s.revision}})
}

// notify answers the open watches that have events.
func (s *stateService) notify() {
	if s.outage {
		return
	}
	keep := s.watches[:0]
	var ready []*watch
	for _, w := range s.watches {
		if w.closed {
			continue
		}
		// Open watches of a refused controller wait until it is readmitted, as all watches
		// wait during an outage.
		if len(s.eventsFor(w)) > 0 && !s.refusedControllers[w.from] {
			ready = append(ready, w)
		} else {
			keep = append(keep, w)
		}
	}
	s.watches = keep
	for _, w := range ready {
		w.closed = true
		w.respond(200, protocol.EncodeEvents(s.eventsFor(w), s.revision))
	}
}

// eventsFor returns the events that a watch is to receive.
func (s *stateService) eventsFor(w *watch) []protocol.Event {
	var list []protocol.Event
	i, _ := slices.BinarySearchFunc(s.history, w.afterRevision+1, func(c historyEntry, r uint64) int { return int(int64(c.revision) - int64(r)) })
	for _, c := range s.history[i:] {
		if strings.HasPrefix(c.event.Key, w.prefix) {
			list = append(list, c.event)
		}
	}
	return list
}

// serve handles a request of a controller, and delays a share of the requests (slowRequestShare).
func (s *stateService) serve(from, method, target string, body []byte, respond respondFunc) {
	if s.slowRequestShare > 0 && s.cluster.rng.Float64() < s.slowRequestShare {
		wait := time.Duration(s.cluster.rng.Int64N(int64(s.maxRequestDelay)))
		if s.cluster.rng.IntN(2) == 0 { // half are carried out late, half are only answered late
			s.cluster.after(wait, func() { s.handle(from, method, target, body, respond) })
			return
		}
		answer := respond
		respond = func(status int, body []byte) { s.cluster.after(wait, func() { answer(status, body) }) }
	}
	s.handle(from, method, target, body, respond)
}

// handle handles a request of a controller. It replies with status 503 during an outage or if the
// controller is refused, and with 429 if the rate limit is exceeded.
func (s *stateService) handle(from, method, target string, body []byte, respond respondFunc) {
	if s.outage || s.refusedControllers[from] {
		respond(503, nil)
		return
	}
	if !s.requestBucket.TryTake(s.cluster.now, 1) {
		s.rateLimited++
		respond(429, nil)
		return
	}
	path, query := protocol.ParseQuery(target)
	switch {
	case path == protocol.PathTransactions:
		s.transaction(body, respond)
	case path == protocol.PathKeys:
		s.list(query, respond)
	case path == protocol.PathWatch:
		s.watch(from, query, respond)
	case path == protocol.PathLeases:
		s.grantLease(body, respond)
	case strings.HasPrefix(path, protocol.PathLeases+"/"):
		s.changeLease(method, strings.TrimPrefix(path, protocol.PathLeases+"/"), respond)
	case strings.HasPrefix(path, protocol.PathKeys+"/"):
		kv, ok := s.keys[strings.TrimPrefix(path, protocol.PathKeys+"/")]
		if !ok {
			respond(404, protocol.EncodeRevision(s.revision))
			return
		}
		respond(200, protocol.EncodeKeyValue(kv))
	default:
		respond(400, nil)
	}
}

// transaction applies a transaction. Depending on the simulated faults it does so later, or without
// replying.
func (s *stateService) transaction(body []byte, respond respondFunc) {
	t, err := protocol.ParseTxn(body)
	if err != nil || len(t.Ops) > s.cluster.settings.MaxTxnOps || len(t.Conditions) > 4*s.cluster.settings.MaxTxnOps {
		respond(400, nil)
		return
	}
	if !s.writeBucket.TryTake(s.cluster.now, float64(len(t.Ops))) {
		s.rateLimited++
		respond(429, nil)
		return
	}
	s.writes += len(t.Ops)
	if len(t.Ops) == 0 {
		s.commit(t, respond)
		return
	}
	if s.commitDelay > 0 && (s.delayedCommitShare == 0 || s.cluster.rng.Float64() < s.delayedCommitShare) {
		delay := s.commitDelay
		if s.commitDelayJitter > 0 {
			delay += time.Duration(s.cluster.rng.Int64N(int64(s.commitDelayJitter)))
		}
		s.cluster.after(delay, func() { s.commit(t, ignoreResponse) })
		return
	}
	if s.lostReplyShare > 0 && s.cluster.rng.Float64() < s.lostReplyShare {
		s.cluster.withTriggers(onLostReply, nil, func() { s.commit(t, ignoreResponse) })
		return
	}
	s.commit(t, respond)
}

// list replies with the items under a prefix, sorted by key, up to the limit.
func (s *stateService) list(query url.Values, respond respondFunc) {
	prefix, after, limit, _ := protocol.ParseRangeQuery(query)
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	more := len(names) > limit
	var items []protocol.KeyValue
	for _, k := range names[:min(limit, len(names))] {
		items = append(items, s.keys[k])
	}
	respond(200, protocol.EncodeRange(items, more, s.revision))
}

// watch replies with the events after a revision, or waits for them.
func (s *stateService) watch(from string, query url.Values, respond respondFunc) {
	if delay := s.watchDelay; delay > 0 {
		answer := respond
		respond = func(status int, body []byte) { s.cluster.after(delay, func() { answer(status, body) }) }
	}
	prefix, after, _, wait := protocol.ParseRangeQuery(query)
	since, _ := strconv.ParseUint(after, 10, 64)
	w := &watch{from: from, prefix: prefix, afterRevision: since, respond: respond}
	if events := s.eventsFor(w); len(events) > 0 {
		respond(200, protocol.EncodeEvents(events, s.revision))
		return
	}
	s.watches = append(s.watches, w)
	s.cluster.after(wait, func() {
		if !w.closed && !s.outage && !s.refusedControllers[w.from] {
			w.closed = true
			respond(200, protocol.EncodeEvents(nil, s.revision))
		}
	})
}

// grantLease creates a lease with the requested TTL.
func (s *stateService) grantLease(body []byte, respond respondFunc) {
	ttl, err := protocol.ParseLeaseRequest(body)
	if err != nil {
		respond(400, nil)
		return
	}
	s.lastLeaseID++
	l := &lease{id: s.lastLeaseID, ttl: ttl, keys: map[string]bool{}}
	s.leases[l.id] = l
	s.extendLease(l)
	respond(200, protocol.EncodeLease(l.id))
}

// changeLease renews or revokes a lease. rest is the path of the request after the path of leases.
func (s *stateService) changeLease(method, rest string, respond respondFunc) {
	rest, renew := strings.CutSuffix(rest, "/touch")
	id, _ := strconv.ParseUint(rest, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		respond(404, nil)
	case renew:
		s.extendLease(l)
		respond(200, protocol.EncodeLease(id))
	case method == "DELETE":
		s.endLease(l)
		respond(200, nil)
	default:
		respond(400, nil)
	}
}

// validate returns the status and body with which a transaction is refused, or status 0 if it is
// valid and its conditions hold.
func (s *stateService) validate(t *protocol.Txn) (status int, body []byte) {
	for _, op := range t.Ops {
		if op.Put != "" && op.Lease != 0 && s.leases[op.Lease] == nil {
			return 400, nil
		}
		if len(op.Value) > s.cluster.settings.MaxValueBytes {
			s.cluster.reportViolation("limit", "value of %d bytes for key %s exceeds the limit", len(op.Value), op.Put)
			return 400, nil
		}
	}
	var failed []string
	for _, condition := range t.Conditions {
		if s.keys[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return 409, protocol.EncodeFailedConditions(failed, s.revision)
	}
	return 0, nil
}

// commit applies a transaction if it is valid and its conditions hold, and replies with the result.
func (s *stateService) commit(t *protocol.Txn, respond respondFunc) {
	if status, body := s.validate(t); status != 0 {
		respond(status, body)
		return
	}
	var written []string
	elected := false // the leader key is written
	for _, op := range t.Ops {
		written = append(written, op.Put+op.Delete)
		elected = elected || op.Put == records.KeyLeader
	}
	s.cluster.fireTriggers(onWrite, written, true)
	if elected {
		s.cluster.fireTriggers(onLeader, nil, true)
	}
	s.apply(t.Ops)
	respond(200, protocol.EncodeRevision(s.revision))
	s.notify()
	s.cluster.fireTriggers(onWrite, written, false)
	if elected {
		s.cluster.fireTriggers(onLeader, nil, false)
		s.cluster.deliverStaleHeartbeats()
	}
}

// apply applies the changes of a transaction under one new revision.
func (s *stateService) apply(ops []protocol.Op) {
	if len(ops) == 0 {
		return
	}
	s.revision++
	for _, op := range ops {
		if op.Put != "" {
			s.put(op)
		} else {
			s.remove(op.Delete)
		}
	}
}
