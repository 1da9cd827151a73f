package bfpeer

import (
	"sync/atomic"

	"bilberryflow.org/lib/bfmetric"
)

// Purpose is what control bytes were spent on.
type Purpose uint8

// The purposes by which control bytes are counted.
const (
	Membership Purpose = iota
	Versions
	Repair
	Snapshots
	Witness
	Operators
	Requests
	purposeCount
)

// String is the purpose's name in metrics.
func (p Purpose) String() string {
	switch p {
	case Membership:
		return "membership"
	case Versions:
		return "versions"
	case Repair:
		return "repair"
	case Snapshots:
		return "snapshots"
	case Witness:
		return "witness"
	case Operators:
		return "operators"
	case Requests:
		return "requests"
	}
	return "unknown"
}

// Traffic counts payload bytes by purpose; IP, UDP and TCP headers are not in it.
type Traffic struct {
	sent, received         [purposeCount]atomic.Int64
	sentCount, receivedCnt [purposeCount]atomic.Int64
}

// NewTraffic makes a count and shows it in metrics.
func NewTraffic(metrics *bfmetric.Registry) *Traffic {
	t := &Traffic{}
	for p := range purposeCount {
		metrics.Gauge("control_sent_bytes_"+p.String(), t.sent[p].Load)
		metrics.Gauge("control_received_bytes_"+p.String(), t.received[p].Load)
		metrics.Gauge("control_sent_messages_"+p.String(), t.sentCount[p].Load)
		metrics.Gauge("control_received_messages_"+p.String(), t.receivedCnt[p].Load)
	}
	return t
}

func (t *Traffic) addSent(p Purpose, n int) {
	t.sent[p].Add(int64(n))
	t.sentCount[p].Add(1)
}

func (t *Traffic) addReceived(p Purpose, n int) {
	t.received[p].Add(int64(n))
	t.receivedCnt[p].Add(1)
}

// Sent is how many bytes were sent for a purpose.
func (t *Traffic) Sent(p Purpose) int64 { return t.sent[p].Load() }

// Received is how many bytes were received for a purpose.
func (t *Traffic) Received(p Purpose) int64 { return t.received[p].Load() }
