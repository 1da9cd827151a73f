package bfbatch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfstore"
)

// writeMethod is the name of the call that sends a write to another node.
const writeMethod = "write"

// callTimeout limits such a call; it exceeds gatherWindow and the time of a store call.
const callTimeout = time.Second

// request is the encoded form of a write.
type request struct {
	Key      string           `json:"key"`
	Value    []byte           `json:"value,omitempty"`
	Remove   bool             `json:"remove,omitempty"`
	Revision bfstore.Revision `json:"revision,omitempty"`
}

// outcome is the encoded result of a write.
type outcome string

const (
	written  outcome = "made"
	conflict outcome = "conflict"
	// notWritten covers all results after which the node writes the row itself.
	notWritten outcome = "not made"
)

type reply struct {
	Outcome  outcome          `json:"outcome"`
	Revision bfstore.Revision `json:"revision,omitempty"`
}

// Methods returns the calls that the batcher serves to other nodes.
func (b *Batcher) Methods() bfpeer.Methods {
	return bfpeer.Methods{writeMethod: {Purpose: bfpeer.Membership, Handle: b.answer}}
}

func (b *Batcher) answer(ctx context.Context, params json.RawMessage) (any, error) {
	var req request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	revision, err := b.Write(ctx, bfstore.RowWrite(req))
	var conflicting *bfstore.ConflictError
	var batchErr *BatchError
	switch {
	case err == nil:
		return reply{Outcome: written, Revision: revision}, nil
	case errors.As(err, &batchErr):
		return reply{Outcome: notWritten}, nil
	case errors.As(err, &conflicting):
		return reply{Outcome: conflict}, nil
	}
	return reply{Outcome: notWritten}, nil
}

// Remote sends writes to another node's batcher.
type Remote struct {
	Calls *bfpeer.Calls
	// Peer is the address of that node's peer port.
	Peer string
}

// Write sends the write to the node. Its errors are bfstore.ConflictError and
// BatchError; after the latter the write may still have taken effect.
func (r Remote) Write(ctx context.Context, write bfstore.RowWrite) (bfstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var got reply
	err := r.Calls.Call(ctx, r.Peer, writeMethod, request(write), &got)
	switch {
	case err != nil:
		return 0, &BatchError{Reason: err}
	case got.Outcome == written:
		return got.Revision, nil
	case got.Outcome == conflict:
		return 0, &bfstore.ConflictError{Row: bfstore.Row{Key: write.Key}}
	}
	return 0, &BatchError{Reason: &bfstore.UnavailableError{Reason: "batch was not written"}}
}
