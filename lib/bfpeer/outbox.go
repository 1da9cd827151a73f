package bfpeer

import (
	"context"
	"net/netip"

	"bilberryflow.org/lib/bfmetric"
)

// Sender sends datagrams.
type Sender interface {
	Send(to netip.AddrPort, purpose Purpose, data []byte) error
}

// datagram is a queued datagram.
type datagram struct {
	to      netip.AddrPort
	purpose Purpose
	data    []byte
}

const (
	// OutboxCapacity bounds the queued datagrams.
	OutboxCapacity = 4096
	// maxLarge bounds the large messages in transit.
	maxLarge = 256
)

// Outbox queues messages for sending without blocking its caller. If a full socket buffer
// blocked the event loop, its probes would go unanswered and the fleet would declare the
// node dead. Messages that exceed the queue are dropped, as they may be on the network.
type Outbox struct {
	sender     Sender
	queue      chan datagram
	largeSlots chan struct{}
	dropped    *bfmetric.Counter
}

// NewOutbox makes an empty outbox. Dropped messages are counted in metrics.
func NewOutbox(sender Sender, metrics *bfmetric.Registry) *Outbox {
	return &Outbox{
		sender: sender, queue: make(chan datagram, OutboxCapacity), largeSlots: make(chan struct{}, maxLarge),
		dropped: metrics.Counter("control_dropped"),
	}
}

// Put queues a datagram, or drops it if the queue is full.
func (o *Outbox) Put(to netip.AddrPort, purpose Purpose, data []byte) {
	select {
	case o.queue <- datagram{to, purpose, data}:
	default:
		o.dropped.Add(1)
	}
}

// Acquire reserves one of the slots for large messages and reports whether one was free. A
// reserved slot must be returned with Release.
func (o *Outbox) Acquire() bool {
	select {
	case o.largeSlots <- struct{}{}:
		return true
	default:
		o.dropped.Add(1)
		return false
	}
}

// Release returns a slot reserved by Acquire.
func (o *Outbox) Release() { <-o.largeSlots }

// Dropped is the number of dropped messages.
func (o *Outbox) Dropped() int64 { return o.dropped.Value() }

// Run sends the queued datagrams until ctx ends.
func (o *Outbox) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-o.queue:
			// A failed send is treated like a lost datagram.
			_ = o.sender.Send(d.to, d.purpose, d.data)
		}
	}
}
