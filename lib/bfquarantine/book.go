package bfquarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeld bounds the records of held contents, maxSuspected the others. Separate
	// bounds keep a flood of one kind from evicting the other.
	maxHeld      = 512
	maxSuspected = 512
)

// Book holds the records of the requests that ran while targets crashed. It is safe for
// concurrent use.
type Book struct {
	self    uint64
	view    atomic.Pointer[View]
	changed chan struct{}

	mu sync.Mutex
	// updated are the contents whose records this node changed since the last TakeUpdates.
	updated map[Content]bool
}

// New returns the empty book of the node with the name self.
func New(self string) *Book {
	b := &Book{self: hashOf(self), changed: make(chan struct{}, 1), updated: map[Content]bool{}}
	b.view.Store(newView(b.self, nil))
	return b
}

// View returns the current snapshot.
func (b *Book) View() *View { return b.view.Load() }

// Changed returns a channel that receives after this node changed a record, when TakeUpdates
// has updates for other nodes.
func (b *Book) Changed() <-chan struct{} { return b.changed }

// Crashed records the crash of a target against the requests that it ran, and returns the
// requests that are blamed.
//
// If any of them was not Free before, only those are blamed. The others are likely
// innocent, and would be suspected after a few crashes caused by the same request.
func (b *Book) Crashed(crash Crash, ran []Key, now time.Time) (blamed []Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	for _, key := range ran {
		if !held.isFree(key, now) {
			blamed = append(blamed, key)
		}
	}
	if len(blamed) == 0 {
		blamed = ran
	}
	next := maps.Clone(held.records)
	for _, key := range blamed {
		next = b.put(next, key.Content, next[key.Content].merged([]CrashMark{{crash, key.Caller}}, nil, now))
	}
	b.publish(next, now)
	return blamed
}

// Answered records that a target answered a request, which clears the crashes of its
// caller. It reports whether the request was not Free before.
func (b *Book) Answered(key Key, now time.Time) bool {
	if b.view.Load().isFree(key, now) {
		// The usual case, without the lock.
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	if held.isFree(key, now) {
		return false
	}
	r := held.records[key.Content]
	b.publish(b.put(maps.Clone(held.records), key.Content, r.afterAnswer(key.Caller)), now)
	return true
}

// put sets a record and schedules it for TakeUpdates.
func (b *Book) put(records map[Content]record, content Content, r record) map[Content]record {
	if records == nil {
		records = map[Content]record{}
	}
	records[content] = r
	b.updated[content] = true
	select {
	case b.changed <- struct{}{}:
	default:
	}
	return records
}

// Merge merges the records of another node, and returns those that changed here.
func (b *Book) Merge(received []Record, now time.Time) (changed []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	next := maps.Clone(held.records)
	for _, entry := range received {
		if len(entry.Content) != len(Content{}) || entry.AgeMilli < 0 {
			// Not valid, such as from a node of another version.
			continue
		}
		content := Content(entry.Content)
		last := now.Add(-time.Duration(min(entry.AgeMilli, maxAge.Milliseconds())) * time.Millisecond)
		before := held.records[content]
		after := before.merged(entry.Crashes, entry.Cleared, last)
		if after.sameMarks(before) && after.last.Sub(before.last) < lastTolerance || !now.Before(after.expiresAt()) {
			continue
		}
		if next == nil {
			next = map[Content]record{}
		}
		next[content] = after
		changed = append(changed, after.export(content, now))
	}
	if len(changed) > 0 {
		b.publish(next, now)
	}
	return changed
}

const (
	// lastTolerance is the difference in the time of the last crash that Merge ignores.
	lastTolerance = time.Second
	// maxAge bounds the age of a received record; it exceeds the lifetime of any record.
	maxAge = 2 * maxStretch * maxHold
)

// TakeUpdates returns the records that this node itself changed since the last call.
func (b *Book) TakeUpdates(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	var records []Record
	for content := range b.updated {
		if r, found := held.records[content]; found {
			records = append(records, r.export(content, now))
		}
	}
	clear(b.updated)
	return records
}

// Records returns all records, ordered by content.
func (b *Book) Records(now time.Time) []Record {
	var all []Record
	for content, r := range b.view.Load().records {
		all = append(all, r.export(content, now))
	}
	slices.SortFunc(all, func(x, y Record) int { return bytes.Compare(x.Content, y.Content) })
	return all
}

// Held returns the records of the requests that may be held, the latest crashes first.
func (b *Book) Held(now time.Time) []Record {
	held := b.Records(now)
	held = slices.DeleteFunc(held, func(r Record) bool { return b.View().records[Content(r.Content)].most < crashLimit })
	slices.SortStableFunc(held, func(x, y Record) int { return cmp.Compare(x.AgeMilli, y.AgeMilli) })
	return held
}

// Sweep removes expired records.
func (b *Book) Sweep(now time.Time) {
	if b.view.Load().Len() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.publish(maps.Clone(b.view.Load().records), now)
}

// publish removes expired records and those beyond the bounds, and replaces the view. It
// modifies records. The caller must hold mu.
func (b *Book) publish(records map[Content]record, now time.Time) {
	var held, suspected []Content
	for content, r := range records {
		switch {
		case !now.Before(r.expiresAt()):
			delete(records, content)
		case r.most >= crashLimit:
			held = append(held, content)
		default:
			suspected = append(suspected, content)
		}
	}
	dropOldest(records, held, maxHeld)
	dropOldest(records, suspected, maxSuspected)
	b.view.Store(newView(b.self, records))
}

// dropOldest removes contents beyond a bound, those with the oldest last crash first.
func dropOldest(records map[Content]record, contents []Content, limit int) {
	if len(contents) <= limit {
		return
	}
	slices.SortFunc(contents, func(x, y Content) int {
		return cmp.Or(records[y].last.Compare(records[x].last), bytes.Compare(x[:], y[:]))
	})
	for _, content := range contents[limit:] {
		delete(records, content)
	}
}
