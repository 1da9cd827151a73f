package bfquotanet

import (
	"context"
	"encoding/json"
	"time"

	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquota"
)

// Names of the calls between nodes.
const (
	delegateMethod = "quota-delegate"
	takeMethod     = "quota-take"
	returnMethod   = "quota-return"
)

// Methods returns the calls that the node serves as a broker.
func (e *Exchange) Methods() bfpeer.Methods {
	return bfpeer.Methods{
		delegateMethod: {Purpose: bfpeer.Quotas, Handle: serve(e, e.broker.Delegate)},
		takeMethod:     {Purpose: bfpeer.Quotas, Handle: serve(e, e.broker.Take)},
		returnMethod: {Purpose: bfpeer.Quotas, Handle: serve(e, func(r bfquota.Refund, now time.Duration) struct{} {
			e.broker.Return(r, now)
			return struct{}{}
		})},
	}
}

// serve returns the handler of a call that the broker answers at once.
func serve[Q, A any](e *Exchange, handle func(Q, time.Duration) A) func(context.Context, json.RawMessage) (any, error) {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		var q Q
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, err
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		now := e.config.Clock()
		e.configure(now)
		return handle(q, now), nil
	}
}
