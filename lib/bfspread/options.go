package bfspread

import "time"

// Options are the settings of spreading.
type Options struct {
	// Fanout is into how many parts a node splits its range.
	Fanout int
	// Window is how long an origin gathers versions that come thick.
	Window time.Duration
	// AckNear and AckFar are the waits for an ack from the own and from another region.
	AckNear, AckFar time.Duration
	// PushTries is how many relays of a part are tried before it is left to repair.
	PushTries int
	// Grace and GraceSpread bound the random wait before a pull, since a push is probably under way.
	Grace, GraceSpread time.Duration
	// PullTimeout is the wait for the answer to a pull.
	PullTimeout time.Duration
	// Backoff and MaxBackoff bound the growing waits after failures.
	Backoff, MaxBackoff time.Duration
	// LogVersions and LogBytes bound the deltas kept for others to pull.
	LogVersions, LogBytes int
	// BufferVersions bounds the deltas kept that came before their turn.
	BufferVersions int
	// MessageBytes bounds the deltas in one message.
	MessageBytes int
	// SnapshotRate is how many snapshots a node gives in a second.
	SnapshotRate float64
	// PollRate is how often the whole fleet reads the head in a second.
	PollRate float64
	// MinFleet is the least size that polls reckon with, for a herd that starts without a view.
	MinFleet int
	// MinPoll bounds the polls of one node in a small fleet.
	MinPoll time.Duration
}

// Convergence is the profile of a fleet that weighs convergence time more.
func Convergence() Options {
	return Options{
		Fanout: 8, Window: 50 * time.Millisecond,
		AckNear: 250 * time.Millisecond, AckFar: 600 * time.Millisecond, PushTries: 3,
		Grace: 200 * time.Millisecond, GraceSpread: 600 * time.Millisecond, PullTimeout: 2 * time.Second,
		Backoff: 500 * time.Millisecond, MaxBackoff: 30 * time.Second,
		LogVersions: 1024, LogBytes: 1 << 20, BufferVersions: 64, MessageBytes: 64 << 10,
		SnapshotRate: 2, PollRate: 20, MinPoll: 250 * time.Millisecond,
	}
}

// Bytes is the profile of a fleet that weighs control bytes more.
func Bytes() Options {
	o := Convergence()
	o.Window = 500 * time.Millisecond
	o.Grace, o.GraceSpread = time.Second, 2*time.Second
	o.PollRate = 5
	return o
}
