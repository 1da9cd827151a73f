package bfcontrol

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"bilberryflow.org/lib/bfmember"
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

// Methods are the calls that Control answers.
func (c *Control) Methods() bfpeer.Methods {
	return bfpeer.Methods{deliverMethod: {Purpose: bfpeer.Repair, Handle: c.deliver}}
}

func (c *Control) deliver(ctx context.Context, params json.RawMessage) (any, error) {
	var d delivery
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, err
	}
	if len(d.Data) > 0 {
		if _, message := c.decode(d.Data); message != nil {
			c.loop.post(ctx, func(now time.Time) { c.dispatch(now, d.From, message) })
		}
	}
	return &delivered{}, nil
}

// send sends a message, as a datagram where it fits one. A lost message is the
// cores' business: each has its own timeouts and repairs.
func (c *Control) send(address string, purpose bfpeer.Purpose, data []byte, err error) {
	if err != nil {
		c.report(err)
		return
	}
	if len(data) > bfpeer.MaxDatagram {
		c.parts.Group.Go("deliver", func(ctx context.Context) error {
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
	_ = c.parts.Datagrams.Send(to, purpose, data)
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
