package bfroster

import "cmp"

// Key is a member's place in the Order: by region, then domain, then hash.
type Key struct {
	Region string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
	Hash   uint64 `cbor:"3,keyasint,omitempty"`
}

// Compare orders keys.
func (k Key) Compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Region, o.Region),
		cmp.Compare(k.Domain, o.Domain),
		cmp.Compare(k.Hash, o.Hash),
	)
}

// After is the first key behind k.
func (k Key) After() Key {
	if k.Hash++; k.Hash == 0 {
		return k.DomainEnd()
	}
	return k
}

// DomainStart is the first key of k's domain, which also names the domain.
func (k Key) DomainStart() Key { return Key{Region: k.Region, Domain: k.Domain} }

// DomainEnd is the first key behind all of k's domain: no name lies between d and d+"\x00".
func (k Key) DomainEnd() Key { return Key{Region: k.Region, Domain: k.Domain + "\x00"} }

// RegionEnd is the first key behind all of k's region.
func (k Key) RegionEnd() Key { return Key{Region: k.Region + "\x00"} }
