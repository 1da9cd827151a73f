package bfrecord

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Home names one run of one node: a restarted node has another incarnation and remembers nothing.
type Home struct {
	Instance    string `json:"instance" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
}

// String is the form of logs.
func (h Home) String() string { return fmt.Sprintf("%s/%x", h.Instance, h.Incarnation) }

// ID names one request for good.
//
// An ID from an entry node names one sending to one home. A minted ID is the
// content of a MintedKey: Entry is then the home itself and the caller may send
// it again.
type ID struct {
	Entry Home `json:"entry" cbor:"1,keyasint"`
	// Counter grows with every ID of its entry and starts at the entry's clock, in microseconds since 1970.
	Counter uint64 `json:"counter" cbor:"2,keyasint"`
	Minted  bool   `json:"minted,omitempty" cbor:"3,keyasint,omitempty"`
}

// String is the form of logs and of callers' headers.
func (id ID) String() string {
	if id.Minted {
		return fmt.Sprintf("%s/m%x", id.Entry, id.Counter)
	}
	return fmt.Sprintf("%s/%x", id.Entry, id.Counter)
}

func (id ID) scope() scopeKey { return scopeKey{entry: id.Entry, minted: id.Minted} }

// Minter makes the IDs of one node.
type Minter struct {
	home    Home
	counter atomic.Uint64
}

// NewMinter makes the minter of the node that runs as home.
func NewMinter(home Home) *Minter { return &Minter{home: home} }

// Next makes an ID that no other call on this incarnation returns.
func (m *Minter) Next(now time.Time) ID {
	return ID{Entry: m.home, Counter: m.advance(now)}
}

// NextKey makes a key that only this incarnation may run.
func (m *Minter) NextKey(now time.Time) MintedKey {
	return MintedKey{id: ID{Entry: m.home, Counter: m.advance(now), Minted: true}}
}

// advance follows the clock where it can and never repeats: a clock set back must not reuse an ID.
func (m *Minter) advance(now time.Time) uint64 {
	for {
		last := m.counter.Load()
		next := max(last+1, uint64(max(now.UnixMicro(), 0)))
		if m.counter.CompareAndSwap(last, next) {
			return next
		}
	}
}
