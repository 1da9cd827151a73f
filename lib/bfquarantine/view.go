package bfquarantine

import (
	"encoding/binary"
	"math"
	"time"
)

// View is an immutable snapshot of a Book.
type View struct {
	self    uint64
	records map[Content]record
	digest  uint64
	// watches is set if there is a record with at least crashLimit-1 crashes. held is the
	// digest of the records with at least crashLimit, 0 if there is none.
	watches bool
	held    uint64
	// expires is when the first record expires, zero if there is none.
	expires time.Time
}

func newView(self uint64, records map[Content]record) *View {
	v := &View{self: self, records: records}
	for content, r := range records {
		digest := mix(r.digest ^ binary.BigEndian.Uint64(content[:]))
		v.digest ^= digest
		if at := r.expiresAt(); v.expires.IsZero() || at.Before(v.expires) {
			v.expires = at
		}
		v.watches = v.watches || r.most >= crashLimit-1
		if r.most >= crashLimit {
			v.held ^= digest
		}
	}
	return v
}

// HasSuspects reports whether any request is not Free. If it returns false, callers needn't
// compute keys.
func (v *View) HasSuspects() bool { return v.watches }

// HasHeld reports whether any request may be Held.
func (v *View) HasHeld() bool { return v.held != 0 }

// HeldDigest returns a digest of the requests that may be Held, 0 if there is none.
func (v *View) HeldDigest() uint64 { return v.held }

// Digest returns a digest of all records, 0 if there are none. Nodes with equal digests
// have the same records.
func (v *View) Digest() uint64 { return v.digest }

// Len returns the number of contents with a record.
func (v *View) Len() int { return len(v.records) }

// Judge returns the verdict at a target's node.
//
// Nodes hold a request for different times, since all targets of a service could crash at
// once if all nodes tried it again at the same moment. This way one node tries it first
// and the others receive the result.
func (v *View) Judge(key Key, now time.Time) Verdict {
	r, found := v.records[key.Content]
	if !found {
		return Free{}
	}
	return judge(r.count(key.Caller), r.last.at, now, v.stretch(key.Content))
}

func (v *View) isFree(key Key, now time.Time) bool {
	_, free := v.Judge(key, now).(Free)
	return free
}

// IsSuspect reports whether targets have crashed while they ran the request and it is not Free.
func (v *View) IsSuspect(key Key, now time.Time) bool { return !v.isFree(key, now) }

// Refuse reports whether every node holds the request, and until when, so that an entry can
// refuse it without sending it.
func (v *View) Refuse(key Key, now time.Time) (held Held, refused bool) {
	r, found := v.records[key.Content]
	if !found {
		return Held{}, false
	}
	held, refused = judge(r.count(key.Caller), r.last.at, now, 1).(Held)
	return held, refused
}

// stretch returns the factor by which this node holds a request for longer than Refuse does.
func (v *View) stretch(content Content) float64 {
	return 1 + (maxStretch-1)*float64(mix(binary.BigEndian.Uint64(content[:])^v.self))/math.MaxUint64
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
