package bfcontrol

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfspread"
)

// receive takes one datagram.
func (c *Control) receive(from netip.AddrPort, data []byte) bfpeer.Purpose {
	purpose, message := c.decode(data)
	if message == nil {
		c.undecodable.Add(1)
		return purpose
	}
	c.loop.Post(c.parts.Group.Context(), func(now time.Time) { c.dispatch(now, from.String(), message) })
	return purpose
}

// decode gives nil for bytes that are no message; anyone can send a datagram.
func (c *Control) decode(data []byte) (bfpeer.Purpose, any) {
	switch {
	case bfgossip.Owns(data):
		message, err := bfgossip.Decode(data)
		return memberPurpose(message), orNil(message, err)
	case bfspread.Owns(data):
		message, err := bfspread.Decode(data)
		return spreadPurpose(message), orNil(message, err)
	case ownsWitness(data):
		message, err := decodeWitness(data)
		return bfpeer.Witness, orNil(message, err)
	}
	return bfpeer.Membership, nil
}

func orNil(message any, err error) any {
	if err != nil {
		return nil
	}
	return message
}

func (c *Control) dispatch(now time.Time, from string, message any) {
	switch message := message.(type) {
	case bfgossip.Message:
		c.memberActions(now, c.members.Receive(now, from, message))
	case witnessMessage:
		c.force.receive(now, from, message)
	case bfspread.Message:
		c.spreadActions(now, from, c.spreader.Receive(now, c.peers[from], message))
	}
}

// Methods are the calls that Control answers.
func (c *Control) Methods() bfpeer.Methods {
	return bfpeer.Methods{deliverMethod: {Purpose: bfpeer.Repair, Handle: c.deliver}}
}

// maxDeliveries bounds the large messages that wait for the loop at once; each
// may be megabytes, and senders repeat what matters.
const maxDeliveries = 16

// BusyError reports a large message that was not taken.
type BusyError struct{}

// Error says that the loop is behind.
func (*BusyError) Error() string { return "too many messages wait" }

func (c *Control) deliver(ctx context.Context, params json.RawMessage) (any, error) {
	var d delivery
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, err
	}
	_, message := c.decode(d.Data)
	if message == nil {
		c.undecodable.Add(1)
		return &delivered{}, nil
	}
	select {
	case c.deliveries <- struct{}{}:
		defer func() { <-c.deliveries }()
	default:
		return nil, &BusyError{}
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	if !c.loop.Post(ctx, func(now time.Time) { c.dispatch(now, d.From, message) }) {
		return nil, &BusyError{}
	}
	return &delivered{}, nil
}
