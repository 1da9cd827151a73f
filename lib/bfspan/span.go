package bfspan

import "bilberryflow.org/lib/bfroster"

// Span is a half-open interval of keys; an empty To is the end of the order, so
// the zero Span is the whole fleet.
//
// Spans are compared by key and not by rank, so that nodes whose views differ
// by a few members still agree on who falls into which part, and nobody falls
// between two.
type Span struct{ From, To bfroster.Key }

// single is the span of one key.
func single(key bfroster.Key) Span { return Span{key, key.After()} }

func (s Span) open() bool { return s.To == bfroster.Key{} }

// Covers reports whether o lies in s.
func (s Span) Covers(o Span) bool {
	if s.From.Compare(o.From) > 0 {
		return false
	}
	return s.open() || !o.open() && o.To.Compare(s.To) <= 0
}

// Ranks is where the span begins and ends in an order.
func (s Span) Ranks(order *bfroster.Order) (int, int) {
	low := order.Search(s.From)
	if s.open() {
		return low, order.Len()
	}
	return low, max(low, order.Search(s.To))
}
