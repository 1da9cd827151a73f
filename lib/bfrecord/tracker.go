package bfrecord

import (
	"fmt"
	"time"
)

// Digest identifies the content of a request.
type Digest [16]byte

// Limits bounds the memory of a Tracker.
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

// Request describes an arrival to Tracker.Begin.
type Request struct {
	// ID is the arrival's request ID.
	ID ID
	// Home is the incarnation to which the request was sent.
	Home NodeIncarnation
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

// Tracker deduplicates the requests of one home and keeps their results. It is not
// safe for concurrent use.
//
// Invariants: Begin returns Run at most once for an ID, and never for a barred
// ID; a running record is never dropped; the watermark of a scope is at or above
// the counter of each of its dropped records.
type Tracker struct {
	home    NodeIncarnation
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

// NewTracker returns an empty Tracker for home.
func NewTracker(home NodeIncarnation, limits Limits) *Tracker {
	return &Tracker{home: home, limits: limits, records: map[ID]*record{}, scopes: newScopeSet(limits.Scopes)}
}

// Begin registers an arrival and decides on it; only a Run verdict permits forwarding it to the target.
func (t *Tracker) Begin(now time.Time, request Request) Verdict {
	t.expire(now)
	// A request sent to an earlier incarnation may have run there, and its
	// record was lost in the restart; running it here could be a second run.
	if request.Home != t.home {
		return HomeChanged{home: t.home}
	}
	if r, found := t.records[request.ID]; found {
		return r.verdict(request.Content)
	}
	// Its record may have been dropped: the request may have run, or NotRun may
	// have been reported to its caller.
	if t.scopes.mayHaveDropped(request.ID) {
		return TooLate{}
	}
	if t.running >= t.limits.Running {
		return Full{}
	}
	r := t.insert(request.ID, stateRunning)
	if r == nil {
		return Full{}
	}
	r.content = request.Content
	r.class = request.Class
	t.running++
	t.enforceLimits()
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
func (t *Tracker) Finish(now time.Time, id ID, answer Answer) error {
	r, found := t.records[id]
	if !found || r.state != stateRunning {
		return &StateError{ID: id, Call: "finish"}
	}
	t.settle(now, r, stateFinished)
	r.answer = answer
	if whole, isWhole := answer.(WholeAnswer); isWhole && whole.size() > t.limits.AnswerBytes {
		r.answer = DroppedAnswer{status: whole.status}
	}
	if size := r.answer.size(); size > 0 {
		t.answerBytes += size
		t.answerQueue.push(r)
	}
	t.expire(now)
	return nil
}

// Abort bars a running request that was not forwarded to its target and must not be. Its error is a *StateError.
func (t *Tracker) Abort(now time.Time, id ID) error {
	r, found := t.records[id]
	if !found || r.state != stateRunning {
		return &StateError{ID: id, Call: "abort"}
	}
	t.settle(now, r, stateBarred)
	t.expire(now)
	return nil
}

func (t *Tracker) settle(now time.Time, r *record, to state) {
	r.state = to
	r.settledAt = now
	t.running--
	t.settledQueue.push(r)
}

// Resolve returns the state of a request that was sent to home.
//
// An unknown request is barred first: it may still be in transit, and the entry
// node will report to its caller that it was not run.
func (t *Tracker) Resolve(now time.Time, id ID, home NodeIncarnation) Resolution {
	t.expire(now)
	if home != t.home {
		return HomeLost{home: t.home}
	}
	if r, found := t.records[id]; found {
		return r.resolution()
	}
	if t.scopes.mayHaveDropped(id) {
		return Forgotten{}
	}
	r := t.insert(id, stateBarred)
	if r == nil {
		return Forgotten{}
	}
	r.settledAt = now
	t.settledQueue.push(r)
	t.enforceLimits()
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
func (t *Tracker) insert(id ID, in state) *record {
	scope := t.scopes.acquire(id.scope())
	if scope == nil {
		return nil
	}
	// Share the scope's copy of the instance name, so that a record does not retain its message's buffer.
	id.Entry = scope.key.entry
	r := &record{id: id, scope: scope, state: in}
	t.records[id] = r
	return r
}

// expire drops records and scopes past their retention.
func (t *Tracker) expire(now time.Time) {
	for t.settledQueue.len() > 0 && now.Sub(t.settledQueue.front().settledAt) >= t.limits.Retention {
		t.dropOldest()
	}
	t.enforceLimits()
	t.scopes.foldIdle(now.Add(-t.limits.Retention))
}

// enforceLimits drops the oldest answers over the byte limit and the oldest settled
// records over the record limit. A record outlives its answer, to prevent a second run.
func (t *Tracker) enforceLimits() {
	for t.answerBytes > t.limits.Bytes && t.answerQueue.len() > 0 {
		t.dropAnswer(t.answerQueue.pop())
	}
	for len(t.records) > t.limits.Records && t.settledQueue.len() > 0 {
		t.dropOldest()
	}
}

func (t *Tracker) dropAnswer(r *record) {
	t.answerBytes -= r.answer.size()
	if whole, isWhole := r.answer.(WholeAnswer); isWhole {
		r.answer = DroppedAnswer{status: whole.status}
		return
	}
	r.answer = LostAnswer{}
}

func (t *Tracker) dropOldest() {
	r := t.settledQueue.pop()
	// Both queues are in settling order, so the record is at the front of answerQueue or not in it.
	if t.answerQueue.len() > 0 && t.answerQueue.front() == r {
		t.dropAnswer(t.answerQueue.pop())
	}
	delete(t.records, r.id)
	t.scopes.release(r.scope, r.id.Counter)
}

// Stats holds the size counters of a Tracker.
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
func (t *Tracker) Stats() Stats {
	return Stats{records: len(t.records), running: t.running, scopes: len(t.scopes.byKey), bytes: t.answerBytes}
}
