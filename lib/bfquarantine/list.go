package bfquarantine

import (
	"encoding/hex"
	"maps"
	"slices"
	"time"
)

// Item describes one recorded content for operators.
type Item struct {
	Content Content
	// Worst is the verdict on the caller whose requests ran at the most crashes.
	Worst Verdict
	// Crashes is the number of targets that crashed, Callers the number of callers whose
	// requests they ran.
	Crashes, Callers int
	// Last is the time of the last crash.
	Last time.Time
}

// List returns the contents with recorded crashes, the one with the latest crash first.
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
			Content: content, Worst: judge(r.most, r.last.at, now, 1), Crashes: r.distinctCrashes(), Callers: len(callers), Last: r.last.at,
		})
	}
	slices.SortFunc(items, func(x, y Item) int { return y.Last.Compare(x.Last) })
	return items
}

// ParseContent parses the hexadecimal form of a content; ok is false if text is not valid.
func ParseContent(text string) (content Content, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(content) {
		return Content{}, false
	}
	return Content(data), true
}

// Release clears the crashes recorded for a content, and reports whether there were any.
// Other nodes clear them too when they receive the update.
func (b *Book) Release(content Content, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.view.Load()
	r, found := held.records[content]
	if !found || len(r.crashes) == 0 {
		return false
	}
	for len(r.crashes) > 0 {
		r = r.afterAnswer(r.crashes[0].Caller)
	}
	b.publish(b.put(maps.Clone(held.records), content, r), now)
	return true
}
