package bfcontrol

import (
	"context"
	"net/netip"
	"time"

	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfspread"
)

// deliverMethod carries a message that is too large for a datagram.
const deliverMethod = "control.deliver"

// deliverTimeout bounds one such message.
const deliverTimeout = 5 * time.Second

// delivery is the parameter of deliverMethod.
type delivery struct {
	// From is the sender's peer address.
	From string `json:"from"`
	Data []byte `json:"data"`
}

type delivered struct{}

// datagram is a small message on its way out.
type datagram struct {
	to      netip.AddrPort
	purpose bfpeer.Purpose
	data    []byte
}

const (
	// outboxLength bounds the datagrams that wait for the socket.
	outboxLength = 4096
	// maxOutgoing bounds the large messages on their way.
	maxOutgoing = 256
)

// outbox takes messages from the loop and never makes it wait: a full socket
// buffer would stop the loop, its probes would go unanswered and the fleet would
// hold the node dead. What does not fit is dropped, as the network may do anyway.
type outbox struct {
	datagrams Datagrams
	waiting   chan datagram
	outgoing  chan struct{}
	dropped   *bfmetric.Counter
}

func newOutbox(datagrams Datagrams, metrics *bfmetric.Registry) outbox {
	return outbox{
		datagrams: datagrams, waiting: make(chan datagram, outboxLength), outgoing: make(chan struct{}, maxOutgoing),
		dropped: metrics.Counter("control_dropped"),
	}
}

func (o *outbox) put(d datagram) {
	select {
	case o.waiting <- d:
	default:
		o.dropped.Add(1)
	}
}

// begin takes one of the places of large messages, if any is left.
func (o *outbox) begin() bool {
	select {
	case o.outgoing <- struct{}{}:
		return true
	default:
		o.dropped.Add(1)
		return false
	}
}

func (o *outbox) end() { <-o.outgoing }

func (o *outbox) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-o.waiting:
			// A datagram that could not be sent is one that was lost.
			_ = o.datagrams.Send(d.to, d.purpose, d.data)
		}
	}
}

// send sends a message, as a datagram where it fits one. A lost message is the
// cores' business: each has its own timeouts and repairs.
func (c *Control) send(address string, purpose bfpeer.Purpose, data []byte, err error) {
	if err != nil {
		c.report(err)
		return
	}
	if len(data) > bfpeer.MaxDatagram {
		if !c.outbox.begin() {
			return
		}
		c.parts.Group.Go("deliver", func(ctx context.Context) error {
			defer c.outbox.end()
			ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			_ = c.parts.Calls.Call(ctx, address, deliverMethod, &delivery{From: c.parts.Self.Peer, Data: data}, nil)
			return nil
		})
		return
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		c.report(err)
		return
	}
	c.outbox.put(datagram{to, purpose, data})
}

func memberPurpose(message bfmember.Message) bfpeer.Purpose {
	switch message.(type) {
	case bfmember.Summary, bfmember.Detail, bfmember.Repair:
		return bfpeer.Repair
	}
	return bfpeer.Membership
}

func spreadPurpose(message bfspread.Message) bfpeer.Purpose {
	switch message.(type) {
	case bfspread.Push, bfspread.Ack:
		return bfpeer.Versions
	case bfspread.Snapshot, bfspread.Busy:
		return bfpeer.Snapshots
	case bfspread.Census, bfspread.CensusAnswer:
		return bfpeer.Operators
	}
	return bfpeer.Repair
}
