package bfcontrol

import (
	"context"
	"net/netip"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfspread"
)

// deliverMethod is the call that carries a message too large for a datagram.
const deliverMethod = "control.deliver"

// deliverTimeout bounds one delivery.
const deliverTimeout = 5 * time.Second

// delivery holds the parameters of deliverMethod.
type delivery struct {
	// From is the sender's peer address.
	From string `json:"from"`
	Data []byte `json:"data"`
}

type deliveryResult struct{}

// send sends a message, as a datagram if it fits in one. Messages may be lost:
// the cores have their own timeouts and repair.
func (c *Control) send(address string, purpose bfpeer.Purpose, data []byte, err error) {
	if err != nil {
		c.report(err)
		return
	}
	if len(data) > bfpeer.MaxDatagram {
		if !c.outbox.Acquire() {
			return
		}
		c.config.Group.Go("deliver", func(ctx context.Context) error {
			defer c.outbox.Release()
			ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			_ = c.config.Calls.Call(ctx, address, deliverMethod, &delivery{From: c.config.Self.Peer, Data: data}, nil)
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
