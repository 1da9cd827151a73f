package bfspan

import "bilberryflow.org/lib/bfroster"

// Span is a half-open interval of keys. An empty To is the end of the order, so the zero
// Span is the whole fleet.
//
// The bounds are keys and not ranks, so that nodes whose member lists differ slightly still
// agree on the part that each member belongs to, and no member is left out.
type Span struct{ From, To bfroster.Key }

// single is the span that contains only key.
func single(key bfroster.Key) Span { return Span{key, key.After()} }

// unbounded reports whether the span extends to the end of the order.
func (s Span) unbounded() bool { return s.To == bfroster.Key{} }

// Covers reports whether s contains o.
func (s Span) Covers(o Span) bool {
	if s.From.Compare(o.From) > 0 {
		return false
	}
	return s.unbounded() || !o.unbounded() && o.To.Compare(s.To) <= 0
}

// Ranks returns the half-open range of ranks of the span's members in an order.
func (s Span) Ranks(order *bfroster.Order) (int, int) {
	low := order.Search(s.From)
	if s.unbounded() {
		return low, order.Len()
	}
	return low, max(low, order.Search(s.To))
}
