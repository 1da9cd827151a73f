package bfquarantine

import (
	"encoding/hex"
	"maps"
	"slices"
	"time"
)

// Item is one content as operators see it.
type Item struct {
	Content Content
	// Worst is the verdict on the caller under whose requests most targets ended.
	Worst Verdict
	// Ends is how many targets ended under it, Callers for how many callers.
	Ends, Callers int
	// Last is when the last of them did.
	Last time.Time
}

// List gives what is known, the newest end of a target first.
func (b *Book) List(now time.Time) []Item {
	view := b.View()
	items := make([]Item, 0, len(view.records))
	for content, r := range view.records {
		if len(r.crashes) == 0 {
			continue
		}
		callers := map[Caller]bool{}
		for _, mark := range r.crashes {
			callers[mark.Caller] = true
		}
		items = append(items, Item{
			Content: content, Worst: judge(r.most, r.last, now, 1), Ends: r.ends(), Callers: len(callers), Last: r.last,
		})
	}
	slices.SortFunc(items, func(x, y Item) int { return y.Last.Compare(x.Last) })
	return items
}

// ParseContent reads a content as it is written in logs; ok is false where text is none.
func ParseContent(text string) (content Content, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(content) {
		return Content{}, false
	}
	return Content(data), true
}

// Release forgets what speaks against a content, here and at the other nodes, and reports
// whether anything did.
func (b *Book) Release(content Content, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	r, found := held.records[content]
	if !found || len(r.crashes) == 0 {
		return false
	}
	for len(r.crashes) > 0 {
		r = r.answered(r.crashes[0].Caller)
	}
	b.publish(b.put(maps.Clone(held.records), content, r), now)
	return true
}
