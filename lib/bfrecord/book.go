package bfrecord

import (
	"fmt"
	"time"
)

// Digest identifies the content of a request.
type Digest [16]byte

// Limits bounds the memory of a Book.
type Limits struct {
	// Records is the maximum number of records, running ones included.
	Records int
	// Running is the maximum number of concurrently running requests; a running record is never dropped.
	Running int
	// Scopes is the maximum number of tracked ID sources: entry incarnations, and the home's minted keys.
	Scopes int
	// Bytes is the maximum total size of the kept answers.
	Bytes int
	// AnswerBytes is the maximum size of a single kept answer.
	AnswerBytes int
	// Retention is how long a settled record is kept, if Records permits.
	Retention time.Duration
}

// DefaultLimits returns limits for 240 requests per second kept for two minutes.
func DefaultLimits() Limits {
	return Limits{
		Records: 32_768, Running: 4_096, Scopes: 32_768,
		Bytes: 8 << 20, AnswerBytes: 16 << 10, Retention: 2 * time.Minute,
	}
}

// Request describes an arrival to Book.Begin.
type Request struct {
	// ID is the arrival's request ID.
	ID ID
	// Home is the incarnation to which the request was sent.
	Home Home
	// Content is the digest of method, path and body.
	Content Digest
	// Class is the request's class in its policy.
	Class string
}

type state uint8

const (
	stateRunning state = iota + 1
	stateBarred
	stateFinished
)

type record struct {
	id        ID
	scope     *scope
	class     string
	answer    Answer
	settledAt time.Time
	content   Digest
	state     state
}

// Book deduplicates the requests of one home and keeps their results. It is not
// safe for concurrent use.
//
// Invariants: Begin returns Run at most once for an ID, and never for a barred
// ID; a running record is never dropped; the watermark of a scope is at or above
// the counter of each of its dropped records.
type Book struct {
	home    Home
	limits  Limits
	records map[ID]*record
	scopes  scopeSet
	// settledQueue holds barred and finished records, oldest first.
	settledQueue queue[*record]
	// answerQueue holds finished records with answers of non-zero size, oldest first.
	answerQueue queue[*record]
	running     int
	answerBytes int
}

// NewBook returns an empty Book for home.
func NewBook(home Home, limits Limits) *Book {
	return &Book{home: home, limits: limits, records: map[ID]*record{}, scopes: newScopeSet(limits.Scopes)}
}

// Begin registers an arrival and decides on it; only a Run verdict permits forwarding it to the target.
func (b *Book) Begin(now time.Time, request Request) Verdict {
	b.expire(now)
	// A request sent to an earlier incarnation may have run there, and its
	// record was lost in the restart; running it here could be a second run.
	if request.Home != b.home {
		return HomeChanged{home: b.home}
	}
	if r, found := b.records[request.ID]; found {
		return r.verdict(request.Content)
	}
	// Its record may have been dropped: the request may have run, or NotRun may
	// have been reported to its caller.
	if b.scopes.mayHaveDropped(request.ID) {
		return TooLate{}
	}
	if b.running >= b.limits.Running {
		return Full{}
	}
	r := b.insert(request.ID, stateRunning)
	if r == nil {
		return Full{}
	}
	r.content = request.Content
	r.class = request.Class
	b.running++
	b.enforceLimits()
	return Run{}
}

func (r *record) verdict(content Digest) Verdict {
	switch {
	case r.state == stateBarred:
		return Barred{}
	case r.content != content:
		return Mismatch{}
	case r.state == stateRunning:
		return StillRunning{}
	}
	return Replay{answer: r.answer}
}

// StateError reports a Finish or Abort of a request that is not running.
type StateError struct {
	ID   ID
	Call string
}

// Error includes the call and the request ID.
func (e *StateError) Error() string {
	return fmt.Sprintf("%s: request %s is not running", e.Call, e.ID)
}

// Finish records the answer of a request that was forwarded to its target. Its error is a *StateError.
func (b *Book) Finish(now time.Time, id ID, answer Answer) error {
	r, found := b.records[id]
	if !found || r.state != stateRunning {
		return &StateError{ID: id, Call: "finish"}
	}
	b.settle(now, r, stateFinished)
	r.answer = answer
	if whole, isWhole := answer.(WholeAnswer); isWhole && whole.size() > b.limits.AnswerBytes {
		r.answer = DroppedAnswer{status: whole.status}
	}
	if size := r.answer.size(); size > 0 {
		b.answerBytes += size
		b.answerQueue.push(r)
	}
	b.expire(now)
	return nil
}

// Abort bars a running request that was not forwarded to its target and must not be. Its error is a *StateError.
func (b *Book) Abort(now time.Time, id ID) error {
	r, found := b.records[id]
	if !found || r.state != stateRunning {
		return &StateError{ID: id, Call: "abort"}
	}
	b.settle(now, r, stateBarred)
	b.expire(now)
	return nil
}

func (b *Book) settle(now time.Time, r *record, to state) {
	r.state = to
	r.settledAt = now
	b.running--
	b.settledQueue.push(r)
}

// Resolve returns the state of a request that was sent to home.
//
// An unknown request is barred first: it may still be in transit, and the entry
// node will report to its caller that it was not run.
func (b *Book) Resolve(now time.Time, id ID, home Home) Resolution {
	b.expire(now)
	if home != b.home {
		return HomeLost{home: b.home}
	}
	if r, found := b.records[id]; found {
		return r.resolution()
	}
	if b.scopes.mayHaveDropped(id) {
		return Forgotten{}
	}
	r := b.insert(id, stateBarred)
	if r == nil {
		return Forgotten{}
	}
	r.settledAt = now
	b.settledQueue.push(r)
	b.enforceLimits()
	return NeverSeen{}
}

func (r *record) resolution() Resolution {
	switch r.state {
	case stateBarred:
		return NeverSeen{}
	case stateRunning:
		return Running{}
	}
	return Finished{answer: r.answer}
}

// insert adds a record; it returns nil if its scope is new and the scopes are at their limit.
func (b *Book) insert(id ID, in state) *record {
	scope := b.scopes.acquire(id.scope())
	if scope == nil {
		return nil
	}
	// Share the scope's copy of the instance name, so that a record does not retain its message's buffer.
	id.Entry = scope.key.entry
	r := &record{id: id, scope: scope, state: in}
	b.records[id] = r
	return r
}

// expire drops records and scopes past their retention.
func (b *Book) expire(now time.Time) {
	for b.settledQueue.len() > 0 && now.Sub(b.settledQueue.front().settledAt) >= b.limits.Retention {
		b.dropOldest()
	}
	b.enforceLimits()
	b.scopes.foldIdle(now.Add(-b.limits.Retention))
}

// enforceLimits drops the oldest answers over the byte limit and the oldest settled
// records over the record limit. A record outlives its answer, to prevent a second run.
func (b *Book) enforceLimits() {
	for b.answerBytes > b.limits.Bytes && b.answerQueue.len() > 0 {
		b.dropAnswer(b.answerQueue.pop())
	}
	for len(b.records) > b.limits.Records && b.settledQueue.len() > 0 {
		b.dropOldest()
	}
}

func (b *Book) dropAnswer(r *record) {
	b.answerBytes -= r.answer.size()
	if whole, isWhole := r.answer.(WholeAnswer); isWhole {
		r.answer = DroppedAnswer{status: whole.status}
		return
	}
	r.answer = LostAnswer{}
}

func (b *Book) dropOldest() {
	r := b.settledQueue.pop()
	// Both queues are in settling order, so the record is at the front of answerQueue or not in it.
	if b.answerQueue.len() > 0 && b.answerQueue.front() == r {
		b.dropAnswer(b.answerQueue.pop())
	}
	delete(b.records, r.id)
	b.scopes.release(r.scope, r.id.Counter)
}

// Stats holds the size counters of a Book.
type Stats struct {
	records, running, scopes, bytes int
}

// Records returns the number of records.
func (s Stats) Records() int { return s.records }

// Running returns the number of running requests.
func (s Stats) Running() int { return s.running }

// Scopes returns the number of tracked ID sources.
func (s Stats) Scopes() int { return s.scopes }

// Bytes returns the total size of the kept answers.
func (s Stats) Bytes() int { return s.bytes }

// Stats returns the current size counters.
func (b *Book) Stats() Stats {
	return Stats{records: len(b.records), running: b.running, scopes: len(b.scopes.byKey), bytes: b.answerBytes}
}
