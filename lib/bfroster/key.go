package bfroster

import "cmp"

// Key is the sort key of a member in an Order: region, then domain, then hash of the ID.
type Key struct {
	Region string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
	Hash   uint64 `cbor:"3,keyasint,omitempty"`
}

// Compare returns the order of two keys, as cmp.Compare does.
func (k Key) Compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Region, o.Region),
		cmp.Compare(k.Domain, o.Domain),
		cmp.Compare(k.Hash, o.Hash),
	)
}

// After returns the smallest key greater than k.
func (k Key) After() Key {
	if k.Hash++; k.Hash == 0 {
		return k.DomainEnd()
	}
	return k
}

// DomainStart returns the smallest key of k's domain, which also identifies the domain.
func (k Key) DomainStart() Key { return Key{Region: k.Region, Domain: k.Domain} }

// DomainEnd returns the smallest key greater than all keys of k's domain: no name sorts between
// d and d+"\x00".
func (k Key) DomainEnd() Key { return Key{Region: k.Region, Domain: k.Domain + "\x00"} }

// RegionEnd returns the smallest key greater than all keys of k's region.
func (k Key) RegionEnd() Key { return Key{Region: k.Region + "\x00"} }
