package bfrumor

import (
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
	// callTimeout bounds one call; who does not hear it compares later.
	callTimeout = time.Second
	// gatherPause is the pause after telling others, in which what comes next gathers: many
	// targets may end within milliseconds. It grows by peerPause for each peer that was
	// told, so that the calls of a node that tells hundreds do not pile up.
	gatherPause = 20 * time.Millisecond
	peerPause   = time.Millisecond
	// settlePause is how long a differing digest is given to agree by what is on its way.
	settlePause = 100 * time.Millisecond
	// comparePause is the least time between two comparisons that a node begins.
	comparePause = time.Second
	// sweepInterval is how often what matters no more is forgotten.
	sweepInterval = time.Minute
)

// Caller makes calls to peers; it is the part of bfpeer.Calls that an Exchange needs.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Parts is what an Exchange works with.
type Parts struct {
	// Self is where the node takes calls.
	Self  string
	Book  *bfquarantine.Book
	Calls Caller
	// Audience gives the peers that are told at once of what this node learned itself, or
	// heard from another.
	Audience func(own bool) []string
	Timer    *bftimer.Service
	// Spawn starts a goroutine of the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Exchange keeps a node's book the same as those of others.
type Exchange struct {
	parts     Parts
	comparing atomic.Bool
	// wake has the telling look for what was heard.
	wake chan struct{}

	mu sync.Mutex
	// heard are the records that others told and that were new here.
	heard []bfquarantine.Record
}

// New makes the exchange of a node.
func New(parts Parts) *Exchange { return &Exchange{parts: parts, wake: make(chan struct{}, 1)} }

// message is a call: what its sender tells.
type message struct {
	Peer string `json:"peer"`
	// Records are bfquarantine.Records in CBOR.
	Records []byte `json:"records,omitempty"`
	// Compare says that Records are all that the sender knows, and asks for all that is
	// known here.
	Compare bool `json:"compare,omitempty"`
}

// reply is what the called node tells of its own.
type reply struct {
	Records []byte `json:"records,omitempty"`
}

// Methods are the calls that the exchange answers.
func (e *Exchange) Methods() bfpeer.Methods {
	return bfpeer.Methods{Method: {Purpose: bfpeer.Repair, Handle: e.answer}}
}

// Digest identifies what this node knows; it goes with messages to other nodes.
func (e *Exchange) Digest() uint64 { return e.parts.Book.View().Digest() }

// Run tells others until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	sweep := e.parts.Timer.Every(func() time.Duration { return sweepInterval }, e.parts.Book.Sweep)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.parts.Book.Changed():
		case <-e.wake:
		}
		told := e.tell(e.parts.Audience(true), e.parts.Book.TakeNews(e.parts.Timer.Now()))
		told += e.tell(e.parts.Audience(false), e.takeHeard())
		if e.parts.Timer.Wait(ctx, gatherPause+time.Duration(told)*peerPause) != nil {
			return nil
		}
	}
}

func (e *Exchange) takeHeard() []bfquarantine.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	heard := e.heard
	e.heard = nil
	return heard
}

// tell tells peers, and returns how many; one that does not hear it finds another digest later.
func (e *Exchange) tell(peers []string, records []bfquarantine.Record) (told int) {
	if len(records) == 0 {
		return 0
	}
	data, err := bfcodec.Marshal(records)
	if err != nil {
		return 0
	}
	for _, peer := range peers {
		e.parts.Spawn("tell of crashes", func(ctx context.Context) error {
			var nothing reply
			_ = e.call(ctx, peer, message{Peer: e.parts.Self, Records: data}, &nothing)
			return nil
		})
	}
	return len(peers)
}

func (e *Exchange) call(ctx context.Context, peer string, m message, told *reply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.parts.Calls.Call(ctx, peer, Method, m, told)
}

// answer takes what another node tells.
func (e *Exchange) answer(_ context.Context, params json.RawMessage) (any, error) {
	var told message
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}
	if err := e.take(told.Records); err != nil {
		return nil, err
	}
	if !told.Compare {
		return reply{}, nil
	}
	data, err := bfcodec.Marshal(e.parts.Book.Records(e.parts.Timer.Now()))
	return reply{Records: data}, err
}

// take merges what another node told, and passes on what is new here.
func (e *Exchange) take(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var records []bfquarantine.Record
	if err := bfcodec.Unmarshal(data, "records of crashes", &records); err != nil {
		return err
	}
	e.Take(records)
	return nil
}

// Take merges records, and has others hear of what is new here.
func (e *Exchange) Take(records []bfquarantine.Record) {
	learned := e.parts.Book.Merge(records, e.parts.Timer.Now())
	if len(learned) == 0 {
		return
	}
	e.mu.Lock()
	e.heard = append(e.heard, learned...)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Saw takes the digest that a peer told, and has both compare what they know where it differs.
//
// A node that was started anew, or was cut off while others learned something, knows
// nothing of it and can't ask for it.
func (e *Exchange) Saw(peer string, digest uint64) {
	if digest == e.Digest() || !e.comparing.CompareAndSwap(false, true) {
		return
	}
	e.parts.Spawn("compare crashes", func(ctx context.Context) error {
		defer e.comparing.Store(false)
		if e.parts.Timer.Wait(ctx, settlePause) != nil || digest == e.Digest() {
			return nil
		}
		e.compare(ctx, peer)
		// It ends with the node.
		_ = e.parts.Timer.Wait(ctx, comparePause)
		return nil
	})
}

func (e *Exchange) compare(ctx context.Context, peer string) {
	data, err := bfcodec.Marshal(e.parts.Book.Records(e.parts.Timer.Now()))
	if err != nil {
		return
	}
	var told reply
	if e.call(ctx, peer, message{Peer: e.parts.Self, Records: data, Compare: true}, &told) == nil {
		// What can't be read is asked for again at the next digest.
		_ = e.take(told.Records)
	}
}
