package bfconfig

import (
	"time"
)

// Op is the sealed set of operations on one object: Put and Remove.
type Op interface {
	// Target is the object the operation is on.
	Target() Ref
}

// Put creates the object or replaces it whole.
type Put struct{ Object Object }

// Remove deletes an object that exists.
type Remove struct{ Ref Ref }

// Target is the object put.
func (p Put) Target() Ref { return p.Object.Ref() }

// Target is the object removed.
func (r Remove) Target() Ref { return r.Ref }

// Change is what one operator confirms as a whole.
type Change struct {
	id     string
	author string
	at     time.Time
	ops    []Op
}

// NewChange makes a change; id is minted by the operator's client and names the change for good.
func NewChange(id, author string, at time.Time, ops []Op) Change {
	return Change{id: id, author: author, at: at.UTC().Truncate(time.Millisecond), ops: ops}
}

// ID is the change's own name, unique for good.
func (c Change) ID() string { return c.id }

// Author is the operator who confirmed the change.
func (c Change) Author() string { return c.author }

// At is when the change was confirmed, by the clock of the node that took it.
func (c Change) At() time.Time { return c.at }

// Ops are the operations in the order given.
func (c Change) Ops() []Op { return c.ops }

// Delta is one version as a step from the one before it.
type Delta struct {
	version Version
	digest  Digest
	change  Change
}

// Version is the version the delta leads to; it applies to exactly the one before.
func (d Delta) Version() Version { return d.version }

// Digest is the digest of the whole state after the delta.
func (d Delta) Digest() Digest { return d.digest }

// Change is the confirmed change.
func (d Delta) Change() Change { return d.change }
