package statestore

import (
	"log/slog"
	"time"

	"brasskeel/internal/protocol"
)

// requestTimeout is the time limit for most requests. The state service occasionally takes
// several hundred milliseconds to answer.
const requestTimeout = 1500 * time.Millisecond

// Delays before a retry: fixed parts for a read of one key and for a page of a list, and a random
// part for both, so that controllers don't all retry at the same time after an outage.
const (
	readRetryDelay  = 200 * time.Millisecond
	listRetryDelay  = 250 * time.Millisecond
	readRetryJitter = 100 * time.Millisecond
)

// pageSize is the maximum number of keys in one page of a list.
const pageSize = 500

// watchTimeoutMargin is how long after the end of its wait a watch may still be answered.
const watchTimeoutMargin = 4 * time.Second

// Request is a request to the state service.
type Request struct {
	Method  string
	Target  string
	Body    []byte
	Timeout time.Duration
}

// Response is the result of a request. If it wasn't answered, the request may have been carried
// out, or may be carried out later, unless NotSent is set.
type Response struct {
	Status   int
	Body     []byte
	Answered bool
	NotSent  bool
}

// ok reports whether the service answered with 200.
func (r *Response) ok() bool { return r.Answered && r.Status == 200 }

// Timer is a timer that the host has set.
type Timer interface {
	// Stop prevents the timer from firing.
	Stop()
}

// Host provides the clock, timers and transport that a client needs.
type Host interface {
	// Now returns the time of the current step.
	Now() time.Time
	// After runs f once d has passed.
	After(d time.Duration, f func()) Timer
	// Jitter returns a random duration below d.
	Jitter(d time.Duration) time.Duration
	// Send sends a request and calls done with its result, never before Send has returned.
	Send(r Request, done func(Response))
}

// Client sends requests to the state service. It isn't safe for concurrent use.
type Client struct {
	host     Host
	log      *slog.Logger
	probeKey string
	health   health
}

// NewClient returns a client that probes a failing service by reading probeKey.
func NewClient(host Host, log *slog.Logger, probeKey string) *Client {
	return &Client{host: host, log: log, probeKey: probeKey}
}

// send sends a request. done must first call observe, unless the response says nothing about
// the service's health.
func (c *Client) send(method, target string, body []byte, timeout time.Duration, done func(Response)) {
	c.host.Send(Request{method, target, body, timeout}, done)
}

// ReadStatus is the status of a read.
type ReadStatus uint8

// Statuses of reads.
const (
	ReadUnknown ReadStatus = iota // no response, a refusal, or an invalid response
	Absent                        // there is no such key
	Found
)

// ReadResult is the result of reading a key.
type ReadResult struct {
	Status ReadStatus
	Item   protocol.KeyValue // set if Status is Found
}

// Get reads one key, without retries.
func (c *Client) Get(key string, done func(ReadResult)) {
	c.send("GET", protocol.KeyTarget(key), nil, requestTimeout, func(r Response) {
		c.observe(r)
		switch {
		case r.Answered && r.Status == 404:
			done(ReadResult{Status: Absent})
		case r.ok():
			item, err := protocol.ParseKeyValue(r.Body)
			if err != nil {
				done(ReadResult{})
				return
			}
			done(ReadResult{Found, item})
		default:
			done(ReadResult{})
		}
	})
}

// GetWithRetry reads one key and retries until the result is known. It stops, without calling done,
// once alive returns false.
func (c *Client) GetWithRetry(key string, alive func() bool, done func(ReadResult)) {
	c.Get(key, func(r ReadResult) {
		switch {
		case !alive():
		case r.Status == ReadUnknown:
			c.RetryRead(alive, func() { c.GetWithRetry(key, alive, done) })
		default:
			done(r)
		}
	})
}

// RetryRead runs f after the retry delay of reads, if alive still returns true then.
func (c *Client) RetryRead(alive func() bool, f func()) {
	c.host.After(readRetryDelay+c.host.Jitter(readRetryJitter), func() {
		if alive() {
			f()
		}
	})
}

// ListResult holds all keys with a prefix.
type ListResult struct {
	Items []protocol.KeyValue
	// Revision is the revision of the first page. A watch from this revision misses no change.
	Revision uint64
	// RequestedAt is when the first page was requested, in the attempt that was answered. Keys
	// written before that time are listed, unless they were deleted since.
	RequestedAt time.Time
}

// List reads all keys with a prefix, page by page, and retries each page until it is read. It
// stops, without calling done, once alive returns false.
func (c *Client) List(prefix string, alive func() bool, done func(ListResult)) {
	l := &listing{client: c, prefix: prefix, alive: alive, done: done}
	l.requestPage("")
}

// listing is a list in progress.
type listing struct {
	client *Client
	prefix string
	alive  func() bool
	done   func(ListResult)
	result ListResult
}

// requestPage requests the page of the keys that follow after.
func (l *listing) requestPage(after string) {
	if l.result.Revision == 0 {
		l.result.RequestedAt = l.client.host.Now()
	}
	l.client.send("GET", protocol.RangeTarget(l.prefix, after, pageSize), nil, 2*requestTimeout, func(r Response) {
		l.client.observe(r)
		if l.alive() && !l.addPage(r) {
			l.retry(after)
		}
	})
}

// addPage adds a page and requests the next one, or completes the list. It returns false if the
// response holds no valid page.
func (l *listing) addPage(r Response) bool {
	if !r.ok() {
		return false
	}
	items, more, revision, err := protocol.ParseRange(r.Body)
	if err != nil || more && len(items) == 0 {
		return false
	}
	if l.result.Revision == 0 {
		l.result.Revision = revision
	}
	l.result.Items = append(l.result.Items, items...)
	if more {
		l.requestPage(items[len(items)-1].Key)
		return true
	}
	l.done(l.result)
	return true
}

func (l *listing) retry(after string) {
	host := l.client.host
	host.After(listRetryDelay+host.Jitter(readRetryJitter), func() {
		if l.alive() {
			l.requestPage(after)
		}
	})
}

// WatchStatus is the status of a watch that has ended.
type WatchStatus uint8

// Statuses of watches.
const (
	WatchUnknown   WatchStatus = iota // no response, a refusal, or an invalid response
	WatchEvents                       // all changes up to the revision were delivered
	WatchCompacted                    // the service no longer has all of the changes: the keys must be read again
)

// WatchResult is the result of a watch.
type WatchResult struct {
	Status   WatchStatus
	Events   []protocol.Event
	Revision uint64
}

// Watch waits for changes that were made after a revision to keys with a prefix, for at most
// wait.
func (c *Client) Watch(prefix string, after uint64, wait time.Duration, done func(WatchResult)) {
	target := protocol.WatchTarget(prefix, after, wait)
	c.send("GET", target, nil, wait+watchTimeoutMargin, func(r Response) {
		if r.Answered { // a missing response may just mean that there was no change, so it doesn't count as a failure
			c.observe(r)
		}
		done(watchResult(r))
	})
}

func watchResult(r Response) WatchResult {
	if r.ok() {
		if events, revision, err := protocol.ParseEvents(r.Body); err == nil {
			return WatchResult{WatchEvents, events, revision}
		}
	}
	if r.Answered && r.Status == 410 {
		return WatchResult{Status: WatchCompacted}
	}
	return WatchResult{}
}

// CommitStatus is the status of a transaction.
type CommitStatus uint8

// Statuses of transactions.
const (
	CommitUnknown      CommitStatus = iota // it may have been applied, or may be applied later
	CommitApplied                          // all of its operations were executed
	CommitConflict                         // a condition didn't hold; nothing was written
	CommitRefused                          // it wasn't executed and never will be; it may be sent again
	CommitLeaseExpired                     // an operation names a lease that has ended; nothing was written
)

// CommitResult is the result of a transaction.
type CommitResult struct {
	Status   CommitStatus
	Revision uint64   // of its writes, if it was applied
	Failed   []string // on a conflict, the keys whose conditions didn't hold
}

// Commit sends a transaction, without retries.
func (c *Client) Commit(t *protocol.Txn, done func(CommitResult)) {
	c.send("POST", protocol.PathTransactions, protocol.EncodeTxn(t), requestTimeout, func(r Response) {
		c.observe(r)
		done(commitResult(r))
	})
}

func commitResult(r Response) CommitResult {
	switch {
	case !r.Answered && r.NotSent:
		return CommitResult{Status: CommitRefused}
	case !r.Answered:
		return CommitResult{}
	case r.Status == 200:
		if revision, err := protocol.ParseRevision(r.Body); err == nil {
			return CommitResult{Status: CommitApplied, Revision: revision}
		}
	case r.Status == 409:
		if failed, err := protocol.ParseFailedConditions(r.Body); err == nil {
			return CommitResult{Status: CommitConflict, Failed: failed}
		}
	case r.Status == 503 || r.Status == 429:
		return CommitResult{Status: CommitRefused}
	case r.Status == 400:
		return CommitResult{Status: CommitLeaseExpired}
	}
	return CommitResult{}
}

// MaxConditions returns how many conditions one transaction may have if it may hold maxOps
// operations: the state service accepts four times as many conditions as operations, and the
// conditions must fit into a request's body.
func MaxConditions(maxOps int) int { return min(4*maxOps, protocol.MaxConditions) }
