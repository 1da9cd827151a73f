package bfmember

import (
	"math"
	"time"

	"bilberryflow.org/lib/bfview"
)

// Options configures membership.
type Options struct {
	// ProbeInterval is the time between two probes that a node sends.
	ProbeInterval time.Duration
	// ProbeTimeout is the time without an ack after which indirect probes are sent.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that probe indirectly.
	IndirectProbes int
	// SuspicionFactor times log10 of the fleet's size times ProbeInterval is the time
	// after which a suspicion that wasn't refuted becomes a death.
	SuspicionFactor float64
	// RetransmitFactor times log2 of the fleet's size is the number of times a node
	// gossips a change.
	RetransmitFactor float64
	// NewsBytes bounds the bytes of piggybacked updates in one datagram.
	NewsBytes int
	// RepairInterval is the mean time between two anti-entropy exchanges that a node starts.
	RepairInterval time.Duration
	// RepairBuckets and RepairCells bound the digests and rows of one exchange.
	RepairBuckets, RepairCells int
	// DeadRetention is how long a dead member's row is kept, for probes that detect
	// the end of a partition.
	DeadRetention time.Duration
	// TombstoneRetention is how long the incarnation of a dropped row is rejected.
	TombstoneRetention time.Duration
	// MaxTombstones bounds the number of tombstones kept for dropped rows.
	MaxTombstones int
	// MeetingSlots is the number of meeting rows in the table, through which nodes find
	// their first peer.
	MeetingSlots int
	// MeetingRate is the rate, per second, at which the whole fleet writes meeting rows.
	MeetingRate float64
	// PageRows is the number of rows that a joiner requests per page.
	PageRows int
	// JoinTimeout is the timeout of one page request.
	JoinTimeout time.Duration
	// ReconnectInterval is the mean time between two probes of dead or lost members.
	ReconnectInterval time.Duration
}

// FastConvergenceProfile returns the options that favor a short convergence time.
func FastConvergenceProfile() Options {
	return Options{
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3,
		SuspicionFactor: 3, RetransmitFactor: 1, NewsBytes: 800,
		RepairInterval: time.Minute, RepairBuckets: 4, RepairCells: 16,
		DeadRetention: 2 * time.Hour, TombstoneRetention: 24 * time.Hour, MaxTombstones: 1 << 16,
		MeetingSlots: 8, MeetingRate: 0.5, PageRows: 400, JoinTimeout: 2 * time.Second,
		ReconnectInterval: time.Minute,
	}
}

// LowTrafficProfile returns the options that favor low control traffic.
func LowTrafficProfile() Options {
	o := FastConvergenceProfile()
	o.ProbeInterval = 3 * time.Second
	o.ProbeTimeout = 600 * time.Millisecond
	o.SuspicionFactor = 2
	o.RetransmitFactor = 0.5
	o.RepairInterval = 4 * time.Minute
	o.ReconnectInterval = 5 * time.Minute
	return o
}

func (o Options) suspicionTimeout(members int) time.Duration {
	scale := max(1, math.Log10(float64(members+1)))
	return time.Duration(o.SuspicionFactor * scale * float64(o.ProbeInterval))
}

func (o Options) transmitLimit(members int) int {
	return max(2, int(math.Ceil(o.RetransmitFactor*math.Log2(float64(members+1)))))
}

func (o Options) retention() bfview.Retention {
	return bfview.Retention{Rows: o.DeadRetention, Tombstones: o.TombstoneRetention, MaxTombstones: o.MaxTombstones}
}

// pauseThreshold is the gap between two calls above which the process is assumed
// to have been paused.
func (o Options) pauseThreshold() time.Duration { return 2 * o.ProbeInterval }
