package bfspan

import "bilberryflow.org/lib/bfroster"

// Scope is how the bounds of a Range are encoded.
type Scope uint8

// Scopes of a Range. The shorter ones keep a push message small.
const (
	// ScopeReceiver covers the receiver alone and has no bounds.
	ScopeReceiver Scope = iota
	// ScopeDomain is within the receiver's domain, with hashes as bounds; a To.Hash of 0 is the
	// end of the domain.
	ScopeDomain
	// ScopeFleet has complete keys as bounds; an empty To is the end of the order.
	ScopeFleet
)

// Range is the part of the Order that the receiver must cover.
type Range struct {
	Scope Scope        `cbor:"1,keyasint,omitempty"`
	From  bfroster.Key `cbor:"2,keyasint,omitzero"`
	To    bfroster.Key `cbor:"3,keyasint,omitzero"`
}

// Range encodes the span for a receiver.
func (s Span) Range(receiver bfroster.Key) Range {
	if single(receiver).Covers(s) {
		return Range{}
	}
	domain := Span{receiver.DomainStart(), receiver.DomainEnd()}
	if !domain.Covers(s) {
		return Range{Scope: ScopeFleet, From: s.From, To: s.To}
	}
	r := Range{Scope: ScopeDomain, From: bfroster.Key{Hash: s.From.Hash}}
	if s.To != domain.To {
		r.To = bfroster.Key{Hash: s.To.Hash}
	}
	return r
}

// Span decodes what Span.Range encoded for the receiver.
func (r Range) Span(receiver bfroster.Key) Span {
	switch r.Scope {
	case ScopeFleet:
		return Span{r.From, r.To}
	case ScopeDomain:
		s := Span{receiver.DomainStart(), receiver.DomainEnd()}
		s.From.Hash = r.From.Hash
		if r.To.Hash != 0 {
			s.To = bfroster.Key{Region: receiver.Region, Domain: receiver.Domain, Hash: r.To.Hash}
		}
		return s
	}
	return single(receiver)
}
