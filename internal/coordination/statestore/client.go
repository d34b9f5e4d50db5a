package statestore

import (
	"log/slog"
	"time"

	"brasskeel/internal/protocol"
)

// requestTimeout is how long the state service has to answer: now and then it takes some
// hundred milliseconds.
const requestTimeout = 1500 * time.Millisecond

// Pauses before a read, or a page of a list, is asked for again: a fixed part and a random one,
// so that controllers don't ask all at once after an outage.
const (
	readRetryDelay  = 200 * time.Millisecond
	listRetryDelay  = 250 * time.Millisecond
	readRetryJitter = 100 * time.Millisecond
)

// pageSize is how many keys one page of a list holds at the most.
const pageSize = 500

// watchTimeoutMargin is how long past its end a watch may take to be answered.
const watchTimeoutMargin = 4 * time.Second

// Request is a request to the state service.
type Request struct {
	Method  string
	Target  string
	Body    []byte
	Timeout time.Duration
}

// Response is what came of a request. Without an answer the request may have been carried
// out, or may be later, unless NotSent says that it never left.
type Response struct {
	Status   int
	Body     []byte
	Answered bool
	NotSent  bool
}

// ok reports whether the service answered with 200.
func (r *Response) ok() bool { return r.Answered && r.Status == 200 }

// Timer is a timer of the host's.
type Timer interface {
	// Stop keeps the timer from firing.
	Stop()
}

// Host is what a client needs of the process it runs in.
type Host interface {
	// Now is the time of the current step.
	Now() time.Time
	// After runs f once d has passed.
	After(d time.Duration, f func()) Timer
	// Jitter is a random duration below d.
	Jitter(d time.Duration) time.Duration
	// Send carries a request out and calls done with what came of it, never before it
	// returns.
	Send(r Request, done func(Response))
}

// Client sends requests to the state service. It isn't safe for concurrent use.
type Client struct {
	host     Host
	log      *slog.Logger
	probeKey string
	health   health
}

// NewClient returns a client that probes an ailing service by reading probeKey.
func NewClient(host Host, log *slog.Logger, probeKey string) *Client {
	return &Client{host: host, log: log, probeKey: probeKey}
}

// send sends a request. done is to begin with observe.
func (c *Client) send(method, target string, body []byte, timeout time.Duration, done func(Response)) {
	c.host.Send(Request{method, target, body, timeout}, done)
}

// ReadStatus tells what is known after a read.
type ReadStatus uint8

// Outcomes of reads.
const (
	ReadUnknown ReadStatus = iota // no answer, a refusal, or an answer that makes no sense
	Absent                        // there is no such key
	Found
)

// ReadResult is what came of reading a key.
type ReadResult struct {
	Status ReadStatus
	Item   protocol.KeyValue // when it was found
}

// Get reads one key, once.
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

// GetWithRetry reads one key as often as it takes to know it. It gives up, without calling
// done, as soon as alive says so.
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

// RetryRead runs f after the pause between attempts at a read, if alive still says so.
func (c *Client) RetryRead(alive func() bool, f func()) {
	c.host.After(readRetryDelay+c.host.Jitter(readRetryJitter), func() {
		if alive() {
			f()
		}
	})
}

// ListResult is all keys with a prefix.
type ListResult struct {
	Items []protocol.KeyValue
	// Revision is that of the first page: a watch from it misses nothing.
	Revision uint64
	// AskedAt is when the first page was asked for: all that was written before is listed.
	AskedAt time.Time
}

// List reads all keys with a prefix, page by page, and asks for each page until it has it.
// It gives up, without calling done, as soon as alive says so.
func (c *Client) List(prefix string, alive func() bool, done func(ListResult)) {
	l := &listing{client: c, prefix: prefix, alive: alive, done: done}
	l.requestPage("")
}

// listing is a list that is being read.
type listing struct {
	client *Client
	prefix string
	alive  func() bool
	done   func(ListResult)
	result ListResult
}

// requestPage asks for the page of keys after one.
func (l *listing) requestPage(after string) {
	if l.result.Revision == 0 {
		l.result.AskedAt = l.client.host.Now()
	}
	l.client.send("GET", protocol.RangeTarget(l.prefix, after, pageSize), nil, 2*requestTimeout, func(r Response) {
		l.client.observe(r)
		if l.alive() && !l.addPage(r) {
			l.retry(after)
		}
	})
}

// addPage adds a page and goes on to the next, or ends the list. It returns false where there
// is no page that makes sense.
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

// WatchStatus tells what is known after a watch ended.
type WatchStatus uint8

// Outcomes of watches.
const (
	WatchUnknown   WatchStatus = iota // no answer, a refusal, or an answer that makes no sense
	WatchEvents                       // all changes up to the revision are told
	WatchCompacted                    // the service no longer has all of them: the keys must be read again
)

// WatchResult is what came of a watch.
type WatchResult struct {
	Status   WatchStatus
	Events   []protocol.Event
	Revision uint64
}

// Watch waits for changes of keys with a prefix after a revision, for as long as wait.
func (c *Client) Watch(prefix string, after uint64, wait time.Duration, done func(WatchResult)) {
	target := protocol.WatchTarget(prefix, after, wait)
	c.send("GET", target, nil, wait+watchTimeoutMargin, func(r Response) {
		if r.Answered { // else nothing may have changed, which says nothing of the service
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

// CommitStatus tells what became of a transaction.
type CommitStatus uint8

// Outcomes of transactions.
const (
	CommitUnknown      CommitStatus = iota // it may have been applied, or may yet be
	CommitApplied                          // all of it was done
	CommitConflict                         // a condition didn't hold; nothing was done
	CommitRefused                          // it wasn't executed, and may be sent again
	CommitLeaseExpired                     // it names a lease that has ended; nothing was done
)

// CommitResult is what became of a transaction.
type CommitResult struct {
	Status   CommitStatus
	Revision uint64   // of its writes, when it was applied
	Failed   []string // keys whose condition didn't hold, on a conflict
}

// Commit sends a transaction, once.
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

// MaxConditions is how many keys one transaction compares at the most, where it may hold
// maxOps writes: what the state service takes, and what a request's body holds.
func MaxConditions(maxOps int) int { return min(4*maxOps, protocol.MaxConditions) }
