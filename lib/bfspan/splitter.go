package bfspan

import "bilberryflow.org/lib/bfroster"

// Splitter partitions a span among relays.
type Splitter struct {
	Order *bfroster.Order
	// Self is this node's key; it is excluded from all parts.
	Self bfroster.Key
	// Fanout is the number of parts that a span is split into.
	Fanout int
}

// Split partitions the members of the span, except this node, into disjoint spans.
//
// It splits by region first, then by domain, and only within a domain by count. Each region
// and domain is thus entered by one message, whichever member becomes the relay; splitting
// by count alone would cross their boundaries many times.
func (p Splitter) Split(s Span) []Span {
	low, high := s.Ranks(p.Order)
	if low >= high {
		return nil
	}
	first, last := p.Order.At(low).Key(), p.Order.At(high-1).Key()
	switch {
	case first.Region != last.Region:
		return p.splitUnits(s, bfroster.Key.RegionEnd)
	case first.Domain != last.Domain:
		return p.splitUnits(s, bfroster.Key.DomainEnd)
	}
	return append(p.chunks(Span{s.From, endBeforeSelf(s.To, p.Self, s)}), p.chunks(p.afterSelf(s))...)
}

// endBeforeSelf is the smaller of end and self if s contains self, else end.
func endBeforeSelf(end, self bfroster.Key, s Span) bfroster.Key {
	if s.Covers(single(self)) {
		return self
	}
	return end
}

// afterSelf is the part of s after this node, empty if s does not contain it.
func (p Splitter) afterSelf(s Span) Span {
	if s.Covers(single(p.Self)) {
		return Span{p.Self.After(), s.To}
	}
	return Span{p.Self, p.Self}
}

// splitUnits splits the region or domain of this node on its own, and groups the others.
func (p Splitter) splitUnits(s Span, endOf func(bfroster.Key) bfroster.Key) []Span {
	var before, after []Span
	var own []Span
	seen := false
	for _, unit := range p.units(s, endOf) {
		switch {
		case unit.Covers(single(p.Self)):
			own, seen = p.Split(unit), true
		case seen:
			after = append(after, unit)
		default:
			before = append(before, unit)
		}
	}
	total := len(before) + len(after)
	parts := p.group(before, total)
	parts = append(parts, own...)
	return append(parts, p.group(after, total)...)
}

// units splits the span at the ends of the regions or domains that have members in it.
func (p Splitter) units(s Span, endOf func(bfroster.Key) bfroster.Key) []Span {
	low, high := s.Ranks(p.Order)
	var list []Span
	from := s.From
	for rank := low; rank < high; {
		to := endOf(p.Order.At(rank).Key())
		rank = p.Order.Search(to)
		if rank >= high {
			to = s.To
		}
		list = append(list, Span{from, to})
		from = to
	}
	return list
}

// group joins adjacent units into about Fanout spans of similar weight. total is the number
// of units in all groups of the split.
func (p Splitter) group(units []Span, total int) []Span {
	if len(units) == 0 {
		return nil
	}
	parts := max(1, min(len(units), p.Fanout*len(units)/max(total, 1)))
	weight := 0
	for _, u := range units {
		weight += p.weight(u)
	}
	var list []Span
	done, next := 0, units[0].From
	for i, u := range units {
		done += p.weight(u)
		left := len(units) - i - 1
		full := done*parts >= weight*(len(list)+1)
		if full || left < parts-len(list) || left == 0 {
			list = append(list, Span{next, u.To})
			next = u.To
		}
	}
	return list
}

// weight is the number of members in the span.
func (p Splitter) weight(s Span) int {
	low, high := s.Ranks(p.Order)
	return high - low
}

// chunks splits a span within one domain into parts with equal member counts.
func (p Splitter) chunks(s Span) []Span {
	if s.From == s.To && !s.unbounded() {
		return nil
	}
	low, high := s.Ranks(p.Order)
	if low >= high {
		return nil
	}
	size := (high - low + p.Fanout - 1) / p.Fanout
	var list []Span
	from := s.From
	for rank := low; rank < high; rank += size {
		to := s.To
		if rank+size < high {
			to = p.Order.At(rank + size).Key()
		}
		list = append(list, Span{from, to})
		from = to
	}
	return list
}
