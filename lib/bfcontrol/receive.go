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

// receive handles one datagram and returns its traffic class.
func (c *Control) receive(from netip.AddrPort, data []byte) bfpeer.Purpose {
	purpose, message := c.decode(data)
	if message == nil {
		c.undecodable.Add(1)
		return purpose
	}
	c.loop.Post(c.config.Group.Context(), func(now time.Time) { c.dispatch(now, from.String(), message) })
	return purpose
}

// decode returns a nil message for data that can't be decoded; datagrams may come from any sender.
func (c *Control) decode(data []byte) (bfpeer.Purpose, any) {
	switch {
	case bfgossip.Owns(data):
		message, err := bfgossip.Decode(data)
		return memberPurpose(message), nilOnError(message, err)
	case bfspread.Owns(data):
		message, err := bfspread.Decode(data)
		return spreadPurpose(message), nilOnError(message, err)
	case ownsWitness(data):
		message, err := decodeWitness(data)
		return bfpeer.Witness, nilOnError(message, err)
	}
	return bfpeer.Membership, nil
}

func nilOnError(message any, err error) any {
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
		c.activation.receive(now, from, message)
	case bfspread.Message:
		c.spreadActions(now, from, c.spreader.Receive(now, c.peers[from], message))
	}
}

// Methods returns the calls that Control serves.
func (c *Control) Methods() bfpeer.Methods {
	return bfpeer.Methods{deliverMethod: {Purpose: bfpeer.Repair, Handle: c.deliver}}
}

// maxPendingDeliveries bounds the deliveries that wait for the loop. Each may be
// megabytes; the senders' cores detect rejected ones by timeout or repair.
const maxPendingDeliveries = 16

// BusyError reports a delivery rejected because too many are pending or the loop did not accept it in time.
type BusyError struct{}

// Error describes the overload.
func (*BusyError) Error() string { return "too many pending deliveries" }

func (c *Control) deliver(ctx context.Context, params json.RawMessage) (any, error) {
	var d delivery
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, err
	}
	_, message := c.decode(d.Data)
	if message == nil {
		c.undecodable.Add(1)
		return &deliveryResult{}, nil
	}
	select {
	case c.deliverySlots <- struct{}{}:
		defer func() { <-c.deliverySlots }()
	default:
		return nil, &BusyError{}
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	if !c.loop.Post(ctx, func(now time.Time) { c.dispatch(now, d.From, message) }) {
		return nil, &BusyError{}
	}
	return &deliveryResult{}, nil
}
