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
	// maxHeld bounds the records of contents with crashLimit crashes or more, maxSuspected those
	// with one crash less, and maxNoted the others. Separate bounds keep a flood of one kind from
	// evicting another.
	maxHeld      = 512
	maxSuspected = 512
	maxNoted     = 512
	// maxUpdateBytes bounds the encoded records that are sent at a time.
	maxUpdateBytes = 8 << 10
)

// Book holds the records of the requests that ran while targets crashed. It is safe for
// concurrent use.
type Book struct {
	self    uint64
	view    atomic.Pointer[View]
	changed chan struct{}

	mu sync.Mutex
	// stamp is the largest stamp that this node knows.
	stamp uint64
	// updated are the contents whose records this node changed and that TakeUpdates has not
	// returned yet, received those that Merge changed and TakeReceived has not returned. Both
	// contain only contents in the view, which bounds them.
	updated, received map[Content]bool
}

// New returns the empty book of the node with the name self.
func New(self string) *Book {
	b := &Book{self: hashOf(self), changed: make(chan struct{}, 1), updated: map[Content]bool{}, received: map[Content]bool{}}
	b.view.Store(newView(b.self, nil))
	return b
}

// View returns the current snapshot.
func (b *Book) View() *View { return b.view.Load() }

// Changed returns a channel that receives after a record changed, when TakeUpdates or
// TakeReceived has records for other nodes.
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
	b.stamp = max(b.stamp+1, uint64(max(now.UnixMilli(), 0)))
	for _, key := range blamed {
		next = b.put(next, key.Content, next[key.Content].merged([]CrashMark{{crash, key.Caller}}, nil, moment{now, b.stamp}))
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
	b.signal()
	return records
}

func (b *Book) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// Merge merges the records of another node, and returns those that changed here and are within
// the bounds. A record beyond them must not be forwarded: two nodes with full books would send it
// to each other forever.
func (b *Book) Merge(received []Record, now time.Time) (changed []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	next := maps.Clone(held.records)
	if next == nil {
		next = map[Content]record{}
	}
	merged := map[Content]bool{}
	for _, entry := range received {
		if len(entry.Content) != len(Content{}) || entry.AgeMilli < 0 || entry.Stamp > maxStamp {
			// Not valid, such as from a node of another version.
			continue
		}
		content := Content(entry.Content)
		last := now.Add(-time.Duration(min(entry.AgeMilli, maxAge.Milliseconds())) * time.Millisecond)
		before := next[content]
		after := before.merged(entry.Crashes, entry.Cleared, moment{last, entry.Stamp})
		isNew := !after.sameMarks(before) || len(before.crashes) > 0 && after.last.stamp > before.last.stamp
		if !isNew || !now.Before(after.expiresAt()) {
			continue
		}
		b.stamp = max(b.stamp, entry.Stamp)
		next[content] = after
		merged[content] = true
	}
	if len(merged) == 0 {
		return nil
	}
	b.publish(next, now)
	for content := range merged {
		if r, kept := next[content]; kept {
			b.received[content] = true
			changed = append(changed, r.export(content, now))
		}
	}
	if len(changed) > 0 {
		b.signal()
	}
	return changed
}

// maxAge bounds the age of a received record; it exceeds the lifetime of any record.
const maxAge = 2 * maxStretch * maxHold

// TakeUpdates returns records that this node itself changed, those with the most crashes first. If
// they exceed maxUpdateBytes, the next call returns more.
func (b *Book) TakeUpdates(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(b.updated, now)
}

// TakeReceived returns records that Merge changed, in the same way as TakeUpdates.
func (b *Book) TakeReceived(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(b.received, now)
}

// take removes contents from a set and returns their records. The caller must hold mu.
func (b *Book) take(set map[Content]bool, now time.Time) []Record {
	records := worst(b.view.Load().records, slices.Collect(maps.Keys(set)), now)
	for _, record := range records {
		delete(set, Content(record.Content))
	}
	if len(set) > 0 {
		b.signal()
	}
	return records
}

// Worst returns the records with the most crashes, as many as fit maxUpdateBytes.
func (b *Book) Worst(now time.Time) []Record {
	held := b.view.Load().records
	return worst(held, slices.Collect(maps.Keys(held)), now)
}

// worst returns the records of those contents that have the most crashes, and of these the latest,
// as many as fit maxUpdateBytes.
func worst(held map[Content]record, contents []Content, now time.Time) (records []Record) {
	slices.SortFunc(contents, func(x, y Content) int {
		return cmp.Or(cmp.Compare(held[y].evidence, held[x].evidence), compareRank(held, x, y))
	})
	size := 0
	for _, content := range contents {
		record := held[content].export(content, now)
		if size += record.size(); size > maxUpdateBytes && len(records) > 0 {
			break
		}
		records = append(records, record)
	}
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

// Page returns the records whose contents follow after, ordered by content, and whether there are
// more than fit maxPageBytes.
func (b *Book) Page(after []byte, now time.Time) (page []Record, more bool) {
	size := 0
	for _, record := range b.Records(now) {
		if bytes.Compare(record.Content, after) <= 0 {
			continue
		}
		if size += record.size(); size > maxPageBytes && len(page) > 0 {
			return page, true
		}
		page = append(page, record)
	}
	return page, false
}

// maxPageBytes bounds the encoded records of a Page.
const maxPageBytes = 32 << 10

// Held returns the records of the requests that may be held, the latest crashes first.
func (b *Book) Held(now time.Time) []Record {
	held := b.Records(now)
	held = slices.DeleteFunc(held, func(r Record) bool { return b.View().records[Content(r.Content)].most < crashLimit })
	slices.SortStableFunc(held, func(x, y Record) int { return cmp.Compare(x.AgeMilli, y.AgeMilli) })
	return held
}

// Sweep removes expired records. It is cheap while there are none.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	if held.Len() == 0 || now.Before(held.expires) {
		return
	}
	b.publish(maps.Clone(held.records), now)
}

// publish removes expired records and those beyond the bounds, and replaces the view. It
// modifies records. The caller must hold mu.
func (b *Book) publish(records map[Content]record, now time.Time) {
	byEvidence := map[int][]Content{}
	for content, r := range records {
		if !now.Before(r.expiresAt()) {
			delete(records, content)
			continue
		}
		evidence := max(r.evidence, 1)
		byEvidence[evidence] = append(byEvidence[evidence], content)
	}
	for evidence, contents := range byEvidence {
		dropLowest(records, contents, maxByEvidence[evidence])
	}
	for _, pending := range []map[Content]bool{b.updated, b.received} {
		maps.DeleteFunc(pending, func(content Content, _ bool) bool {
			_, kept := records[content]
			return !kept
		})
	}
	b.view.Store(newView(b.self, records))
}

// maxByEvidence bounds the records with an amount of evidence.
var maxByEvidence = [crashLimit + 1]int{crashLimit: maxHeld, crashLimit - 1: maxSuspected, 1: maxNoted}

// dropLowest removes contents beyond a bound, those with the oldest last crash first.
func dropLowest(records map[Content]record, contents []Content, limit int) {
	if len(contents) <= limit {
		return
	}
	slices.SortFunc(contents, func(x, y Content) int { return compareRank(records, x, y) })
	for _, content := range contents[limit:] {
		delete(records, content)
	}
}

// compareRank orders contents by their last crash, the latest first. All nodes must agree on the
// order, else nodes with full books would evict different records and never become equal. It
// depends therefore on stamps and not on local times.
func compareRank(records map[Content]record, x, y Content) int {
	return cmp.Or(cmp.Compare(records[y].last.stamp, records[x].last.stamp), bytes.Compare(x[:], y[:]))
}
