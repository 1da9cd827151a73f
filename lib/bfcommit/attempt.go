package bfcommit

import (
	"errors"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
)

// Limits bound one attempt.
type Limits struct {
	// Total is how long the operator waits for an outcome.
	Total time.Duration
	// Tries is how often another change may come first.
	Tries int
	// FirstWait and MaxWait bound the doubling pauses while a lost answer can't be resolved.
	FirstWait, MaxWait time.Duration
	// Page is how many versions are read at once.
	Page int
}

// DefaultLimits are those of a node.
func DefaultLimits() Limits {
	return Limits{
		Total: 10 * time.Second, Tries: 32,
		FirstWait: 20 * time.Millisecond, MaxWait: time.Second, Page: 100,
	}
}

type phase string

const (
	phaseNew        phase = "new"
	phaseReading    phase = "reading"
	phaseCatchingUp phase = "catching up"
	phaseNaming     phase = "naming the other change"
	phaseCommitting phase = "committing"
	phaseWaiting    phase = "waiting"
	phaseDone       phase = "done"
)

// proposal is one transaction, and what would be told if it is found applied.
type proposal struct {
	tx      bfstore.Transaction
	head    uint64 // the head row's revision that tx is conditioned on
	version bfstore.Write
	outcome Outcome
}

// Attempt is one confirm or withdrawal of one change.
//
// A write whose answer is lost may still take effect long after a read that
// does not show it, so "no change row" alone never means "not accepted". Each
// transaction is conditioned on the revision of head and on the absence of the
// change row, and revisions are never used twice. So a write in doubt is dead
// once a read shows another head and no change row; while head still has that
// revision, the attempt runs the very same transaction again: whichever of the
// two lands first makes the other impossible, and both mean the same version.
type Attempt struct {
	id       string
	withdraw bool
	limits   Limits
	deadline time.Time
	phase    phase
	wait     time.Duration
	tries    int

	// state is the newest version this attempt has caught up with, target the head it has read.
	state  *bfconfig.State
	target Head
	staged Staged
	rows   commitRows

	proposal *proposal
	// doubt is set while proposal may have been, or may yet be, applied unseen.
	doubt    bool
	conflict *ConflictError
}

// NewConfirm makes the attempt to commit the change staged as id; held is the newest version the node has.
func NewConfirm(id string, held *bfconfig.State, limits Limits) *Attempt {
	return &Attempt{id: id, state: held, limits: limits, phase: phaseNew}
}

// NewWithdrawal makes the attempt to bar the change id for good, confirmed or not, staged or not.
func NewWithdrawal(id string, limits Limits) *Attempt {
	return &Attempt{id: id, withdraw: true, limits: limits, phase: phaseNew}
}

// Next takes what happened and returns what to do.
func (a *Attempt) Next(now time.Time, event Event) Action {
	switch event := event.(type) {
	case Begin:
		if a.phase == phaseNew {
			a.deadline = now.Add(a.limits.Total)
			a.wait = a.limits.FirstWait
			return a.readRows()
		}
	case Canceled:
		return a.giveUp(event.Reason, 0)
	case Waited:
		if a.phase == phaseWaiting {
			return a.readRows()
		}
	case RowsRead, ReadFailed:
		return a.onRead(now, event)
	case CommitApplied, CommitConflicted, CommitUnavailable, CommitUnknown:
		if a.phase == phaseCommitting {
			return a.onCommit(now, event)
		}
	}
	return a.giveUp(&StepError{Event: event, Phase: string(a.phase)}, 0)
}

func (a *Attempt) onRead(now time.Time, event Event) Action {
	read, ok := event.(RowsRead)
	switch a.phase {
	case phaseReading:
		if ok {
			return a.onRows(now, read.Rows)
		}
	case phaseCatchingUp:
		if ok {
			return a.onDeltas(now, read.Rows)
		}
	case phaseNaming:
		return a.onNaming(read.Rows)
	default:
		return a.giveUp(&StepError{Event: event, Phase: string(a.phase)}, 0)
	}
	failed, _ := event.(ReadFailed)
	if a.doubt {
		return a.pause(now, failed.Reason)
	}
	return a.giveUp(failed.Reason, failed.RetryAfter)
}

func (a *Attempt) onCommit(now time.Time, event Event) Action {
	switch event := event.(type) {
	case CommitApplied:
		return a.done(a.proposal.outcome)
	case CommitConflicted:
		a.tries++
		return a.readRows()
	case CommitUnavailable:
		a.phase = phaseReading // this transaction is settled: it wrote nothing
		if a.doubt {
			return a.pause(now, event.Reason)
		}
		return a.giveUp(event.Reason, event.RetryAfter)
	case CommitUnknown:
		if a.doubt {
			return a.pause(now, event.Reason)
		}
		a.doubt = true
		return a.readRows()
	}
	return a.giveUp(&StepError{Event: event, Phase: string(a.phase)}, 0)
}

// commitRows are the rows that decide a commit, as of one moment.
type commitRows struct {
	head, change, staged bfstore.Row
}

func (a *Attempt) readRows() Action {
	a.phase = phaseReading
	keys := []string{HeadKey, ChangeKey(a.id), StagedKey(a.id)}
	if a.doubt && !a.withdraw {
		keys = append(keys, a.proposal.version.Key)
	}
	return Read{Keys: keys}
}

func (a *Attempt) onRows(now time.Time, rows []bfstore.Row) Action {
	const fixedRows = 3
	if len(rows) < fixedRows {
		return a.giveUp(&StepError{Event: RowsRead{Rows: rows}, Phase: string(a.phase)}, 0)
	}
	a.rows = commitRows{head: rows[0], change: rows[1], staged: rows[2]}
	fate, decided, err := DecodeFate(a.rows.change)
	switch {
	case err != nil:
		return a.giveUp(err, 0)
	case decided:
		return a.settle(fate, rows[fixedRows:])
	case a.withdraw:
		return a.bar(now)
	case a.doubt && a.rows.head.Revision == a.proposal.head: // it may still land
		if now.After(a.deadline) {
			return a.giveUp(&TimeoutError{Limit: a.limits.Total}, 0)
		}
		return a.commit(a.proposal)
	}
	a.doubt = false
	return a.advance(now)
}

// settle answers from the change row, which is never changed once written.
func (a *Attempt) settle(fate Fate, version []bfstore.Row) Action {
	if fate.Withdrawn {
		return a.done(Withdrawn{})
	}
	// Another node may have confirmed the same ID at the same version, with
	// another time in its delta: only the row itself tells whose it is.
	if len(version) == 1 && string(version[0].Value) == string(a.proposal.version.Value) {
		return a.done(a.proposal.outcome)
	}
	return a.done(AlreadyCommitted{Version: fate.Version})
}

// advance goes on with the commit; nothing of this attempt is in doubt.
func (a *Attempt) advance(now time.Time) Action {
	if now.After(a.deadline) {
		return a.giveUp(&TimeoutError{Limit: a.limits.Total}, 0)
	}
	if a.tries > a.limits.Tries {
		return a.giveUp(&BusyError{Tries: a.tries}, a.limits.MaxWait)
	}
	staged, err := DecodeStaged(a.rows.staged)
	if err != nil {
		return a.done(Invalid{Err: err})
	}
	a.staged = staged
	if a.target, err = DecodeHead(a.rows.head); err != nil {
		return a.giveUp(err, 0)
	}
	if a.staged.Base() > a.target.Version {
		return a.giveUp(&HeadError{Held: Head{Version: a.staged.Base()}, Table: a.target}, 0)
	}
	return a.catchUp(now)
}

func (a *Attempt) catchUp(now time.Time) Action {
	if a.state.Version() < a.target.Version {
		a.phase = phaseCatchingUp
		from, to := VersionRange(a.state.Version()+1, a.target.Version)
		return ReadRange{From: from, To: to, Limit: a.limits.Page}
	}
	held := Head{Version: a.state.Version(), Digest: a.state.Digest()}
	if held != a.target {
		return a.giveUp(&HeadError{Held: held, Table: a.target}, 0)
	}
	return a.propose(now)
}

func (a *Attempt) onDeltas(now time.Time, rows []bfstore.Row) Action {
	next, err := applyRows(a.state, rows)
	if err != nil {
		return a.giveUp(err, a.limits.MaxWait)
	}
	a.state = next
	return a.catchUp(now)
}

// applyRows builds the version that the rows lead to, at least one further than state.
func applyRows(state *bfconfig.State, rows []bfstore.Row) (*bfconfig.State, error) {
	if len(rows) == 0 {
		return nil, &GapError{Version: state.Version() + 1}
	}
	for _, row := range rows {
		delta, err := bfconfig.DecodeDelta(row.Value)
		if err != nil {
			return nil, &RowError{Key: row.Key, Reason: err}
		}
		if state, err = state.Apply(delta); err != nil {
			return nil, err
		}
	}
	return state, nil
}

func (a *Attempt) propose(now time.Time) Action {
	next, delta, err := a.staged.Rebase(a.state, now, LookupIn(nil))
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		a.conflict = conflict
		return a.readConflict()
	case err != nil:
		return a.done(Invalid{Err: err})
	}
	data, err := delta.Encode()
	if err != nil {
		return a.done(Invalid{Err: err})
	}
	head := Head{Version: next.Version(), Digest: next.Digest()}
	version := bfstore.Write{Key: VersionKey(next.Version()), Value: data}
	return a.commit(&proposal{
		head: a.rows.head.Revision, version: version,
		outcome: Committed{Version: next.Version(), Delta: delta, State: next},
		tx: bfstore.Transaction{
			Conditions: []bfstore.Condition{
				{Key: ChangeKey(a.id)},
				{Key: HeadKey, Revision: a.rows.head.Revision},
			},
			Writes: []bfstore.Write{
				{Key: HeadKey, Value: head.Encode()},
				version,
				{Key: ChangeKey(a.id), Value: Fate{Version: next.Version()}.Encode()},
				{Key: StagedKey(a.id), Remove: true},
			},
		},
	})
}

// bar writes the change row as withdrawn. Every commit of the change is
// conditioned on that row's absence, so none can land afterwards, however late.
func (a *Attempt) bar(now time.Time) Action {
	if now.After(a.deadline) {
		return a.giveUp(&TimeoutError{Limit: a.limits.Total}, 0)
	}
	return a.commit(&proposal{
		outcome: Withdrawn{},
		tx: bfstore.Transaction{
			Conditions: []bfstore.Condition{{Key: ChangeKey(a.id)}},
			Writes: []bfstore.Write{
				{Key: ChangeKey(a.id), Value: Fate{Withdrawn: true}.Encode()},
				{Key: StagedKey(a.id), Remove: true},
			},
		},
	})
}

func (a *Attempt) commit(p *proposal) Action {
	a.phase = phaseCommitting
	a.proposal = p
	return Commit{Transaction: p.tx}
}

// readConflict looks for the change that the conflict is with: by its version,
// or, for an object that is gone, among the first versions after the base.
func (a *Attempt) readConflict() Action {
	const mostRows = 1_000
	a.phase = phaseNaming
	from, to := VersionRange(a.staged.Base()+1, a.target.Version)
	if revision := a.state.Revision(a.conflict.Object); revision > 0 {
		from, to = VersionRange(revision, revision)
	}
	return ReadRange{From: from, To: to, Limit: mostRows}
}

// onNaming answers the conflict, which is certain; without rows only its author is missing.
func (a *Attempt) onNaming(rows []bfstore.Row) Action {
	var deltas []bfconfig.Delta
	for _, row := range rows {
		if delta, err := bfconfig.DecodeDelta(row.Value); err == nil {
			deltas = append(deltas, delta)
		}
	}
	if delta, found := LookupIn(deltas)(a.conflict.Object, a.staged.Base()); found {
		a.conflict.name(delta)
	}
	return a.done(Conflict{Err: a.conflict})
}

// pause waits before the next try to resolve a lost answer.
func (a *Attempt) pause(now time.Time, reason error) Action {
	if now.After(a.deadline) {
		return a.giveUp(reason, 0)
	}
	a.phase = phaseWaiting
	until := now.Add(a.wait)
	a.wait = min(2*a.wait, a.limits.MaxWait)
	return Wait{Until: until}
}

// giveUp says "not accepted" only if no write of this attempt can ever take effect.
func (a *Attempt) giveUp(reason error, retryAfter time.Duration) Action {
	if a.doubt || a.phase == phaseCommitting {
		return a.done(Unknown{ID: a.id, Reason: reason})
	}
	return a.done(NotAccepted{Reason: reason, RetryAfter: retryAfter})
}

func (a *Attempt) done(outcome Outcome) Action {
	a.phase = phaseDone
	return Done{Outcome: outcome}
}
