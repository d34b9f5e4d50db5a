package harness

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is a stand-in of the state service.
type State struct {
	mu       sync.Mutex
	rec      *Record
	revision uint64
	keys     map[string]stateItem
	history  []change
	leases   map[uint64]*lease
	lastID   uint64
	changed  chan struct{} // closed at the next change
}

type stateItem struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"entry"`
	Lease   uint64          `json:"warrant,omitempty"`
}

type change struct {
	Put     string          `json:"write,omitempty"`
	Delete  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"entry"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

type transaction struct {
	When []struct {
		Key     string `json:"path"`
		Version uint64 `json:"entry"`
	} `json:"when"`
	Then []struct {
		Put    string          `json:"write"`
		Delete string          `json:"remove"`
		Value  json.RawMessage `json:"data"`
		Lease  uint64          `json:"warrant"`
	} `json:"then"`
}

// NewState returns a state service without keys.
func NewState(rec *Record) *State {
	s := &State{rec: rec, revision: 1, keys: map[string]stateItem{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// Listen serves the state service on an address of its own for one controller.
func (s *State) Listen() (string, error) { return serve(s.handle) }

func (s *State) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys attached to it.
func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.keys {
		if item.Lease == id {
			delete(s.keys, key)
			s.note(change{Delete: key, Version: s.revision})
		}
	}
}

func (s *State) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Value returns the value of a key, or nil.
func (s *State) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].Value
}

// Put writes a key, as a controller does.
func (s *State) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keys[key] = stateItem{Key: key, Value: value, Version: s.revision}
	s.note(change{Put: key, Value: value, Version: s.revision})
}

func (s *State) handle(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	path := r.URL.Path
	switch {
	case path == "/changes":
		s.watch(w, r)
	case path == "/keys":
		s.list(w, r)
	case strings.HasPrefix(path, "/keys/"):
		s.mu.Lock()
		item, ok := s.keys[strings.TrimPrefix(path, "/keys/")]
		revision := s.revision
		s.mu.Unlock()
		if !ok {
			answer(w, 404, object{"logbook": revision})
			return
		}
		answer(w, 200, item)
	case path == "/multi":
		s.commit(w, r)
	case strings.HasPrefix(path, "/leases"):
		s.lease(w, r)
	default:
		answer(w, 404, object{"error": "no such path"})
	}
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []stateItem{}
	for key, item := range s.keys {
		if strings.HasPrefix(key, q.Get("starts")) && key > q.Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Key < items[k].Key })
	more := len(items) > limit
	if more {
		items = items[:limit]
	}
	answer(w, 200, object{"entries": items, "more": more, "logbook": s.revision})
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if readBody(r, &t) != nil {
		answer(w, 400, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range t.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			answer(w, 400, object{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, c := range t.When {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		answer(w, 409, object{"failed": failed, "logbook": s.revision})
		return
	}
	if len(t.Then) > 0 {
		s.apply(&t)
	}
	answer(w, 200, object{"logbook": s.revision})
}

func (s *State) apply(t *transaction) {
	s.revision++
	for _, op := range t.Then {
		if op.Put != "" {
			s.keys[op.Put] = stateItem{op.Put, op.Value, s.revision, op.Lease}
			s.note(change{Put: op.Put, Value: op.Value, Version: s.revision})
			if op.Put == "e/leader" {
				s.rec.Logf("state: leader record %s", op.Value)
			}
		} else if _, ok := s.keys[op.Delete]; ok {
			delete(s.keys, op.Delete)
			s.note(change{Delete: op.Delete, Version: s.revision})
		}
	}
}

func (s *State) lease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/leases" {
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if readBody(r, &body) != nil || body.TTL < 100 || body.TTL > 600_000 {
			answer(w, 400, object{"error": "malformed"})
			return
		}
		s.lastID++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
		answer(w, 200, object{"warrant": s.lastID})
		return
	}
	id, _ := strconv.ParseUint(strings.Split(r.URL.Path, "/")[2], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		answer(w, 404, object{"error": "no such lease"})
	case r.Method == http.MethodDelete:
		s.endLease(id)
		answer(w, 200, object{"warrant": id})
	default:
		l.end = time.Now().Add(l.ttl)
		answer(w, 200, object{"warrant": id})
	}
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("blockMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after }); i < len(s.history); i++ {
			if c := s.history[i]; strings.HasPrefix(c.Put+c.Delete, q.Get("starts")) {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, object{"logbook": revision, "news": events})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, object{"logbook": revision, "news": events})
			return
		case <-r.Context().Done():
			return
		}
	}
}
