package bfpeer

import (
	"sync/atomic"

	"bilberryflow.org/lib/bfmetric"
)

// Purpose classifies control traffic for metrics.
type Purpose uint8

// Purposes of control traffic.
const (
	Membership Purpose = iota
	Versions
	Repair
	Snapshots
	Witness
	Operators
	Requests
	Quotas
	purposeCount
)

// String returns the purpose's name in metrics.
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
	case Quotas:
		return "quotas"
	}
	return "unknown"
}

// Traffic counts messages and payload bytes by purpose, without IP, UDP and TCP headers.
type Traffic struct {
	sent, received           [purposeCount]atomic.Int64
	sentCount, receivedCount [purposeCount]atomic.Int64
	// rejected counts the messages that were not sent because too many bytes waited.
	rejected atomic.Int64
}

// NewTraffic makes counters and registers them in metrics.
func NewTraffic(metrics *bfmetric.Registry) *Traffic {
	t := &Traffic{}
	metrics.Gauge("control_rejected_messages", t.rejected.Load)
	for p := range purposeCount {
		metrics.Gauge("control_sent_bytes_"+p.String(), t.sent[p].Load)
		metrics.Gauge("control_received_bytes_"+p.String(), t.received[p].Load)
		metrics.Gauge("control_sent_messages_"+p.String(), t.sentCount[p].Load)
		metrics.Gauge("control_received_messages_"+p.String(), t.receivedCount[p].Load)
	}
	return t
}

func (t *Traffic) addSent(p Purpose, n int) {
	t.sent[p].Add(int64(n))
	t.sentCount[p].Add(1)
}

func (t *Traffic) addReceived(p Purpose, n int) {
	t.received[p].Add(int64(n))
	t.receivedCount[p].Add(1)
}

// Sent is the number of bytes sent for a purpose.
func (t *Traffic) Sent(p Purpose) int64 { return t.sent[p].Load() }

// Received is the number of bytes received for a purpose.
func (t *Traffic) Received(p Purpose) int64 { return t.received[p].Load() }
