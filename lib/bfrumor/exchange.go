package bfrumor

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bftimer"
)

// Method is the name of the call between nodes.
const Method = "quarantine"

const (
	// callTimeout bounds one call; a peer that misses it is repaired by comparison later.
	callTimeout = time.Second
	// batchPause is the pause after sending records, in which further records are batched,
	// since many targets may crash within milliseconds. It grows by peerPause per peer, so that
	// calls to hundreds of peers do not pile up.
	batchPause = 20 * time.Millisecond
	peerPause  = time.Millisecond
	// convergeDelay is how long digests may differ because of messages in transit.
	convergeDelay = 100 * time.Millisecond
	// minCompareInterval is the minimum time between two comparisons that a node starts.
	minCompareInterval = time.Second
	// maxQueued bounds the encoded sets of records that wait for a peer.
	maxQueued = 4
	// sweepInterval is the time between removals of expired records. Nodes whose removals are
	// further apart than two comparisons compare their records in between.
	sweepInterval = time.Second
)

// Caller makes calls to peers; it is the subset of bfpeer.Calls that an Exchange needs.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds the dependencies of an Exchange.
type Config struct {
	// Self is the node's address for calls.
	Self  string
	Book  *bfquarantine.Book
	Calls Caller
	// Recipients returns the peers that records are sent to at once; own is set for this node's
	// own records, and unset for those received from another node.
	Recipients func(own bool) []string
	Timer      *bftimer.Service
	// Spawn starts a goroutine in the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Exchange keeps the records of a node's book equal to those of other nodes.
type Exchange struct {
	config    Config
	comparing atomic.Bool

	mu sync.Mutex
	// sending holds the peers to which a call with records is in progress.
	sending map[string]*queue
}

// queue holds what waits for the end of a call to a peer.
type queue struct {
	// waiting are sets of encoded records, which the queues of several peers share.
	waiting [][]byte
	// overflowed is set if a set was dropped.
	overflowed bool
}

// New returns the exchange of a node.
func New(config Config) *Exchange { return &Exchange{config: config, sending: map[string]*queue{}} }

// message is the request of a call.
type message struct {
	Peer string `json:"peer"`
	// Records are bfquarantine.Records in CBOR.
	Records []byte `json:"records,omitempty"`
	// Compare requests the records of the receiver whose contents follow After.
	Compare bool   `json:"compare,omitempty"`
	After   []byte `json:"after,omitempty"`
}

// reply is the response to a message; Records is set if Compare was.
type reply struct {
	Records []byte `json:"records,omitempty"`
	// Next is the last content in Records if there are further records.
	Next []byte `json:"next,omitempty"`
}

// Methods returns the calls that the exchange serves.
func (e *Exchange) Methods() bfpeer.Methods {
	return bfpeer.Methods{Method: {Purpose: bfpeer.Repair, Handle: e.handle}}
}

// Digest identifies this node's records; it is piggybacked on messages to other nodes.
func (e *Exchange) Digest() uint64 { return e.config.Book.View().Digest() }

// Run sends and forwards new records until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	sweep := e.config.Timer.Every(func() time.Duration { return sweepInterval }, e.config.Book.Sweep)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.config.Book.Changed():
		}
		now := e.config.Timer.Now()
		sent := e.send(e.config.Recipients(true), e.config.Book.TakeUpdates(now))
		sent += e.send(e.config.Recipients(false), e.config.Book.TakeReceived(now))
		if e.config.Timer.Wait(ctx, batchPause+time.Duration(sent)*peerPause) != nil {
			return nil
		}
	}
}

// send sends records to peers and returns the number of peers. Failed calls are not retried: the
// peer's digest will differ, and a comparison repairs it.
func (e *Exchange) send(peers []string, records []bfquarantine.Record) int {
	if len(records) == 0 {
		return 0
	}
	data, err := bfcodec.Marshal(records)
	if err != nil {
		return 0
	}
	for _, peer := range peers {
		if !e.enqueue(peer, data) {
			continue
		}
		e.config.Spawn("send crash records", func(ctx context.Context) error {
			for data, ok := data, true; ok; data, ok = e.dequeue(peer) {
				var ignored reply
				_ = e.call(ctx, peer, message{Peer: e.config.Self, Records: data}, &ignored)
			}
			return nil
		})
	}
	return len(peers)
}

// enqueue reports whether no call to a peer was in progress, and begins one. Otherwise it queues
// the records, or drops them if the queue is full.
func (e *Exchange) enqueue(peer string, data []byte) (idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, busy := e.sending[peer]
	switch {
	case !busy:
		e.sending[peer] = &queue{}
	case len(q.waiting) < maxQueued:
		q.waiting = append(q.waiting, data)
	default:
		q.overflowed = true
	}
	return !busy
}

// dequeue returns the next records for a peer, or ends its calls if there are none. After a queue
// overflowed they are the worst records, which must not wait for a comparison.
func (e *Exchange) dequeue(peer string) (data []byte, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.sending[peer]
	if len(q.waiting) > 0 {
		data, q.waiting = q.waiting[0], q.waiting[1:]
		return data, true
	}
	if q.overflowed {
		q.overflowed = false
		if data, err := bfcodec.Marshal(e.config.Book.Worst(e.config.Timer.Now())); err == nil {
			return data, true
		}
	}
	delete(e.sending, peer)
	return nil, false
}

func (e *Exchange) call(ctx context.Context, peer string, m message, result *reply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.config.Calls.Call(ctx, peer, Method, m, result)
}

// handle merges the records of another node's message.
func (e *Exchange) handle(_ context.Context, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	if err := e.merge(m.Records); err != nil {
		return nil, err
	}
	if !m.Compare {
		return reply{}, nil
	}
	page, next, err := e.page(m.After)
	return reply{Records: page, Next: next}, err
}

// page encodes the records that follow a content. If there are more, next is the last content of
// the page, else empty.
func (e *Exchange) page(after []byte) (data, next []byte, err error) {
	records, more := e.config.Book.Page(after, e.config.Timer.Now())
	if more {
		next = records[len(records)-1].Content
	}
	data, err = bfcodec.Marshal(records)
	return data, next, err
}

// merge decodes and merges records from another node.
func (e *Exchange) merge(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var records []bfquarantine.Record
	if err := bfcodec.Unmarshal(data, "crash records", &records); err != nil {
		return err
	}
	e.Merge(records)
	return nil
}

// Merge adds records to the book, which schedules those that are new to this node for forwarding.
func (e *Exchange) Merge(records []bfquarantine.Record) {
	e.config.Book.Merge(records, e.config.Timer.Now())
}

// ObserveDigest receives the digest of a peer, and starts a comparison with the peer if it
// still differs after convergeDelay.
//
// A node that restarted or was partitioned lacks records that it cannot know of otherwise.
func (e *Exchange) ObserveDigest(peer string, digest uint64) {
	if digest == e.Digest() || !e.comparing.CompareAndSwap(false, true) {
		return
	}
	e.config.Spawn("compare crash records", func(ctx context.Context) error {
		defer e.comparing.Store(false)
		if e.config.Timer.Wait(ctx, convergeDelay) != nil || digest == e.Digest() {
			return nil
		}
		e.compare(ctx, peer)
		// An error means that the node stops.
		_ = e.config.Timer.Wait(ctx, minCompareInterval)
		return nil
	})
}

// compare exchanges all records with a peer, a page of each side at a time. After an error the
// next differing digest starts another comparison.
func (e *Exchange) compare(ctx context.Context, peer string) {
	request := message{Peer: e.config.Self, Compare: true}
	var sent []byte
	for sending := true; sending || request.Compare; {
		request.Records = nil
		if sending {
			var err error
			if request.Records, sent, err = e.page(sent); err != nil {
				return
			}
			sending = len(sent) > 0
		}
		var response reply
		if e.call(ctx, peer, request, &response) != nil || e.merge(response.Records) != nil {
			return
		}
		if len(response.Next) > 0 && bytes.Compare(response.Next, request.After) <= 0 {
			// Not valid: the comparison would not end.
			return
		}
		request.After, request.Compare = response.Next, len(response.Next) > 0
	}
}
