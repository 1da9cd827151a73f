package bfrollout

import "time"

const (
	// usedShare is the part of the terms' share that entries use in all. The rest covers requests
	// that some count and others don't, such as those of a caller that left.
	usedShare = 0.9
	// earlyShare and steadyShare are the parts of the terms' share with which the new version is
	// tried at first, and after that until its traffic is moved. What they leave of usedShare is
	// what the version may receive while the traffic is moved.
	earlyShare, steadyShare = 0.65, 0.75
	// earlyPart is the part of the duration in which earlyShare applies.
	earlyPart = 0.25
	// writePart is the part of the duration that is kept for writing the end of the roll-out,
	// limited by maxWriteTime; movePart is the part in which the traffic is moved before that, and
	// clearPart the part before the move in which the decision reaches all nodes.
	writePart, movePart, clearPart = 0.08, 0.03, 0.03
	maxWriteTime                   = 2 * time.Second
	// rotations is how often during the duration other targets of the new version are tried.
	rotations = 6
	// triedLoad is the load of the new targets that are tried, relative to that of the old ones. It
	// is above 1 to show a version that fails under load only, and low enough that the targets
	// don't refuse most requests.
	triedLoad = 1.25
	// minTried is the least number of targets that are tried at a time. One alone would be judged
	// by what is wrong with its machine.
	minTried = 2
)

// schedule derives the steps of a roll-out from its duration.
type schedule struct {
	terms    Terms
	duration time.Duration
}

func part(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// completeAt is when the roll-out is completed if the version is good.
func (s schedule) completeAt() time.Duration {
	return s.duration - min(part(s.duration, writePart), maxWriteTime)
}

// moveAt is when the traffic is moved, and clearAt when that is decided.
func (s schedule) moveAt() time.Duration  { return s.completeAt() - part(s.duration, movePart) }
func (s schedule) clearAt() time.Duration { return s.moveAt() - part(s.duration, clearPart) }

// share is the share of its requests that an entry sends to the new version after a time.
func (s schedule) share(elapsed time.Duration) float64 {
	if elapsed < part(s.duration, earlyPart) {
		return earlyShare * s.terms.Share
	}
	return steadyShare * s.terms.Share
}

// maxShare is the share of its requests that an entry never exceeds before the deadline.
func (s schedule) maxShare() float64 { return usedShare * s.terms.Share }

// tried returns the window of the new targets, in a fixed order, that are tried after a time: the
// index of the first, and their number. Few targets are tried at a time, so that these are loaded
// like the old ones.
func (s schedule) tried(elapsed time.Duration, targets int) (first, count int) {
	if targets == 0 || s.duration <= 0 {
		return 0, 0
	}
	count = min(max(int(s.share(elapsed)*float64(targets)/triedLoad+0.5), minTried), targets)
	turn := int(elapsed * rotations / s.duration)
	return turn * count % targets, count
}

// bucketLength is the length of the time slices in which outcomes are counted.
func (s schedule) bucketLength() time.Duration {
	const buckets = 12
	return min(max(s.duration/buckets, minBucket), maxBucket)
}

const (
	minBucket = 500 * time.Millisecond
	maxBucket = 5 * time.Second
)
