package bfmember

import (
	"math"
	"time"

	"bilberryflow.org/lib/bfview"
)

// Options are the settings of membership.
type Options struct {
	// ProbeInterval is the time between two probes of one node.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for an ack before others are asked to probe.
	ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked.
	IndirectProbes int
	// SuspicionFactor times log10 of the fleet's size times ProbeInterval is the time to refute.
	SuspicionFactor float64
	// RetransmitFactor times log2 of the fleet's size is how often a node tells a change.
	RetransmitFactor float64
	// NewsBytes bounds the news on one datagram.
	NewsBytes int
	// RepairInterval is the mean time between two repairs a node opens.
	RepairInterval time.Duration
	// RepairBuckets and RepairCells bound what one repair compares and carries, and so its bytes.
	RepairBuckets, RepairCells int
	// DeadRetention is how long a dead member's row is kept, to find it again after a partition.
	DeadRetention time.Duration
	// GraveRetention is how long the incarnation of a dropped row stays barred.
	GraveRetention time.Duration
	// MaxGraves bounds what is kept of dropped rows.
	MaxGraves int
	// MeetingSlots is how many meeting rows the table has.
	MeetingSlots int
	// MeetingRate is how many meeting rows the whole fleet writes in a second.
	MeetingRate float64
	// PageRows is how many rows a joiner pulls at once.
	PageRows int
	// JoinTimeout is the wait for one page.
	JoinTimeout time.Duration
	// ReconnectInterval is the mean time between two probes of members held dead.
	ReconnectInterval time.Duration
}

// Convergence is the profile of a fleet that weighs convergence time more.
func Convergence() Options {
	return Options{
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3,
		SuspicionFactor: 3, RetransmitFactor: 1, NewsBytes: 800,
		RepairInterval: time.Minute, RepairBuckets: 4, RepairCells: 16,
		DeadRetention: 2 * time.Hour, GraveRetention: 24 * time.Hour, MaxGraves: 1 << 16,
		MeetingSlots: 8, MeetingRate: 0.5, PageRows: 400, JoinTimeout: 2 * time.Second,
		ReconnectInterval: time.Minute,
	}
}

// Bytes is the profile of a fleet that weighs control bytes more.
func Bytes() Options {
	o := Convergence()
	o.ProbeInterval = 3 * time.Second
	o.ProbeTimeout = 600 * time.Millisecond
	o.SuspicionFactor = 2
	o.RetransmitFactor = 0.5
	o.RepairInterval = 4 * time.Minute
	o.ReconnectInterval = 5 * time.Minute
	return o
}

func (o Options) suspicion(fleet int) time.Duration {
	spread := max(1, math.Log10(float64(fleet+1)))
	return time.Duration(o.SuspicionFactor * spread * float64(o.ProbeInterval))
}

func (o Options) retransmits(fleet int) int {
	return max(2, int(math.Ceil(o.RetransmitFactor*math.Log2(float64(fleet+1)))))
}

func (o Options) retention() bfview.Retention {
	return bfview.Retention{Rows: o.DeadRetention, Graves: o.GraveRetention, MaxGraves: o.MaxGraves}
}

// paused is the gap between two calls after which the node itself must have stood still.
func (o Options) paused() time.Duration { return 2 * o.ProbeInterval }
