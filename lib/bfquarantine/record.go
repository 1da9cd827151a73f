package bfquarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// CrashMark records that a target crashed while it ran a request of a caller.
type CrashMark struct {
	Crash  Crash  `cbor:"1,keyasint"`
	Caller Caller `cbor:"2,keyasint"`
}

func compareMarks(a, b CrashMark) int {
	return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Crash, b.Crash))
}

const (
	// maxMarks bounds the marks of one content, maxMarksPerCaller those of one caller in it.
	maxMarks          = 32
	maxMarksPerCaller = 8
)

// Record is the state of one content as nodes exchange it.
type Record struct {
	Content []byte      `cbor:"1,keyasint"`
	Crashes []CrashMark `cbor:"2,keyasint,omitempty"`
	// Cleared holds the marks that no longer count, since the request was answered after
	// them. A mark with crash 0 means that the caller's request was answered.
	Cleared []CrashMark `cbor:"3,keyasint,omitempty"`
	// AgeMilli is the time since the last crash in milliseconds. It is an age and not a
	// time of day, since the clocks of two nodes may differ.
	AgeMilli int64 `cbor:"4,keyasint,omitempty"`
	// Stamp orders the last crashes of all contents alike at all nodes; 0 in records of earlier
	// releases.
	Stamp uint64 `cbor:"5,keyasint,omitempty"`
}

const (
	// recordBytes bounds the encoded size of a Record without marks, markBytes that of a mark.
	recordBytes = 48
	markBytes   = 21
)

// size returns an upper bound of the encoded size in bytes.
func (r Record) size() int { return recordBytes + markBytes*(len(r.Crashes)+len(r.Cleared)) }

// moment is when a crash occurred.
type moment struct {
	// at is the local time. It is estimated from an age for a crash that another node observed.
	at time.Time
	// stamp is a hybrid logical clock: the time of day in milliseconds, or one more than any
	// stamp that the observing node knew. 0 means unknown.
	stamp uint64
}

// maxStamp bounds the stamps of received records, so that a damaged one can't overflow the clock.
const maxStamp = 1 << 62

// latest returns the later moment. The moment with an equal stamp is the same crash, whose first
// estimate is closer: each transfer adds its delay.
func (m moment) latest(o moment) moment {
	if o.stamp > m.stamp || o.stamp == 0 && m.stamp == 0 && o.at.After(m.at) {
		return o
	}
	return m
}

// record is a node's state of one content. It is immutable.
type record struct {
	crashes, cleared []CrashMark
	last             moment
	// most is the largest count of any caller, digest a hash of the marks.
	most   int
	digest uint64
	// evidence is the number of distinct crashes in all marks, at most crashLimit. It never
	// decreases, so that a record that was cleared is not evicted before other nodes have it.
	evidence int
}

// count returns the number of crashes that count against a caller's request.
//
// Crashes under the requests of several callers count against all callers, since the
// request seems to crash targets for anyone. Crashes under one caller only may depend on
// that caller, and count against it alone.
func (r record) count(caller Caller) int {
	if r.spansCallers() && len(r.cleared) == 0 {
		return r.distinctCrashes()
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
	// The marks are sorted by caller.
	return len(r.crashes) > 0 && r.crashes[0].Caller != r.crashes[len(r.crashes)-1].Caller
}

// distinctCrashes returns the number of targets that crashed, over all callers.
func (r record) distinctCrashes() int {
	return countCrashes(r.crashes, nil)
}

// countCrashes returns the number of distinct crashes in the marks of a record.
func countCrashes(crashes, cleared []CrashMark) int {
	distinct := map[Crash]bool{}
	for _, mark := range crashes {
		distinct[mark.Crash] = true
	}
	for _, mark := range cleared {
		if mark.Crash != 0 {
			distinct[mark.Crash] = true
		}
	}
	return len(distinct)
}

// expiresAt returns the time from which the record has no effect.
func (r record) expiresAt() time.Time {
	return r.last.at.Add(maxStretch*holdTime(r.most) + retention)
}

// merged returns the record merged with more marks.
func (r record) merged(crashes, cleared []CrashMark, last moment) record {
	next := record{cleared: union(r.cleared, cleared), last: r.last.latest(last)}
	next.crashes = slices.DeleteFunc(union(r.crashes, crashes), func(m CrashMark) bool {
		_, found := slices.BinarySearchFunc(next.cleared, m, compareMarks)
		return found
	})
	for _, mark := range next.crashes {
		next.most = max(next.most, next.count(mark.Caller))
	}
	next.evidence = max(r.evidence, min(countCrashes(next.crashes, next.cleared), crashLimit))
	next.digest = digest(next.crashes, next.cleared)
	return next
}

// afterAnswer returns the record after a caller's request was answered.
func (r record) afterAnswer(caller Caller) record {
	cleared := []CrashMark{{Caller: caller}}
	for _, mark := range r.crashes {
		if mark.Caller == caller {
			cleared = append(cleared, mark)
		}
	}
	return r.merged(nil, cleared, r.last)
}

// union returns the union of two lists of marks, cut to the bounds. The order of the marks
// determines which are kept, so that all nodes keep the same ones.
func union(a, b []CrashMark) []CrashMark {
	all := slices.Concat(a, b)
	slices.SortFunc(all, compareMarks)
	all = slices.Compact(all)
	kept, run := all[:0], 0
	for i, mark := range all {
		if i > 0 && mark.Caller != all[i-1].Caller {
			run = 0
		}
		run++
		if run <= maxMarksPerCaller && len(kept) < maxMarks {
			kept = append(kept, mark)
		}
	}
	return kept
}

// sameMarks reports whether two records have the same marks.
func (r record) sameMarks(o record) bool {
	return slices.Equal(r.crashes, o.crashes) && slices.Equal(r.cleared, o.cleared)
}

// digest returns a hash of the marks of a record.
func digest(crashes, cleared []CrashMark) uint64 {
	h := fnv.New64a()
	var buffer []byte
	for _, marks := range [][]CrashMark{crashes, cleared} {
		buffer = binary.BigEndian.AppendUint64(buffer[:0], uint64(len(marks)))
		for _, mark := range marks {
			buffer = binary.BigEndian.AppendUint64(buffer, uint64(mark.Crash))
			buffer = binary.BigEndian.AppendUint64(buffer, uint64(mark.Caller))
		}
		_, _ = h.Write(buffer) // never fails
	}
	return h.Sum64()
}

// export returns the record in the form that is sent to other nodes.
func (r record) export(content Content, now time.Time) Record {
	return Record{
		Content: content[:], Crashes: r.crashes, Cleared: r.cleared,
		AgeMilli: max(now.Sub(r.last.at).Milliseconds(), 0), Stamp: r.last.stamp,
	}
}
