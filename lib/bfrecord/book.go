package bfrecord

import (
	"fmt"
	"time"
)

// Digest identifies the content of a request.
type Digest [16]byte

// Limits bounds what a Book keeps.
type Limits struct {
	// Records is how many records are kept, running ones included.
	Records int
	// Running is how many requests may run at once; a running record is never dropped.
	Running int
	// Scopes is how many entry incarnations are known at once.
	Scopes int
	// Bytes is how much all kept answers take.
	Bytes int
	// AnswerBytes is the largest single answer that is kept whole.
	AnswerBytes int
	// Retention is how long a settled record is kept while there is room.
	Retention time.Duration
}

// DefaultLimits suit a node at the fleet's size: 240 requests a second for two minutes.
func DefaultLimits() Limits {
	return Limits{
		Records: 32_768, Running: 4_096, Scopes: 32_768,
		Bytes: 8 << 20, AnswerBytes: 16 << 10, Retention: 2 * time.Minute,
	}
}

// Request is an arrival as the book needs it.
type Request struct {
	// ID is the arrival's request ID.
	ID ID
	// Home is the incarnation that the arrival was sent to.
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
	id      ID
	scope   *scope
	class   string
	answer  Answer
	settled time.Time
	content Digest
	state   state
}

// Book is the memory of one home. It is not safe for concurrent use.
//
// Invariants: Begin returns Run at most once for an ID; an ID that was barred
// never gets Run; a running record is never dropped; for each dropped record
// the watermark of its scope is at or above its counter.
type Book struct {
	home    Home
	limits  Limits
	records map[ID]*record
	scopes  scopeSet
	// settled holds barred and finished records, oldest first.
	settled queue[*record]
	// answers holds finished records whose answer takes room, oldest first.
	answers queue[*record]
	running int
	bytes   int
}

// NewBook makes the empty book of home.
func NewBook(home Home, limits Limits) *Book {
	return &Book{home: home, limits: limits, records: map[ID]*record{}, scopes: newScopeSet(limits.Scopes)}
}

// Begin decides on an arrival; only Run lets it go on to the target.
func (b *Book) Begin(now time.Time, request Request) Verdict {
	b.collect(now)
	// A request sent to an earlier incarnation may have run there, and this
	// book knows nothing of it; to run it here could be the second time.
	if request.Home != b.home {
		return HomeChanged{home: b.home}
	}
	if r, found := b.records[request.ID]; found {
		return r.verdict(request.Content)
	}
	// Its record may have been dropped: it could have run, or its caller could
	// have been told that it never will.
	if b.scopes.dropped(request.ID) {
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
	b.shrink()
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

// StateError reports the end of a request that the book does not have as running.
type StateError struct {
	ID   ID
	Call string
}

// Error names the call and the request.
func (e *StateError) Error() string {
	return fmt.Sprintf("%s of request %s, which is not running", e.Call, e.ID)
}

// Finish records the end of a request that was handed to its target.
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
		b.bytes += size
		b.answers.push(r)
	}
	b.collect(now)
	return nil
}

// Abort records that a request was certainly never handed to its target; it never will be.
func (b *Book) Abort(now time.Time, id ID) error {
	r, found := b.records[id]
	if !found || r.state != stateRunning {
		return &StateError{ID: id, Call: "abort"}
	}
	b.settle(now, r, stateBarred)
	b.collect(now)
	return nil
}

func (b *Book) settle(now time.Time, r *record, to state) {
	r.state = to
	r.settled = now
	b.running--
	b.settled.push(r)
}

// Resolve tells what became of a request that was sent to home.
//
// One that was never seen is barred first: the request may still be on its way,
// and its caller is about to be told that it was not run.
func (b *Book) Resolve(now time.Time, id ID, home Home) Resolution {
	b.collect(now)
	if home != b.home {
		return HomeLost{home: b.home}
	}
	if r, found := b.records[id]; found {
		return r.resolution()
	}
	if b.scopes.dropped(id) {
		return Forgotten{}
	}
	r := b.insert(id, stateBarred)
	if r == nil {
		return Forgotten{}
	}
	r.settled = now
	b.settled.push(r)
	b.shrink()
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

// insert returns nil if the scope is new and there is no room for it.
func (b *Book) insert(id ID, in state) *record {
	scope := b.scopes.hold(id.scope())
	if scope == nil {
		return nil
	}
	// The decoded instance name is shared, so a record keeps no bytes of its message alive.
	id.Entry = scope.key.entry
	r := &record{id: id, scope: scope, state: in}
	b.records[id] = r
	return r
}

// collect drops what is past its retention.
func (b *Book) collect(now time.Time) {
	for b.settled.len() > 0 && now.Sub(b.settled.front().settled) >= b.limits.Retention {
		b.dropOldest()
	}
	b.shrink()
	b.scopes.collect(now.Add(-b.limits.Retention))
}

// shrink holds the bounds; an answer goes before the record that says its request ran.
func (b *Book) shrink() {
	for b.bytes > b.limits.Bytes && b.answers.len() > 0 {
		b.stripAnswer(b.answers.pop())
	}
	for len(b.records) > b.limits.Records && b.settled.len() > 0 {
		b.dropOldest()
	}
}

func (b *Book) stripAnswer(r *record) {
	b.bytes -= r.answer.size()
	if whole, isWhole := r.answer.(WholeAnswer); isWhole {
		r.answer = DroppedAnswer{status: whole.status}
		return
	}
	r.answer = LostAnswer{}
}

func (b *Book) dropOldest() {
	r := b.settled.pop()
	// Answers settle in the order of records, so the record's is at the front or gone.
	if b.answers.len() > 0 && b.answers.front() == r {
		b.stripAnswer(b.answers.pop())
	}
	delete(b.records, r.id)
	b.scopes.release(r.scope, r.id.Counter)
}

// Stats counts what a book holds.
type Stats struct {
	records, running, scopes, bytes int
}

// Records counts all records.
func (s Stats) Records() int { return s.records }

// Running counts the requests that have not ended.
func (s Stats) Running() int { return s.running }

// Scopes counts the entry incarnations known.
func (s Stats) Scopes() int { return s.scopes }

// Bytes is what the kept answers take.
func (s Stats) Bytes() int { return s.bytes }

// Stats counts what the book holds now.
func (b *Book) Stats() Stats {
	return Stats{records: len(b.records), running: b.running, scopes: len(b.scopes.known), bytes: b.bytes}
}
