package bfspread

import "time"

// Options configures a Spreader.
type Options struct {
	// Fanout is the number of parts into which a node splits its span.
	Fanout int
	// BatchWindow is the minimum time between two pushes of one origin; versions in
	// between are batched.
	BatchWindow time.Duration
	// LocalAckTimeout and RemoteAckTimeout are the ack timeouts for a relay in the same
	// region and in another one.
	LocalAckTimeout, RemoteAckTimeout time.Duration
	// PushAttempts is the number of relays of a part that are tried; after that the
	// part relies on pulls.
	PushAttempts int
	// PullDelay is the delay before a pull, since a push is probably in transit, and
	// PullDelayJitter its random part.
	PullDelay, PullDelayJitter time.Duration
	// PullTimeout is the timeout of one pull.
	PullTimeout time.Duration
	// Backoff and MaxBackoff bound the exponential backoff after failures.
	Backoff, MaxBackoff time.Duration
	// LogVersions and LogBytes bound the deltas that are kept to answer pulls.
	LogVersions, LogBytes int
	// BufferVersions bounds the deltas that are buffered because they arrived out of order.
	BufferVersions int
	// MessageBytes bounds the bytes of deltas in one message.
	MessageBytes int
	// SnapshotRate is the number of snapshots per second that a node sends to others.
	SnapshotRate float64
	// PollRate is the rate, per second, at which the whole fleet reads the head.
	PollRate float64
	// MinFleetSize is the minimum fleet size assumed for polls, so that nodes that
	// start together without a view don't poll too often.
	MinFleetSize int
	// MinPollInterval is the minimum time between two polls of one node.
	MinPollInterval time.Duration
}

// FastConvergenceProfile returns the options that favor a short convergence time.
func FastConvergenceProfile() Options {
	return Options{
		Fanout: 8, BatchWindow: 50 * time.Millisecond,
		LocalAckTimeout: 250 * time.Millisecond, RemoteAckTimeout: 600 * time.Millisecond, PushAttempts: 3,
		PullDelay: 200 * time.Millisecond, PullDelayJitter: 600 * time.Millisecond, PullTimeout: 2 * time.Second,
		Backoff: 500 * time.Millisecond, MaxBackoff: 30 * time.Second,
		LogVersions: 1024, LogBytes: 1 << 20, BufferVersions: 64, MessageBytes: 64 << 10,
		SnapshotRate: 2, PollRate: 20, MinPollInterval: 250 * time.Millisecond,
	}
}

// LowTrafficProfile returns the options that favor low control traffic.
func LowTrafficProfile() Options {
	o := FastConvergenceProfile()
	o.BatchWindow = 500 * time.Millisecond
	o.PullDelay, o.PullDelayJitter = time.Second, 2*time.Second
	o.PollRate = 5
	return o
}
