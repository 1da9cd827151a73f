package bfexpiry

import (
	"cmp"
	"slices"
	"time"
)

// batchSpan is the largest difference of the ends of items in one batch, so that the number of batches
// does not grow with the rate.
const batchSpan = 50 * time.Millisecond

// Counts counts items by the time at which they expire, in batches. Its zero value is empty.
type Counts struct{ batches []batch }

// batch is a number of items that end together.
type batch struct {
	end   time.Duration
	items int
}

// Add adds an item. It may end earlier than at end by up to batchSpan.
func (c *Counts) Add(end time.Duration) {
	i, _ := slices.BinarySearchFunc(c.batches, end-batchSpan, func(x batch, end time.Duration) int { return cmp.Compare(x.end, end) })
	if i < len(c.batches) && c.batches[i].end <= end {
		c.batches[i].items++
		return
	}
	c.batches = slices.Insert(c.batches, i, batch{end: end, items: 1})
}

// Take removes the item that ends first.
func (c *Counts) Take() (end time.Duration, ok bool) {
	if len(c.batches) == 0 {
		return 0, false
	}
	first := &c.batches[0]
	end = first.end
	if first.items--; first.items == 0 {
		c.batches = slices.Delete(c.batches, 0, 1)
	}
	return end, true
}

// DropExpired removes the items that have expired.
func (c *Counts) DropExpired(now time.Duration) {
	c.batches = slices.DeleteFunc(c.batches, func(x batch) bool { return now >= x.end })
}

// Count returns the number of items.
func (c *Counts) Count() (items int) {
	for _, held := range c.batches {
		items += held.items
	}
	return items
}
