package bfbatch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfstore"
)

// method is the name of the call by which a node hands its write to another one.
const method = "write"

// callTimeout bounds such a call: a batch is gathered and made in less than half of it
// where the store answers.
const callTimeout = time.Second

// request is a write as it is handed over.
type request struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Remove   bool   `json:"remove,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// outcome tells how a write ended.
type outcome string

const (
	made     outcome = "made"
	conflict outcome = "conflict"
	// notMade stands for all ends after which the node writes itself.
	notMade outcome = "not made"
)

type reply struct {
	Outcome  outcome `json:"outcome"`
	Revision uint64  `json:"revision,omitempty"`
}

// Methods are the calls that the batcher answers.
func (b *Batcher) Methods() bfpeer.Methods {
	return bfpeer.Methods{method: {Purpose: bfpeer.Membership, Handle: b.answer}}
}

func (b *Batcher) answer(ctx context.Context, params json.RawMessage) (any, error) {
	var asked request
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}
	revision, err := b.Write(ctx, bfstore.RowWrite(asked))
	var conflicting *bfstore.ConflictError
	var batch *NotMadeError
	switch {
	case err == nil:
		return reply{Outcome: made, Revision: revision}, nil
	case errors.As(err, &batch):
		return reply{Outcome: notMade}, nil
	case errors.As(err, &conflicting):
		return reply{Outcome: conflict}, nil
	}
	return reply{Outcome: notMade}, nil
}

// Remote hands writes to another node's batcher.
type Remote struct {
	Calls *bfpeer.Calls
	// Peer is where that node takes calls.
	Peer string
}

// Write hands the write over. Its errors are ConflictError, and NotMadeError where the
// node is to write itself; then the write may have been made all the same.
func (r Remote) Write(ctx context.Context, write bfstore.RowWrite) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var told reply
	err := r.Calls.Call(ctx, r.Peer, method, request(write), &told)
	switch {
	case err != nil:
		return 0, &NotMadeError{Reason: err}
	case told.Outcome == made:
		return told.Revision, nil
	case told.Outcome == conflict:
		return 0, &bfstore.ConflictError{Row: bfstore.Row{Key: write.Key}}
	}
	return 0, &NotMadeError{Reason: &bfstore.UnavailableError{Reason: "the batch was not made"}}
}
