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

// datagram is a small message on its way out.
type datagram struct {
	to      netip.AddrPort
	purpose Purpose
	data    []byte
}

const (
	// OutboxLength bounds the datagrams that wait for the socket.
	OutboxLength = 4096
	// maxOutgoing bounds the large messages on their way.
	maxOutgoing = 256
)

// Outbox takes messages from a loop and never makes it wait: a full socket
// buffer would stop the loop, its probes would go unanswered and the fleet would
// hold the node dead. What does not fit is dropped, as the network may do anyway.
type Outbox struct {
	sender   Sender
	waiting  chan datagram
	outgoing chan struct{}
	dropped  *bfmetric.Counter
}

// NewOutbox makes an empty outbox; what it drops is counted in metrics.
func NewOutbox(sender Sender, metrics *bfmetric.Registry) *Outbox {
	return &Outbox{
		sender: sender, waiting: make(chan datagram, OutboxLength), outgoing: make(chan struct{}, maxOutgoing),
		dropped: metrics.Counter("control_dropped"),
	}
}

// Put queues a datagram.
func (o *Outbox) Put(to netip.AddrPort, purpose Purpose, data []byte) {
	select {
	case o.waiting <- datagram{to, purpose, data}:
	default:
		o.dropped.Add(1)
	}
}

// Begin takes one of the places of large messages, if any is left; End gives it back.
func (o *Outbox) Begin() bool {
	select {
	case o.outgoing <- struct{}{}:
		return true
	default:
		o.dropped.Add(1)
		return false
	}
}

// End gives a place of a large message back.
func (o *Outbox) End() { <-o.outgoing }

// Dropped counts what did not fit.
func (o *Outbox) Dropped() int64 { return o.dropped.Value() }

// Run sends what was put until ctx ends.
func (o *Outbox) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-o.waiting:
			// A datagram that could not be sent is one that was lost.
			_ = o.sender.Send(d.to, d.purpose, d.data)
		}
	}
}
