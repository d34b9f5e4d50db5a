package protocol

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Paths of the state service's API.
const (
	PathKeys         = "/keys"
	PathTransactions = "/multi"
	PathLeases       = "/leases"
	PathWatch        = "/changes"
)

// KeyValue is a key of the state service with its value, its version and the lease it is
// attached to, if any.
type KeyValue struct {
	Key     string
	Value   json.RawMessage
	Version uint64
	Lease   uint64
}

// Condition is the expected version of a key; 0 expects the key to be absent.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"entry"`
}

// Op is an operation of a transaction: it writes or deletes one key.
type Op struct {
	Put    string          `json:"write,omitempty"`
	Delete string          `json:"remove,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"warrant,omitempty"`
}

// Txn is a transaction: all of its operations are applied if all its conditions hold, otherwise none.
type Txn struct {
	Conditions []Condition `json:"when"`
	Ops        []Op        `json:"then"`
}

// Event is one change of a key that a watch reports.
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

// KeyTarget returns the request target of a read of one key.
func KeyTarget(key string) string { return PathKeys + "/" + key }

// ParseKeyValue parses the response to a read of one key.
func ParseKeyValue(body []byte) (KeyValue, error) {
	var w wireKeyValue
	if err := Decode(body, &w); err != nil {
		return KeyValue{}, err
	}
	return w.keyValue()
}

// RangeTarget returns the request target of one page of the keys with a prefix: those after the
// key named, or the first page if after is empty.
func RangeTarget(prefix, after string, limit int) string {
	t := PathKeys + "?starts=" + escapeKey(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		t += "&after=" + escapeKey(after)
	}
	return t
}

// ParseRange parses one page of keys and the revision at which it was read.
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
		kv, err := w.Items[i].keyValue()
		if err != nil {
			return nil, false, 0, err
		}
		items = append(items, kv)
	}
	return items, *w.More, *w.Revision, nil
}

// MaxConditions is how many conditions fit in a transaction without operations, with keys of
// maxJobKeyBytes.
const MaxConditions = (MaxBody - maxMessageOverhead) / (len(`{"path":"","entry":18446744073709551615},`) + maxJobKeyBytes)

// maxJobKeyBytes is more than the length of any key of a job's records.
const maxJobKeyBytes = 48

// EncodeTxn encodes a transaction. Its lists are never null on the wire.
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

// ParseRevision parses the response to a transaction that was applied: its revision.
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

// ParseFailedConditions parses the response to a transaction that was not applied: the keys
// whose conditions did not hold.
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

// EncodeLeaseRequest encodes a request for a lease.
func EncodeLeaseRequest(ttl time.Duration) []byte {
	return []byte(`{"ttlMs":` + strconv.FormatInt(ttl.Milliseconds(), 10) + `}`)
}

// ParseLease parses the ID of a new lease.
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

// LeaseTarget returns the request target of a lease.
func LeaseTarget(lease uint64) string { return PathLeases + "/" + strconv.FormatUint(lease, 10) }

// RenewLeaseTarget returns the request target that renews a lease.
func RenewLeaseTarget(lease uint64) string { return LeaseTarget(lease) + "/touch" }

// WatchTarget returns the request target of a watch on a prefix: changes after a revision, for
// which the state service waits at most the given time.
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

// ParseEvents parses the response to a watch: the changes and the revision reached.
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

// escapeKey escapes a key for use in a query; slashes stay unescaped.
func escapeKey(key string) string {
	return strings.ReplaceAll(url.QueryEscape(key), "%2F", "/")
}
