package bfdeparture

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Names of the calls between nodes.
const (
	readMethod   = "departures/read"
	recordMethod = "departures/record"
)

const (
	// storeTimeout bounds a call of the store on behalf of another node.
	storeTimeout = 400 * time.Millisecond
	// storeRetry is the time after a failed call in which none is made on behalf of other nodes.
	storeRetry = time.Second
	// maxKept bounds the nodes whose departures a node keeps. It is far above maxKeepers, which is the mean.
	maxKept = 64
)

// readParams asks for the departures of a node.
type readParams struct {
	Key string `json:"key"`
	// Row asks for the row in the store too, which takes longer if the store does not answer.
	Row bool `json:"row,omitempty"`
}

// readReply is what a node knows of another one's departures.
type readReply struct {
	// Row is the row as the store has returned it for this call, nil if it didn't answer.
	Row *rowReply `json:"row,omitempty"`
	// Kept are the departures that the node itself was told of, encoded like a row.
	Kept []byte `json:"kept,omitempty"`
}

// rowReply is a row of the store.
type rowReply struct {
	Value    []byte           `json:"value,omitempty"`
	Revision bfstore.Revision `json:"revision"`
	Removed  bool             `json:"removed,omitempty"`
}

// recordParams tells a node of the departures of another one.
type recordParams struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Write asks for a write of the row, on condition that it has the revision.
	Write    bool             `json:"write,omitempty"`
	Revision bfstore.Revision `json:"revision,omitempty"`
}

// recordReply is the result of the write.
type recordReply struct {
	Outcome  outcome          `json:"outcome"`
	Revision bfstore.Revision `json:"revision,omitempty"`
}

// outcome is the encoded result of a write.
type outcome string

const (
	written     outcome = "written"
	conflicting outcome = "conflict"
	// notWritten is the outcome of a write that had no effect, unknownOutcome of one that may have had one.
	notWritten     outcome = "not written"
	unknownOutcome outcome = "unknown"
)

// Keeper keeps departures of other nodes' targets in memory, and reads and writes the rows of nodes that
// can't reach the store. It is safe for concurrent use.
type Keeper struct {
	table string
	rows  bfstore.TableStore
	timer *bftimer.Service

	mu   sync.Mutex
	kept map[string][]bflifecycle.Departure
	// order holds the keys of kept, the one told of last at the end.
	order []string
	// failedAt is when a call of the store last failed.
	failedAt time.Time
}

// NewKeeper returns a keeper that makes its calls to rows.
func NewKeeper(table string, rows bfstore.TableStore, timer *bftimer.Service) *Keeper {
	return &Keeper{table: table, rows: rows, timer: timer, kept: map[string][]bflifecycle.Departure{}}
}

// Methods returns the calls that the keeper serves to other nodes.
func (k *Keeper) Methods() bfpeer.Methods {
	return bfpeer.Methods{
		readMethod:   {Purpose: bfpeer.Membership, Handle: k.answerRead},
		recordMethod: {Purpose: bfpeer.Membership, Handle: k.answerRecord},
	}
}

func (k *Keeper) answerRead(ctx context.Context, params json.RawMessage) (any, error) {
	var p readParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	var reply readReply
	if departures := k.known(p.Key); len(departures) > 0 {
		kept, err := encode(departures, 0)
		if err != nil {
			return nil, err
		}
		reply.Kept = kept
	}
	if !p.Row {
		return reply, nil
	}
	_ = k.callStore(ctx, func(ctx context.Context) error {
		entry, err := k.rows.Get(ctx, k.table, p.Key)
		if err == nil {
			reply.Row = &rowReply{Value: entry.Value, Revision: entry.Revision, Removed: entry.Removed}
		}
		return err
	})
	return reply, nil
}

func (k *Keeper) answerRecord(ctx context.Context, params json.RawMessage) (any, error) {
	var p recordParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	departures, _, err := decode(p.Value)
	if err != nil {
		return nil, err
	}
	k.keep(p.Key, departures)
	if !p.Write {
		return recordReply{Outcome: notWritten}, nil
	}
	var revision bfstore.Revision
	err = k.callStore(ctx, func(ctx context.Context) (err error) {
		revision, err = k.rows.Write(ctx, k.table, bfstore.RowWrite{Key: p.Key, Value: p.Value, Revision: p.Revision})
		return err
	})
	return recordReply{Outcome: outcomeOf(err), Revision: revision}, nil
}

// outcomeOf returns the outcome of a write that ended with err.
func outcomeOf(err error) outcome {
	var conflict *bfstore.ConflictError
	var unavailable *bfstore.UnavailableError
	switch {
	case err == nil:
		return written
	case errors.As(err, &conflict):
		return conflicting
	case errors.As(err, &unavailable):
		return notWritten
	}
	return unknownOutcome
}

// callStore makes a call of the store, unless one has failed shortly before.
func (k *Keeper) callStore(ctx context.Context, call func(ctx context.Context) error) error {
	k.mu.Lock()
	waiting := !k.failedAt.IsZero() && k.timer.Now().Sub(k.failedAt) < storeRetry
	k.mu.Unlock()
	if waiting {
		return &bfstore.UnavailableError{Reason: "a call has failed shortly before"}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := call(ctx)
	var conflict *bfstore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		k.mu.Lock()
		k.failedAt = k.timer.Now()
		k.mu.Unlock()
	}
	return err
}

// keep adds departures of a node's target. The node that was told of longest ago is dropped beyond maxKept.
func (k *Keeper) keep(key string, departures []bflifecycle.Departure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at := slices.Index(k.order, key); at >= 0 {
		k.order = slices.Delete(k.order, at, at+1)
	}
	k.order = append(k.order, key)
	k.kept[key] = merge(k.kept[key], departures)
	if len(k.order) > maxKept {
		delete(k.kept, k.order[0])
		k.order = k.order[1:]
	}
}

// known returns the departures of a node's target.
func (k *Keeper) known(key string) []bflifecycle.Departure {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kept[key]
}
