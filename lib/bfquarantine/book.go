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
	// mostHeld bounds the contents that are held, mostSuspected the others: a flood of the
	// one kind does not push out the other.
	mostHeld      = 512
	mostSuspected = 512
)

// Book holds what is known of requests under which targets end; it is safe for concurrent use.
type Book struct {
	self    uint64
	view    atomic.Pointer[View]
	changed chan struct{}

	mu sync.Mutex
	// news are the contents that this node itself learned of since they were last taken.
	news map[Content]bool
}

// New makes the empty book of the node of that name.
func New(self string) *Book {
	b := &Book{self: hashOf(self), changed: make(chan struct{}, 1), news: map[Content]bool{}}
	b.view.Store(newView(b.self, nil))
	return b
}

// View is what the book holds now.
func (b *Book) View() *View { return b.view.Load() }

// Changed receives after this node learned something that others have to hear.
func (b *Book) Changed() <-chan struct{} { return b.changed }

// Crashed takes the end of a target and the requests that it ran, and returns those that
// it speaks against.
//
// One that ran Apart is alone blamed: the others ran beside a request under which targets
// had ended before, and each of them would be suspected after a few such ends.
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
		next = b.put(next, key.Content, next[key.Content].with([]Mark{{crash, key.Caller}}, nil, now))
	}
	b.publish(next, now)
	return blamed
}

// Answered takes a request that a target answered, and reports whether that speaks for it:
// it does not end targets, whatever ended while it ran.
func (b *Book) Answered(key Key, now time.Time) bool {
	if b.view.Load().isFree(key, now) {
		// Nearly all answers, and they need no lock.
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	if held.isFree(key, now) {
		return false
	}
	r := held.records[key.Content]
	b.publish(b.put(maps.Clone(held.records), key.Content, r.answered(key.Caller)), now)
	return true
}

// put changes a record and has others hear of it.
func (b *Book) put(records map[Content]record, content Content, r record) map[Content]record {
	if records == nil {
		records = map[Content]record{}
	}
	records[content] = r
	b.news[content] = true
	select {
	case b.changed <- struct{}{}:
	default:
	}
	return records
}

// Merge takes what another node tells, and returns the part of it that is new here.
func (b *Book) Merge(told []Record, now time.Time) (learned []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	next := maps.Clone(held.records)
	for _, brought := range told {
		if len(brought.Content) != len(Content{}) || brought.AgeMilli < 0 {
			// A node of another version.
			continue
		}
		content := Content(brought.Content)
		last := now.Add(-time.Duration(min(brought.AgeMilli, maxAge.Milliseconds())) * time.Millisecond)
		before := held.records[content]
		after := before.with(brought.Crashes, brought.Cleared, last)
		if after.same(before) && after.last.Sub(before.last) < sameAge || !now.Before(after.expires()) {
			continue
		}
		if next == nil {
			next = map[Content]record{}
		}
		next[content] = after
		learned = append(learned, after.told(content, now))
	}
	if len(learned) > 0 {
		b.publish(next, now)
	}
	return learned
}

const (
	// sameAge is how far two nodes may be apart on when the last end of a target was.
	sameAge = time.Second
	// maxAge is longer than any record is kept.
	maxAge = 2 * longestStretch * longestHold
)

// TakeNews gives what this node learned itself since it was last asked.
func (b *Book) TakeNews(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	var news []Record
	for content := range b.news {
		if r, found := held.records[content]; found {
			news = append(news, r.told(content, now))
		}
	}
	clear(b.news)
	return news
}

// Records gives all that is known.
func (b *Book) Records(now time.Time) []Record {
	var all []Record
	for content, r := range b.view.Load().records {
		all = append(all, r.told(content, now))
	}
	slices.SortFunc(all, func(x, y Record) int { return bytes.Compare(x.Content, y.Content) })
	return all
}

// Held gives what is known of requests that may be Held, those with the newest ends first.
func (b *Book) Held(now time.Time) []Record {
	held := b.Records(now)
	held = slices.DeleteFunc(held, func(r Record) bool { return b.View().records[Content(r.Content)].most < crashLimit })
	slices.SortStableFunc(held, func(x, y Record) int { return cmp.Compare(x.AgeMilli, y.AgeMilli) })
	return held
}

// Sweep forgets what matters no more.
func (b *Book) Sweep(now time.Time) {
	if b.view.Load().Len() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.publish(maps.Clone(b.view.Load().records), now)
}

// publish makes records what is held, within the bounds.
func (b *Book) publish(records map[Content]record, now time.Time) {
	var held, suspected []Content
	for content, r := range records {
		switch {
		case !now.Before(r.expires()):
			delete(records, content)
		case r.most >= crashLimit:
			held = append(held, content)
		default:
			suspected = append(suspected, content)
		}
	}
	dropOldest(records, held, mostHeld)
	dropOldest(records, suspected, mostSuspected)
	b.view.Store(newView(b.self, records))
}

// dropOldest keeps so many of the contents, those whose last end of a target is newest.
func dropOldest(records map[Content]record, contents []Content, most int) {
	if len(contents) <= most {
		return
	}
	slices.SortFunc(contents, func(x, y Content) int {
		return cmp.Or(records[y].last.Compare(records[x].last), bytes.Compare(x[:], y[:]))
	})
	for _, content := range contents[most:] {
		delete(records, content)
	}
}
