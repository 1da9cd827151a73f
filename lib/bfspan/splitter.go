package bfspan

import "bilberryflow.org/lib/bfroster"

// Splitter divides a span among relays.
type Splitter struct {
	Order *bfroster.Order
	// Self is this node, which is in no part.
	Self bfroster.Key
	// Fanout is into how many parts a span is split.
	Fanout int
}

// Split covers the span, this node excepted, by disjoint spans of members.
//
// It cuts between regions first, then between domains, and only within one
// domain by count. Each region and domain is thereby entered by one message,
// whichever relay is drawn; cutting by count alone crosses them many times.
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
	return append(p.chunks(Span{s.From, lesser(s.To, p.Self, s)}), p.chunks(p.behindSelf(s))...)
}

// lesser is self where it lies in s, else the end of s.
func lesser(end, self bfroster.Key, s Span) bfroster.Key {
	if s.Covers(single(self)) {
		return self
	}
	return end
}

// behindSelf is the part of s behind this node, empty where the node is not in s.
func (p Splitter) behindSelf(s Span) Span {
	if s.Covers(single(p.Self)) {
		return Span{p.Self.After(), s.To}
	}
	return Span{p.Self, p.Self}
}

// splitUnits keeps the unit that this node is in to itself, and groups the others.
func (p Splitter) splitUnits(s Span, endOf func(bfroster.Key) bfroster.Key) []Span {
	var before, behind []Span
	var own []Span
	seen := false
	for _, unit := range p.units(s, endOf) {
		switch {
		case unit.Covers(single(p.Self)):
			own, seen = p.Split(unit), true
		case seen:
			behind = append(behind, unit)
		default:
			before = append(before, unit)
		}
	}
	total := len(before) + len(behind)
	parts := p.group(before, total)
	parts = append(parts, own...)
	return append(parts, p.group(behind, total)...)
}

// units cuts the span at the ends of regions or domains that have members in it.
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

// group joins neighbouring units into about fanout spans in all, of like weight.
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

func (p Splitter) weight(s Span) int {
	low, high := s.Ranks(p.Order)
	return high - low
}

// chunks cuts a span within one domain by count.
func (p Splitter) chunks(s Span) []Span {
	if s.From == s.To && !s.open() {
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
