package bfguard

import (
	"context"
	"encoding/json"

	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfrecord"
)

// Names of the calls between nodes.
const (
	resolveMethod = "request.resolve"
	mintMethod    = "request.mint"
)

type mintRequest struct{}

type mintReply struct {
	Key string `json:"key"`
}

// Methods returns the calls that the guard serves to other nodes.
func (g *Guard) Methods() bfpeer.Methods {
	return bfpeer.Methods{
		resolveMethod: {Purpose: bfpeer.Requests, Handle: g.resolve},
		mintMethod: {Purpose: bfpeer.Requests, Handle: func(context.Context, json.RawMessage) (any, error) {
			return &mintReply{Key: g.config.Minter.NextKey(g.config.Timer.Now()).String()}, nil
		}},
	}
}

// resolve returns the state of a request. A request without a record is recorded as
// not run, so that a late copy of it is refused.
func (g *Guard) resolve(_ context.Context, params json.RawMessage) (any, error) {
	var request bfrecord.ResolveRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	resolution := g.records.Resolve(g.config.Timer.Now(), request.ID, g.canonicalHome(request.Home))
	reply := bfrecord.NewResolveReply(request.ID, g.config.Home, resolution)
	if reply.State != bfrecord.ResolvedHomeLost {
		// The querying node matches the reply by the incarnation that it sent.
		reply.Home = request.Home
	}
	return &reply, nil
}

// Resolver queries other nodes about requests.
type Resolver struct{ Calls *bfpeer.Calls }

// Resolve returns the state of a request at the node at address.
func (r Resolver) Resolve(ctx context.Context, address string, request bfrecord.ResolveRequest) (bfrecord.ResolveReply, error) {
	var reply bfrecord.ResolveReply
	err := r.Calls.Call(ctx, address, resolveMethod, &request, &reply)
	return reply, err
}

// Mint returns an idempotency key that only the current incarnation of the node at address accepts.
func (r Resolver) Mint(ctx context.Context, address string) (string, error) {
	var reply mintReply
	err := r.Calls.Call(ctx, address, mintMethod, &mintRequest{}, &reply)
	return reply.Key, err
}
