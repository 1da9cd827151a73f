package bfrecord

import "time"

// Outcome is the sealed set of what a caller is told: Done, NotRun, InProgress and Unknown.
type Outcome interface{ outcome() }

// Done says that the request ran, once.
type Done struct{ answer Answer }

// Answer is what the run came to; it is never a LostAnswer.
func (d Done) Answer() Answer { return d.answer }

// NotRun says that this sending of the request was not run and never will be.
//
// It is an interface that only this package implements, so that no zero value
// exists: each NotRun was made from a Proof.
type NotRun interface {
	Outcome
	// Proof is what shows that the sending was not run.
	Proof() Proof
	// Reason is why it was not run.
	Reason() Reason
	// RetryAfter is how long to wait before a new sending; 0 says nothing.
	RetryAfter() time.Duration
	// EarlierMayHaveRun reports that the caller's key may have run in another sending.
	EarlierMayHaveRun() bool
}

// InProgress says that an earlier sending of the caller's key has not ended.
type InProgress struct{ id ID }

// ID is the earlier sending's request ID.
func (p InProgress) ID() ID { return p.id }

// Unknown says that the request may have run and that the system will not run it again.
type Unknown struct{ id ID }

// ID is the request ID to ask by.
func (u Unknown) ID() ID { return u.id }

type notRun struct {
	proof      Proof
	reason     Reason
	retryAfter time.Duration
	earlier    bool
}

// Proof is what shows that the sending was not run.
func (n notRun) Proof() Proof { return n.proof }

// Reason is why it was not run.
func (n notRun) Reason() Reason { return n.reason }

// RetryAfter is how long to wait before a new sending.
func (n notRun) RetryAfter() time.Duration { return n.retryAfter }

// EarlierMayHaveRun reports that the caller's key may have run in another sending.
func (n notRun) EarlierMayHaveRun() bool { return n.earlier }

func (Done) outcome()       {}
func (notRun) outcome()     {}
func (InProgress) outcome() {}
func (Unknown) outcome()    {}

// Proof is the sealed set of what shows that a request was not run: NeverSent,
// RefusedBeforeRun and BarredProof.
//
// Its fields are set by this package alone; a zero Proof proves nothing.
type Proof interface {
	// ID is the request that was not run.
	ID() ID
	proof()
}

// NeverSent shows that no byte of the request left the entry node.
type NeverSent struct{ id ID }

// RefusedBeforeRun shows that the home refused the only arrival there can be, or barred all of them.
type RefusedBeforeRun struct {
	id   ID
	home Home
}

// BarredProof shows that the home never handed the request to its target and has barred it for good.
type BarredProof struct {
	id   ID
	home Home
}

// ID is the request that was never sent.
func (p NeverSent) ID() ID { return p.id }

// ID is the request that was refused.
func (p RefusedBeforeRun) ID() ID { return p.id }

// Home is who refused.
func (p RefusedBeforeRun) Home() Home { return p.home }

// ID is the request that is barred.
func (p BarredProof) ID() ID { return p.id }

// Home is who barred it.
func (p BarredProof) Home() Home { return p.home }

func (NeverSent) proof()        {}
func (RefusedBeforeRun) proof() {}
func (BarredProof) proof()      {}
