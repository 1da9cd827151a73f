package bfquarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// Mark says that a target ended while it ran a request of a caller.
type Mark struct {
	Crash  Crash  `cbor:"1,keyasint"`
	Caller Caller `cbor:"2,keyasint"`
}

func compareMarks(a, b Mark) int {
	return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Crash, b.Crash))
}

const (
	// mostMarks bounds the marks of one content, mostOfCaller those of one caller among them.
	mostMarks    = 32
	mostOfCaller = 8
)

// Record is what nodes tell each other of one content.
type Record struct {
	Content []byte `cbor:"1,keyasint"`
	Crashes []Mark `cbor:"2,keyasint,omitempty"`
	// Cleared are the marks that count no more, since the request was answered after them.
	// One of crash 0 says that the caller's request was answered.
	Cleared []Mark `cbor:"3,keyasint,omitempty"`
	// AgeMilli is how long ago the last end was, in milliseconds. Clocks of two nodes may
	// differ, and jump.
	AgeMilli int64 `cbor:"4,keyasint,omitempty"`
}

// record is what a node holds of one content; it never changes once made.
type record struct {
	crashes, cleared []Mark
	last             time.Time
	// most is the largest count of any caller, digest identifies the marks.
	most   int
	digest uint64
}

// count is how many ends of targets speak against a caller's request.
//
// A request that ended targets for several callers is held against all, since it may come
// in any caller's name; but for one caller alone it may be the caller that makes it so.
func (r record) count(caller Caller) int {
	if r.spansCallers() && len(r.cleared) == 0 {
		return r.ends()
	}
	own := 0
	for _, mark := range r.crashes {
		if mark.Caller == caller {
			own++
		}
	}
	return own
}

func (r record) spansCallers() bool {
	// They are ordered by caller.
	return len(r.crashes) > 0 && r.crashes[0].Caller != r.crashes[len(r.crashes)-1].Caller
}

// ends is how many targets ended, whoever's request they ran.
func (r record) ends() int {
	distinct := make(map[Crash]bool, len(r.crashes))
	for _, mark := range r.crashes {
		distinct[mark.Crash] = true
	}
	return len(distinct)
}

// expires is when nothing that the record says matters any more.
func (r record) expires() time.Time {
	return r.last.Add(longestStretch*hold(r.most) + retention)
}

// with is the record with marks that others bring.
func (r record) with(crashes, cleared []Mark, last time.Time) record {
	next := record{cleared: union(r.cleared, cleared), last: r.last}
	next.crashes = slices.DeleteFunc(union(r.crashes, crashes), func(m Mark) bool {
		_, found := slices.BinarySearchFunc(next.cleared, m, compareMarks)
		return found
	})
	if last.After(next.last) {
		next.last = last
	}
	for _, mark := range next.crashes {
		next.most = max(next.most, next.count(mark.Caller))
	}
	next.digest = digest(next.crashes, next.cleared)
	return next
}

// answered is the record after a caller's request was answered.
func (r record) answered(caller Caller) record {
	cleared := []Mark{{Caller: caller}}
	for _, mark := range r.crashes {
		if mark.Caller == caller {
			cleared = append(cleared, mark)
		}
	}
	return r.with(nil, cleared, r.last)
}

// union merges two lists of marks within their bounds. All nodes keep the same ones.
func union(a, b []Mark) []Mark {
	all := slices.Concat(a, b)
	slices.SortFunc(all, compareMarks)
	all = slices.Compact(all)
	kept, run := all[:0], 0
	for i, mark := range all {
		if i > 0 && mark.Caller != all[i-1].Caller {
			run = 0
		}
		run++
		if run <= mostOfCaller && len(kept) < mostMarks {
			kept = append(kept, mark)
		}
	}
	return kept
}

// same reports whether two records hold the same marks.
func (r record) same(o record) bool {
	return slices.Equal(r.crashes, o.crashes) && slices.Equal(r.cleared, o.cleared)
}

// digest identifies the marks of a record.
func digest(crashes, cleared []Mark) uint64 {
	h := fnv.New64a()
	var buffer []byte
	for _, marks := range [][]Mark{crashes, cleared} {
		buffer = binary.BigEndian.AppendUint64(buffer[:0], uint64(len(marks)))
		for _, mark := range marks {
			buffer = binary.BigEndian.AppendUint64(buffer, uint64(mark.Crash))
			buffer = binary.BigEndian.AppendUint64(buffer, uint64(mark.Caller))
		}
		_, _ = h.Write(buffer) // never fails
	}
	return h.Sum64()
}

// told is the record as it is told to others.
func (r record) told(content Content, now time.Time) Record {
	return Record{
		Content: content[:], Crashes: r.crashes, Cleared: r.cleared,
		AgeMilli: max(now.Sub(r.last).Milliseconds(), 0),
	}
}
