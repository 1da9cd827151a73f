package bfnews

import (
	"context"
	"encoding/json"
	"slices"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bftraffic"
)

// tellMethod is the name of the call by which readers tell their domain.
const tellMethod = "tell"

// tale is what a reader tells: what it holds and, after a change, how that came
// of what it held before.
type tale struct {
	Version  bftraffic.Version `json:"version"`
	Revision uint64            `json:"revision"`
	Peer     string            `json:"peer"`
	// Delta is a bftraffic.Delta in CBOR, empty where nothing changed.
	Delta []byte `json:"delta,omitempty"`
	// Hint says that the teller is no reader and learned of the version from others.
	Hint bool `json:"hint,omitempty"`
}

// Reads reports whether this node is to read the store itself.
//
// A node that starts has just read it when it learns who the readers are. They get
// the time in which one is missed, so that it does not open calls for changes that
// it needs no answer to.
func (e *Exchange) Reads() bool {
	if e.fleet.Size() == 0 && e.timer.Now().Sub(e.began) < firstMeeting {
		return false
	}
	chosen := readers(e.place.Domain, e.fleet.Members())
	if len(chosen) == 0 || slices.Contains(chosen, e.place.Inbound) {
		return true
	}
	e.told.CompareAndSwap(0, e.age())
	return !e.HearsReader()
}

// age is how long the exchange has been there, in nanoseconds of the steady clock.
func (e *Exchange) age() int64 { return max(int64(e.timer.Now().Sub(e.began)), 1) }

// ReadsVersions reports whether this node is to read the store's versions itself. At
// the first start of a fleet that is decided once the members are known.
func (e *Exchange) ReadsVersions() bool {
	return e.Reads() && (e.fleet.Size() > 0 || e.timer.Now().Sub(e.began) > firstMeeting+storeLead)
}

// HearsReader reports whether a reader that the store answers told something lately.
func (e *Exchange) HearsReader() bool {
	told := e.told.Load()
	return told > 0 && e.age()-told < int64(readerSilence)
}

// chosen reports whether this node is one of its domain's chosen readers.
func (e *Exchange) chosen() bool {
	return slices.Contains(readers(e.place.Domain, e.fleet.Members()), e.place.Inbound)
}

// Stands reports whether others of the domain read the store for this node.
func (e *Exchange) Stands() bool {
	readers := readers(e.place.Domain, e.fleet.Members())
	return len(readers) > 0 && !slices.Contains(readers, e.place.Inbound)
}

// Changed has a reader tell its domain at once.
func (e *Exchange) Changed() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// tellDomain tells the members of the domain, as long as the store answers this
// node itself: two that it turns away would else take each other's word for the
// store's, and keep the others from reading it.
func (e *Exchange) tellDomain(ctx context.Context) error {
	var last *bftraffic.Snapshot
	for ctx.Err() == nil {
		waited, cancel := context.WithTimeout(ctx, tellInterval)
		select {
		case <-e.changed:
		case <-waited.Done():
		}
		cancel()
		if !e.chosen() || !e.state.StoreAnswers() {
			continue
		}
		now := e.state.Snapshot()
		e.tell(e.tale(last, now))
		last = now
	}
	return nil
}

// tale makes what is told, with the delta from what was told last.
func (e *Exchange) tale(last, now *bftraffic.Snapshot) tale {
	t := tale{Version: e.state.Version(), Revision: e.state.Revision(), Peer: e.self}
	if last == nil || now == nil || now.Version() == last.Version() {
		return t
	}
	t.Version = now.Version()
	delta, err := bfcodec.Marshal(bftraffic.DeltaOf(last, now))
	if err == nil {
		// Without a delta the others ask.
		t.Delta = delta
	}
	return t
}

func (e *Exchange) tell(t tale) {
	for _, m := range e.fleet.Members() {
		if m.Domain == e.place.Domain && m.Peer != e.self {
			e.tellOne(t, m.Peer)
		}
	}
}

func (e *Exchange) tellOne(t tale, peer string) {
	e.spawn("tell", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var nothing struct{}
		// A member that does not hear it hears the next one, or reads itself.
		_ = e.calls.Call(ctx, peer, tellMethod, t, &nothing)
		return nil
	})
}

// hint tells the domain's readers of a version that came from elsewhere.
//
// A store that forgot the readers' calls leaves a whole domain with an old version:
// they take themselves for current, and the others hear them. Whoever first learns
// better asks on behalf of all; each on its own asks once in two seconds.
func (e *Exchange) hint() {
	chosen := readers(e.place.Domain, e.fleet.Members())
	if slices.Contains(chosen, e.place.Inbound) {
		return
	}
	t := tale{Version: e.state.Version(), Revision: e.state.Revision(), Peer: e.self, Hint: true}
	for _, inbound := range chosen {
		if reader, found := e.fleet.Member(inbound); found {
			e.tellOne(t, reader.Peer)
		}
	}
}

// hear takes what a reader tells.
func (e *Exchange) hear(_ context.Context, params json.RawMessage) (any, error) {
	var t tale
	if err := json.Unmarshal(params, &t); err != nil {
		return nil, err
	}
	if !t.Hint {
		e.told.Store(e.age())
	}
	e.takeDelta(t.Delta)
	if e.behind(t.Version, t.Revision) && e.asking.CompareAndSwap(false, true) {
		e.spawn("ask a reader", func(ctx context.Context) error {
			defer e.asking.Store(false)
			e.put(ctx, t.Peer, true)
			return nil
		})
	}
	return struct{}{}, nil
}

// takeDelta takes an encoded delta, if there is one. One that does not fit is made
// good by asking.
func (e *Exchange) takeDelta(encoded []byte) {
	var delta bftraffic.Delta
	if len(encoded) > 0 && bfcodec.Unmarshal(encoded, "delta", &delta) == nil {
		e.state.TakeDelta(delta)
	}
}
