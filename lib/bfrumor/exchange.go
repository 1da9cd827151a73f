package bfrumor

import (
	"context"
	"encoding/json"
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
	// sweepInterval is the time between removals of expired records.
	sweepInterval = time.Minute
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
}

// New returns the exchange of a node.
func New(config Config) *Exchange { return &Exchange{config: config} }

// message is the request of a call.
type message struct {
	Peer string `json:"peer"`
	// Records are bfquarantine.Records in CBOR.
	Records []byte `json:"records,omitempty"`
	// Compare states that Records are all records of the sender, and requests all records of
	// the receiver.
	Compare bool `json:"compare,omitempty"`
}

// reply is the response to a message; Records is set if Compare was.
type reply struct {
	Records []byte `json:"records,omitempty"`
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

// send sends records to peers and returns the number of peers. Failed calls are not retried:
// the peer's digest will differ, and a comparison repairs it.
func (e *Exchange) send(peers []string, records []bfquarantine.Record) (sent int) {
	if len(records) == 0 {
		return 0
	}
	data, err := bfcodec.Marshal(records)
	if err != nil {
		return 0
	}
	for _, peer := range peers {
		e.config.Spawn("send crash records", func(ctx context.Context) error {
			var ignored reply
			_ = e.call(ctx, peer, message{Peer: e.config.Self, Records: data}, &ignored)
			return nil
		})
	}
	return len(peers)
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
	data, err := bfcodec.Marshal(e.config.Book.Records(e.config.Timer.Now()))
	return reply{Records: data}, err
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

func (e *Exchange) compare(ctx context.Context, peer string) {
	data, err := bfcodec.Marshal(e.config.Book.Records(e.config.Timer.Now()))
	if err != nil {
		return
	}
	var response reply
	if e.call(ctx, peer, message{Peer: e.config.Self, Records: data, Compare: true}, &response) == nil {
		// Unreadable records are requested again after the next differing digest.
		_ = e.merge(response.Records)
	}
}
