package bfsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"bilberryflow.org/bftrial/internal/bfcallerclient"
	"bilberryflow.org/bftrial/internal/bfledger"
	"bilberryflow.org/bftrial/internal/bfversion"
)

// outcome is the result of one request, and the node that got it.
type outcome struct {
	bfcallerclient.Outcome
	node *nodeSlot
}

type outcomeLog = bfcallerclient.Log[outcome]

const (
	callerDeadline = 1500 * time.Millisecond
	routeTimeout   = bfversion.Timeout
	host           = bfversion.Host
)

var requests atomic.Int64

// runCaller sends requests to ready nodes over keep-alive connections until ctx is done.
func (h *harness) runCaller(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	node := h.allNodes()[rand.IntN(len(h.allNodes()))]
	for ctx.Err() == nil {
		if rand.IntN(20) == 0 || !node.ready.Load() {
			node = h.allNodes()[rand.IntN(len(h.allNodes()))]
		}
		idempotent := rand.IntN(3) > 0
		h.outcomes.Add(h.sendRequest(ctx, client, node, idempotent, "vault"))
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	}
	return nil
}

// sendRequest sends one request with a new ID on a named route.
func (h *harness) sendRequest(ctx context.Context, client *http.Client, node *nodeSlot, idempotent bool, route string) outcome {
	id := newID()
	method, path := http.MethodGet, "/look-"+route+"/"+id
	if !idempotent {
		method, path = http.MethodPost, "/approve-"+route+"/"+id
	}
	if route != "vault" {
		// The routes that identify versions are public.
		return h.sendWithKey(ctx, client, node, id, method, path, nil)
	}
	return h.sendRequestTo(ctx, client, node, id, method, path)
}

func newID() string { return fmt.Sprintf("r%d", requests.Add(1)) }

// sendRequestTo sends one request with the given ID, method and path, and a key that stays valid if
// keys are required.
func (h *harness) sendRequestTo(ctx context.Context, client *http.Client, node *nodeSlot, id, method, path string) outcome {
	return h.sendWithKey(ctx, client, node, id, method, path, h.ledger.Constant(bfledger.Unlimited))
}

// sendWithKey sends one request with the given ID, method, path and key; key may be nil.
func (h *harness) sendWithKey(ctx context.Context, client *http.Client, node *nodeSlot, id, method, path string, key *bfledger.Key) outcome {
	header := http.Header{}
	h.ledger.Send(id, key, header)
	return outcome{bfcallerclient.Send(ctx, client, bfcallerclient.Request{
		Address: node.process.Settings().Listen.Caller, ID: id, Method: method, Path: path, Host: host, Deadline: callerDeadline, Header: header,
	}), node}
}
