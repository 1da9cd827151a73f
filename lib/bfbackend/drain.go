package bfbackend

import (
	"context"
	"encoding/json"
	"time"

	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquery"
)

// drainMethod is the name of the call that drains a node's target.
const drainMethod = "guard.drain"

// drainTimeout bounds the call.
const drainTimeout = 2 * time.Second

type drainRequest struct{}

type drainReply struct{}

// DrainMethods returns the call by which other nodes drain this node's target.
func DrainMethods(drain func()) bfpeer.Methods {
	return bfpeer.Methods{drainMethod: {
		Purpose: bfpeer.Operators,
		Handle: func(context.Context, json.RawMessage) (any, error) {
			drain()
			return &drainReply{}, nil
		},
	}}
}

// Drain makes the target of an instance leave.
func (b *Backend) Drain(ctx context.Context, instance string) error {
	member, found := b.config.Directory.Member(instance)
	if !found {
		return &bfquery.NoInstanceError{Instance: instance}
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	return b.config.Calls.Call(ctx, member.Peer, drainMethod, &drainRequest{}, &drainReply{})
}
