package bfspread

import (
	"bilberryflow.org/lib/bfmember"
)

// span is a half-open interval of keys; an empty to is the end of the order.
//
// Spans are compared by key and not by rank, so that nodes whose views differ
// by a few members still agree on who falls into which part, and nobody falls
// between two.
type span struct{ from, to bfmember.Key }

var fleetSpan = span{}

func (s span) open() bool { return s.to == bfmember.Key{} }

func (s span) covers(o span) bool {
	if s.from.Compare(o.from) > 0 {
		return false
	}
	return s.open() || !o.open() && o.to.Compare(s.to) <= 0
}

// ranks is where the span begins and ends in an order.
func (s span) ranks(order *bfmember.Order) (int, int) {
	low := order.Search(s.from)
	if s.open() {
		return low, order.Len()
	}
	return low, max(low, order.Search(s.to))
}

// after is the first key behind k.
func after(k bfmember.Key) bfmember.Key {
	if k.Hash++; k.Hash == 0 {
		return domainEnd(k)
	}
	return k
}

// domainEnd is the first key behind all of k's domain: no name lies between d and d+"\x00".
func domainEnd(k bfmember.Key) bfmember.Key {
	return bfmember.Key{Region: k.Region, Domain: k.Domain + "\x00"}
}

func domainStart(k bfmember.Key) bfmember.Key {
	return bfmember.Key{Region: k.Region, Domain: k.Domain}
}

func regionEnd(k bfmember.Key) bfmember.Key { return bfmember.Key{Region: k.Region + "\x00"} }

// wire writes the span for a receiver.
func (s span) wire(receiver bfmember.Key) Range {
	single := span{receiver, after(receiver)}
	if single.covers(s) {
		return Range{}
	}
	domain := span{domainStart(receiver), domainEnd(receiver)}
	if !domain.covers(s) {
		return Range{Scope: ScopeFleet, From: s.from, To: s.to}
	}
	r := Range{Scope: ScopeDomain, From: bfmember.Key{Hash: s.from.Hash}}
	if s.to != domain.to {
		r.To = bfmember.Key{Hash: s.to.Hash}
	}
	return r
}

// span reads what wire wrote.
func (r Range) span(receiver bfmember.Key) span {
	switch r.Scope {
	case ScopeFleet:
		return span{r.From, r.To}
	case ScopeDomain:
		s := span{domainStart(receiver), domainEnd(receiver)}
		s.from.Hash = r.From.Hash
		if r.To.Hash != 0 {
			s.to = bfmember.Key{Region: receiver.Region, Domain: receiver.Domain, Hash: r.To.Hash}
		}
		return s
	}
	return span{receiver, after(receiver)}
}

// splitter divides a span among relays.
type splitter struct {
	order  *bfmember.Order
	self   bfmember.Key
	fanout int
}

// split covers the span, this node excepted, by disjoint spans of members.
//
// It cuts between regions first, then between domains, and only within one
// domain by count. Each region and domain is thereby entered by one message,
// whichever relay is drawn; cutting by count alone crosses them many times.
func (p splitter) split(s span) []span {
	low, high := s.ranks(p.order)
	if low >= high {
		return nil
	}
	first, last := p.order.At(low).Key(), p.order.At(high-1).Key()
	switch {
	case first.Region != last.Region:
		return p.splitUnits(s, regionEnd)
	case first.Domain != last.Domain:
		return p.splitUnits(s, domainEnd)
	}
	return append(p.chunks(span{s.from, lesser(s.to, p.self, s)}), p.chunks(p.behindSelf(s))...)
}

// lesser is self where it lies in s, else the end of s.
func lesser(end, self bfmember.Key, s span) bfmember.Key {
	if s.covers(span{self, after(self)}) {
		return self
	}
	return end
}

// behindSelf is the part of s behind this node, empty where the node is not in s.
func (p splitter) behindSelf(s span) span {
	if s.covers(span{p.self, after(p.self)}) {
		return span{after(p.self), s.to}
	}
	return span{p.self, p.self}
}

// splitUnits keeps the unit that this node is in to itself, and groups the others.
func (p splitter) splitUnits(s span, endOf func(bfmember.Key) bfmember.Key) []span {
	var before, behind []span
	var own []span
	seen := false
	for _, unit := range p.units(s, endOf) {
		switch {
		case unit.covers(span{p.self, after(p.self)}):
			own, seen = p.split(unit), true
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
func (p splitter) units(s span, endOf func(bfmember.Key) bfmember.Key) []span {
	low, high := s.ranks(p.order)
	var list []span
	from := s.from
	for rank := low; rank < high; {
		to := endOf(p.order.At(rank).Key())
		rank = p.order.Search(to)
		if rank >= high {
			to = s.to
		}
		list = append(list, span{from, to})
		from = to
	}
	return list
}

// group joins neighbouring units into about fanout spans in all, of like weight.
func (p splitter) group(units []span, total int) []span {
	if len(units) == 0 {
		return nil
	}
	parts := max(1, min(len(units), p.fanout*len(units)/max(total, 1)))
	weight := 0
	for _, u := range units {
		weight += p.weight(u)
	}
	var list []span
	done, next := 0, units[0].from
	for i, u := range units {
		done += p.weight(u)
		left := len(units) - i - 1
		full := done*parts >= weight*(len(list)+1)
		if full || left < parts-len(list) || left == 0 {
			list = append(list, span{next, u.to})
			next = u.to
		}
	}
	return list
}

func (p splitter) weight(s span) int {
	low, high := s.ranks(p.order)
	return high - low
}

// chunks cuts a span within one domain by count.
func (p splitter) chunks(s span) []span {
	if s.from == s.to && !s.open() {
		return nil
	}
	low, high := s.ranks(p.order)
	if low >= high {
		return nil
	}
	size := (high - low + p.fanout - 1) / p.fanout
	var list []span
	from := s.from
	for rank := low; rank < high; rank += size {
		to := s.to
		if rank+size < high {
			to = p.order.At(rank + size).Key()
		}
		list = append(list, span{from, to})
		from = to
	}
	return list
}
