package bfquarantine

import (
	"encoding/binary"
	"math"
	"time"
)

// View is what a Book holds at one moment; it never changes once made.
type View struct {
	self    uint64
	records map[Content]record
	digest  uint64
	// watches says that there is a record with one end less than crashLimit, held is the
	// digest of those with as many, 0 where there is none.
	watches bool
	held    uint64
}

func newView(self uint64, records map[Content]record) *View {
	v := &View{self: self, records: records}
	for content, r := range records {
		digest := mix(r.digest ^ binary.BigEndian.Uint64(content[:]))
		v.digest ^= digest
		v.watches = v.watches || r.most >= crashLimit-1
		if r.most >= crashLimit {
			v.held ^= digest
		}
	}
	return v
}

// Watches reports whether any request is not Free. Where none is, no key has to be made.
func (v *View) Watches() bool { return v.watches }

// Holds reports whether any request may be Held.
func (v *View) Holds() bool { return v.held != 0 }

// HeldDigest identifies the requests that may be Held, 0 where there is none.
func (v *View) HeldDigest() uint64 { return v.held }

// Digest identifies what is held, 0 where nothing is. Nodes with the same one know the same.
func (v *View) Digest() uint64 { return v.digest }

// Len is how many contents are known.
func (v *View) Len() int { return len(v.records) }

// Judge is the verdict at the node beside a target.
//
// Nodes hold a request for different lengths. Where all tried it again at the same moment,
// and callers waited for it, all targets of a service would end at once; so one of them
// tries first, and the others hear what came of it.
func (v *View) Judge(key Key, now time.Time) Verdict {
	r, found := v.records[key.Content]
	if !found {
		return Free{}
	}
	return judge(r.count(key.Caller), r.last, now, v.stretch(key.Content))
}

func (v *View) isFree(key Key, now time.Time) bool {
	_, free := v.Judge(key, now).(Free)
	return free
}

// Refuse reports whether no node runs the request, and until when: the entry need not ask any.
func (v *View) Refuse(key Key, now time.Time) (held Held, refused bool) {
	r, found := v.records[key.Content]
	if !found {
		return Held{}, false
	}
	held, refused = judge(r.count(key.Caller), r.last, now, 1).(Held)
	return held, refused
}

// stretch is how many times as long as the entries this node holds a request.
func (v *View) stretch(content Content) float64 {
	return 1 + (longestStretch-1)*float64(mix(binary.BigEndian.Uint64(content[:])^v.self))/math.MaxUint64
}

// mix spreads the bits of a number over all of it, by the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
