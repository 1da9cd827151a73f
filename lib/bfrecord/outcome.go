package bfrecord

import "time"

// Outcome is the result reported to the caller. It is a sealed interface: Done,
// NotRun, InProgress or Unknown.
type Outcome interface{ outcome() }

// Done means that the request ran exactly once.
type Done struct{ answer Answer }

// Answer returns the result, which is never a LostAnswer.
func (d Done) Answer() Answer { return d.answer }

// NotRun means that this send of the request was not run and never will be.
//
// It is an interface implemented only in this package, so that there is no zero
// value and each NotRun has a Proof.
type NotRun interface {
	Outcome
	// Proof returns the evidence that the send was not run.
	Proof() Proof
	// Reason returns why it was not run.
	Reason() Reason
	// RetryAfter returns the suggested delay before a retry; 0 means none is suggested.
	RetryAfter() time.Duration
	// EarlierMayHaveRun reports whether the key's request may have run in another send.
	EarlierMayHaveRun() bool
}

// InProgress means that another request with the caller's key is still running.
type InProgress struct{ id ID }

// ID returns the running request's ID.
func (p InProgress) ID() ID { return p.id }

// Unknown means that the request may have run; the system will not run it again.
type Unknown struct{ id ID }

// ID returns the request ID, by which its state can be queried.
func (u Unknown) ID() ID { return u.id }

type notRun struct {
	proof             Proof
	reason            Reason
	retryAfter        time.Duration
	earlierMayHaveRun bool
}

// Proof returns the evidence that the send was not run.
func (n notRun) Proof() Proof { return n.proof }

// Reason returns why it was not run.
func (n notRun) Reason() Reason { return n.reason }

// RetryAfter returns the suggested delay before a retry.
func (n notRun) RetryAfter() time.Duration { return n.retryAfter }

// EarlierMayHaveRun reports whether the key's request may have run in another send.
func (n notRun) EarlierMayHaveRun() bool { return n.earlierMayHaveRun }

func (Done) outcome()       {}
func (notRun) outcome()     {}
func (InProgress) outcome() {}
func (Unknown) outcome()    {}

// Proof is evidence that a request was not run. It is a sealed interface:
// NeverSent, RefusedBeforeRun or BarredProof.
//
// Only this package sets the fields; a zero value proves nothing.
type Proof interface {
	// ID returns the request that was not run.
	ID() ID
	proof()
}

// NeverSent proves that no byte of the request left the entry node.
type NeverSent struct{ id ID }

// RefusedBeforeRun proves that the home refused the only possible arrival, or barred all arrivals.
type RefusedBeforeRun struct {
	id   ID
	home NodeIncarnation
}

// BarredProof proves that the home never forwarded the request to its target and has permanently barred it.
type BarredProof struct {
	id   ID
	home NodeIncarnation
}

// ID returns the request that was never sent.
func (p NeverSent) ID() ID { return p.id }

// ID returns the refused request.
func (p RefusedBeforeRun) ID() ID { return p.id }

// Home returns the incarnation that refused it.
func (p RefusedBeforeRun) Home() NodeIncarnation { return p.home }

// ID returns the barred request.
func (p BarredProof) ID() ID { return p.id }

// Home returns the incarnation that barred it.
func (p BarredProof) Home() NodeIncarnation { return p.home }

func (NeverSent) proof()        {}
func (RefusedBeforeRun) proof() {}
func (BarredProof) proof()      {}
