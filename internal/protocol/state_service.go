package protocol

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Paths of the state service's interface.
const (
	PathKeys         = "/keys"
	PathTransactions = "/multi"
	PathLeases       = "/leases"
	PathWatch        = "/changes"
)

// KeyValue is one key of the state service with its value.
type KeyValue struct {
	Key     string
	Value   json.RawMessage
	Version uint64
	Lease   uint64
}

// Condition is a key's expected version; 0 expects it to be absent.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"entry"`
}

// Op writes or deletes one key.
type Op struct {
	Put    string          `json:"write,omitempty"`
	Delete string          `json:"remove,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"warrant,omitempty"`
}

// Txn is one transaction.
type Txn struct {
	Conditions []Condition `json:"when"`
	Ops        []Op        `json:"then"`
}

// Event is one change that a watch tells of.
type Event struct {
	Key     string
	Deleted bool
	Value   json.RawMessage
	Version uint64
}

type wireKeyValue struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"entry"`
	Lease   uint64          `json:"warrant,omitempty"`
}

func (w *wireKeyValue) keyValue() (KeyValue, error) {
	if w.Key == "" {
		return KeyValue{}, responseError("path", reasonMissing)
	}
	if w.Version == 0 {
		return KeyValue{}, responseError("entry", reasonMissing)
	}
	return KeyValue(*w), nil
}

// KeyTarget is the target that reads one key.
func KeyTarget(key string) string { return PathKeys + "/" + key }

// ParseKeyValue reads one key's value.
func ParseKeyValue(body []byte) (KeyValue, error) {
	var w wireKeyValue
	if err := Decode(body, &w); err != nil {
		return KeyValue{}, err
	}
	return w.keyValue()
}

// RangeTarget is the target that reads one page of the keys with a prefix.
func RangeTarget(prefix, after string, limit int) string {
	t := PathKeys + "?starts=" + escapeKey(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		t += "&after=" + escapeKey(after)
	}
	return t
}

// ParseRange reads one page of keys and the revision it shows.
func ParseRange(body []byte) (items []KeyValue, more bool, revision uint64, err error) {
	var w struct {
		Items    []wireKeyValue `json:"entries"`
		More     *bool          `json:"more"`
		Revision *uint64        `json:"logbook"`
	}
	if err = Decode(body, &w); err != nil {
		return nil, false, 0, err
	}
	if w.Items == nil || w.More == nil || w.Revision == nil {
		return nil, false, 0, responseError("entries", "or more or logbook "+reasonMissing)
	}
	items = make([]KeyValue, 0, len(w.Items))
	for i := range w.Items {
		it, err := w.Items[i].keyValue()
		if err != nil {
			return nil, false, 0, err
		}
		items = append(items, it)
	}
	return items, *w.More, *w.Revision, nil
}

// MaxConditions is how many conditions fit a transaction that has nothing else, each about
// a key as long as a job's.
const MaxConditions = (MaxBody - maxMessageOverhead) / (len(`{"path":"","entry":18446744073709551615},`) + maxJobKeyBytes)

// maxJobKeyBytes is more than a key about a job takes.
const maxJobKeyBytes = 48

// EncodeTxn is the body of a transaction.
func EncodeTxn(t *Txn) []byte {
	if t.Conditions == nil {
		t.Conditions = []Condition{}
	}
	if t.Ops == nil {
		t.Ops = []Op{}
	}
	b, _ := json.Marshal(t)
	return b
}

// ParseRevision reads the revision of a transaction that was applied.
func ParseRevision(body []byte) (uint64, error) {
	var w struct {
		Revision *uint64 `json:"logbook"`
	}
	if err := Decode(body, &w); err != nil {
		return 0, err
	}
	if w.Revision == nil {
		return 0, responseError("logbook", reasonMissing)
	}
	return *w.Revision, nil
}

// ParseFailedConditions reads which conditions kept a transaction from being applied.
func ParseFailedConditions(body []byte) ([]string, error) {
	var w struct {
		Failed []string `json:"failed"`
	}
	if err := Decode(body, &w); err != nil {
		return nil, err
	}
	if len(w.Failed) == 0 {
		return nil, responseError("failed", "names no condition")
	}
	return w.Failed, nil
}

// EncodeLeaseRequest asks for a lease.
func EncodeLeaseRequest(ttl time.Duration) []byte {
	return []byte(`{"ttlMs":` + strconv.FormatInt(ttl.Milliseconds(), 10) + `}`)
}

// ParseLease reads the id of a new lease.
func ParseLease(body []byte) (uint64, error) {
	var w struct {
		Lease uint64 `json:"warrant"`
	}
	if err := Decode(body, &w); err != nil {
		return 0, err
	}
	if w.Lease == 0 {
		return 0, responseError("warrant", reasonMissing)
	}
	return w.Lease, nil
}

// LeaseTarget is the target of a lease; RenewLeaseTarget renews it.
func LeaseTarget(lease uint64) string { return PathLeases + "/" + strconv.FormatUint(lease, 10) }

// RenewLeaseTarget is the target that renews a lease.
func RenewLeaseTarget(lease uint64) string { return LeaseTarget(lease) + "/touch" }

// WatchTarget is the target of a watch on a prefix.
func WatchTarget(prefix string, after uint64, wait time.Duration) string {
	return PathWatch + "?starts=" + escapeKey(prefix) + "&after=" + strconv.FormatUint(after, 10) +
		"&blockMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

type wireEvents struct {
	Revision *uint64 `json:"logbook"`
	Events   []struct {
		Put     string          `json:"write"`
		Delete  string          `json:"remove"`
		Value   json.RawMessage `json:"data"`
		Version uint64          `json:"entry"`
	} `json:"news"`
}

// ParseEvents reads what a watch tells.
func ParseEvents(body []byte) ([]Event, uint64, error) {
	var w wireEvents
	if err := Decode(body, &w); err != nil {
		return nil, 0, err
	}
	if w.Revision == nil {
		return nil, 0, responseError("logbook", reasonMissing)
	}
	events := make([]Event, 0, len(w.Events))
	for _, e := range w.Events {
		switch {
		case e.Put != "":
			events = append(events, Event{Key: e.Put, Value: e.Value, Version: e.Version})
		case e.Delete != "":
			events = append(events, Event{Key: e.Delete, Deleted: true, Version: e.Version})
		default:
			return nil, 0, responseError("news", "holds an event without a key")
		}
	}
	return events, *w.Revision, nil
}

// escapeKey makes a key safe in a query and leaves its slashes as they are.
func escapeKey(key string) string {
	return strings.ReplaceAll(url.QueryEscape(key), "%2F", "/")
}
