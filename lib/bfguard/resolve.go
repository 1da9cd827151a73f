package bfguard

import (
	"context"
	"encoding/json"

	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfrecord"
)

// Calls between nodes about requests.
const (
	resolveMethod = "request.resolve"
	mintMethod    = "request.mint"
)

type mintRequest struct{}

type mintReply struct {
	Key string `json:"key"`
}

// Methods are the calls that a guard answers.
func (g *Guard) Methods() bfpeer.Methods {
	return bfpeer.Methods{
		resolveMethod: {Purpose: bfpeer.Requests, Handle: g.resolve},
		mintMethod: {Purpose: bfpeer.Requests, Handle: func(context.Context, json.RawMessage) (any, error) {
			return &mintReply{Key: g.parts.Minter.NextKey(g.parts.Timer.Now()).String()}, nil
		}},
	}
}

// resolve tells what became of a request, and bars it if it was never seen.
func (g *Guard) resolve(_ context.Context, params json.RawMessage) (any, error) {
	var request bfrecord.ResolveRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	resolution := g.books.Resolve(g.parts.Timer.Now(), request.ID, g.ownHome(request.Home))
	reply := bfrecord.NewResolveReply(request.ID, g.parts.Home, resolution)
	if reply.State != bfrecord.ResolvedHomeLost {
		// The asker knows this process by the incarnation that it named.
		reply.Home = request.Home
	}
	return &reply, nil
}

// Resolver asks other nodes about requests.
type Resolver struct{ Calls *bfpeer.Calls }

// Resolve asks the node at address what became of a request.
func (r Resolver) Resolve(ctx context.Context, address string, request bfrecord.ResolveRequest) (bfrecord.ResolveReply, error) {
	var reply bfrecord.ResolveReply
	err := r.Calls.Call(ctx, address, resolveMethod, &request, &reply)
	return reply, err
}

// Mint asks the node at address for a key that only its present incarnation may run.
func (r Resolver) Mint(ctx context.Context, address string) (string, error) {
	var reply mintReply
	err := r.Calls.Call(ctx, address, mintMethod, &mintRequest{}, &reply)
	return reply.Key, err
}
