package bfcontrol

import (
	"context"
	"net/netip"
	"time"

	"bilberryflow.org/lib/bfgossip"
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

// send sends a message, as a datagram where it fits one. A lost message is the
// cores' business: each has its own timeouts and repairs.
func (c *Control) send(address string, purpose bfpeer.Purpose, data []byte, err error) {
	if err != nil {
		c.report(err)
		return
	}
	if len(data) > bfpeer.MaxDatagram {
		if !c.outbox.Acquire() {
			return
		}
		c.parts.Group.Go("deliver", func(ctx context.Context) error {
			defer c.outbox.Release()
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
	c.outbox.Put(to, purpose, data)
}

func memberPurpose(message bfgossip.Message) bfpeer.Purpose {
	switch message.(type) {
	case bfgossip.Summary, bfgossip.Detail, bfgossip.Repair:
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
