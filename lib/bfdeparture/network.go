package bfdeparture

import (
	"context"
	"errors"
	"time"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bfstore"
)

// callTimeout bounds a call to another node; it exceeds storeTimeout.
const callTimeout = 600 * time.Millisecond

// Caller makes calls to other nodes; it is the part of bfpeer.Calls that a Network needs.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Network holds what a Journal needs of the other nodes.
type Network struct {
	Calls Caller
	// Keepers returns the peer addresses of the nodes that keep this node's departures, and MembersKnown
	// whether the members are known from which they are chosen.
	Keepers      func() []string
	MembersKnown func() bool
	// Spawn starts a goroutine in the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// advice is what other nodes know of this node's departures.
type advice struct {
	// asked is the number of nodes that were asked, whether or not they answered.
	asked int
	// row is the row as the store has returned it to one of them, nil if it did to none.
	row  *bfstore.Entry
	kept []bflifecycle.Departure
}

// read asks the keepers what they know, and to read the row if withRow is set.
func (n *Network) read(ctx context.Context, key string, withRow bool) advice {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	group := bfgroup.New(ctx)
	defer group.Cancel()
	keepers := n.Keepers()
	replies := make(chan readReply, len(keepers))
	for _, keeper := range keepers {
		group.Go("ask for departures", func(ctx context.Context) error {
			var reply readReply
			if n.Calls.Call(ctx, keeper, readMethod, readParams{Key: key, Row: withRow}, &reply) != nil {
				reply = readReply{}
			}
			replies <- reply
			return nil
		})
	}
	result := advice{asked: len(keepers)}
	for range keepers {
		reply := <-replies
		if len(reply.Kept) > 0 {
			// A reply that can't be decoded tells nothing.
			kept, _, _ := decode(reply.Kept)
			result.kept = merge(result.kept, kept)
		}
		if reply.Row != nil {
			result.row = &bfstore.Entry{Key: key, Value: reply.Row.Value, Revision: reply.Row.Revision, Removed: reply.Row.Removed}
			break
		}
	}
	return result
}

// write has the keepers write the row, one after the other, until one has. Its errors are those of
// bfstore.TableStore.
func (n *Network) write(ctx context.Context, write bfstore.RowWrite) (bfstore.Revision, error) {
	params := recordParams{Key: write.Key, Value: write.Value, Write: true, Revision: write.Revision}
	var errs []error
	for _, keeper := range n.Keepers() {
		var reply recordReply
		switch err := n.call(ctx, keeper, params, &reply); {
		case err != nil:
			errs = append(errs, &bfstore.UnknownError{Reason: err.Error()})
		case reply.Outcome == written:
			return reply.Revision, nil
		case reply.Outcome == conflicting:
			return 0, &bfstore.ConflictError{Row: bfstore.Row{Key: write.Key}}
		case reply.Outcome == unknownOutcome:
			errs = append(errs, &bfstore.UnknownError{Reason: "no answer of the store to another node"})
		}
	}
	return 0, errors.Join(append(errs, &bfstore.UnavailableError{Reason: "no other node can write"})...)
}

// tell tells the keepers of departures, in the background.
func (n *Network) tell(key string, value []byte) {
	for _, keeper := range n.Keepers() {
		n.Spawn("tell of departures", func(ctx context.Context) error {
			var reply recordReply
			// A keeper that is not told has less to tell a later process.
			_ = n.call(ctx, keeper, recordParams{Key: key, Value: value}, &reply)
			return nil
		})
	}
}

func (n *Network) call(ctx context.Context, keeper string, params recordParams, reply *recordReply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return n.Calls.Call(ctx, keeper, recordMethod, params, reply)
}
