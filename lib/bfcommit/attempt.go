package bfcommit

import (
	"errors"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
)

// Limits bounds one attempt.
type Limits struct {
	// Timeout is the time after which the attempt ends without a decision.
	Timeout time.Duration
	// MaxConflicts is the number of conflicts with other commits after which the attempt ends.
	MaxConflicts int
	// InitialBackoff and MaxBackoff bound the exponential backoff between reads while the
	// outcome of a commit is in doubt.
	InitialBackoff, MaxBackoff time.Duration
	// PageRows is the number of versions read at once.
	PageRows int
}

// DefaultLimits returns the limits used by a node.
func DefaultLimits() Limits {
	return Limits{
		Timeout: 10 * time.Second, MaxConflicts: 32,
		InitialBackoff: 20 * time.Millisecond, MaxBackoff: time.Second, PageRows: 100,
	}
}

type phase string

const (
	phaseNew         phase = "new"
	phaseReading     phase = "reading"
	phaseCatchingUp  phase = "catching up"
	phaseIdentifying phase = "identifying the conflicting change"
	phaseCommitting  phase = "committing"
	phaseWaiting     phase = "waiting"
	phaseDone        phase = "done"
)

// proposal is one transaction, and the outcome if it is applied.
type proposal struct {
	tx      bfstore.Transaction
	head    uint64 // revision of the head row that tx is conditional on
	version bfstore.Write
	outcome Outcome
}

// Attempt is one attempt to confirm or withdraw one change.
//
// A write whose answer is lost may still take effect long after a read that
// doesn't show it, so the absence of the change row alone doesn't prove that the
// change was not accepted. Each transaction is conditional on the revision of head and on the
// absence of the change row, and revisions are never reused. A write in doubt
// therefore can't take effect any more once a read shows another revision of head
// and no change row. While head still has the same revision, the attempt repeats
// the identical transaction: the one that is applied first makes the other fail,
// and both result in the same version.
type Attempt struct {
	id        string
	withdraw  bool
	limits    Limits
	deadline  time.Time
	phase     phase
	backoff   time.Duration
	conflicts int

	// state is the newest version this attempt has applied, tableHead the newest version
	// in the table at the last read.
	state     *bfconfig.State
	tableHead Head
	staged    Staged
	rows      commitRows

	proposal *proposal
	// inDoubt is set while it is unknown whether proposal has been, or will be, applied.
	inDoubt  bool
	conflict *ConflictError
}

// NewConfirm returns an attempt to commit the change staged as id; held is the
// newest version that the node holds.
func NewConfirm(id string, held *bfconfig.State, limits Limits) *Attempt {
	return &Attempt{id: id, state: held, limits: limits, phase: phaseNew}
}

// NewWithdrawal returns an attempt to withdraw the change id for good, whether or
// not it is staged or being confirmed.
func NewWithdrawal(id string, limits Limits) *Attempt {
	return &Attempt{id: id, withdraw: true, limits: limits, phase: phaseNew}
}

// Next handles an event and returns the next action.
func (a *Attempt) Next(now time.Time, event Event) Action {
	switch event := event.(type) {
	case Begin:
		if a.phase == phaseNew {
			a.deadline = now.Add(a.limits.Timeout)
			a.backoff = a.limits.InitialBackoff
			return a.readRows()
		}
	case Canceled:
		return a.abort(event.Reason, 0)
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
	return a.abort(&StepError{Event: event, Phase: string(a.phase)}, 0)
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
	case phaseIdentifying:
		return a.onConflictRead(read.Rows)
	default:
		return a.abort(&StepError{Event: event, Phase: string(a.phase)}, 0)
	}
	failed, _ := event.(ReadFailed)
	if a.inDoubt {
		return a.pause(now, failed.Reason)
	}
	return a.abort(failed.Reason, failed.RetryAfter)
}

func (a *Attempt) onCommit(now time.Time, event Event) Action {
	switch event := event.(type) {
	case CommitApplied:
		return a.done(a.proposal.outcome)
	case CommitConflicted:
		a.conflicts++
		return a.readRows()
	case CommitUnavailable:
		a.phase = phaseReading // this transaction is decided: it wrote nothing
		if a.inDoubt {
			return a.pause(now, event.Reason)
		}
		return a.abort(event.Reason, event.RetryAfter)
	case CommitUnknown:
		if a.inDoubt {
			return a.pause(now, event.Reason)
		}
		a.inDoubt = true
		return a.readRows()
	}
	return a.abort(&StepError{Event: event, Phase: string(a.phase)}, 0)
}

// commitRows holds the rows that decide a commit, from one atomic read.
type commitRows struct {
	head, change, staged bfstore.Row
}

func (a *Attempt) readRows() Action {
	a.phase = phaseReading
	keys := []string{HeadKey, ChangeKey(a.id), StagedKey(a.id)}
	if a.inDoubt && !a.withdraw {
		keys = append(keys, a.proposal.version.Key)
	}
	return Read{Keys: keys}
}

func (a *Attempt) onRows(now time.Time, rows []bfstore.Row) Action {
	const fixedRows = 3
	if len(rows) < fixedRows {
		return a.abort(&StepError{Event: RowsRead{Rows: rows}, Phase: string(a.phase)}, 0)
	}
	a.rows = commitRows{head: rows[0], change: rows[1], staged: rows[2]}
	decision, decided, err := DecodeDecision(a.rows.change)
	switch {
	case err != nil:
		return a.abort(err, 0)
	case decided:
		return a.resolve(decision, rows[fixedRows:])
	case a.withdraw:
		return a.commitWithdrawal(now)
	case a.inDoubt && a.rows.head.Revision == a.proposal.head: // it may still be applied
		if now.After(a.deadline) {
			return a.abort(&TimeoutError{Limit: a.limits.Timeout}, 0)
		}
		return a.commit(a.proposal)
	}
	a.inDoubt = false
	return a.advance(now)
}

// resolve derives the outcome from the change row, which is immutable.
func (a *Attempt) resolve(decision Decision, version []bfstore.Row) Action {
	if decision.Withdrawn {
		return a.done(Withdrawn{})
	}
	// Another node may have confirmed the same ID as the same version, with
	// another time in its delta; only the row itself tells the two apart.
	if len(version) == 1 && string(version[0].Value) == string(a.proposal.version.Value) {
		return a.done(a.proposal.outcome)
	}
	return a.done(AlreadyCommitted{Version: decision.Version})
}

// advance continues the commit when no transaction of this attempt is in doubt.
func (a *Attempt) advance(now time.Time) Action {
	if now.After(a.deadline) {
		return a.abort(&TimeoutError{Limit: a.limits.Timeout}, 0)
	}
	if a.conflicts > a.limits.MaxConflicts {
		return a.abort(&BusyError{Tries: a.conflicts}, a.limits.MaxBackoff)
	}
	staged, err := DecodeStaged(a.rows.staged)
	if err != nil {
		return a.done(Invalid{Err: err})
	}
	a.staged = staged
	if a.tableHead, err = DecodeHead(a.rows.head); err != nil {
		return a.abort(err, 0)
	}
	if a.staged.Base() > a.tableHead.Version {
		return a.abort(&HeadError{Held: Head{Version: a.staged.Base()}, Table: a.tableHead}, 0)
	}
	return a.catchUp(now)
}

// catchUp applies the versions up to tableHead, a page at a time, then proposes the change.
func (a *Attempt) catchUp(now time.Time) Action {
	if a.state.Version() < a.tableHead.Version {
		a.phase = phaseCatchingUp
		from, to := VersionRange(a.state.Version()+1, a.tableHead.Version)
		return ReadRange{From: from, To: to, Limit: a.limits.PageRows}
	}
	held := Head{Version: a.state.Version(), Digest: a.state.Digest()}
	if held != a.tableHead {
		return a.abort(&HeadError{Held: held, Table: a.tableHead}, 0)
	}
	return a.propose(now)
}

func (a *Attempt) onDeltas(now time.Time, rows []bfstore.Row) Action {
	next, err := applyRows(a.state, rows)
	if err != nil {
		return a.abort(err, a.limits.MaxBackoff)
	}
	a.state = next
	return a.catchUp(now)
}

// applyRows applies the deltas of the rows, at least one, to state. It returns a
// GapError if there are none, and a RowError for a row that can't be decoded.
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

// propose rebases the staged change on state and commits it as the next version.
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
				{Key: ChangeKey(a.id), Value: Decision{Version: next.Version()}.Encode()},
				{Key: StagedKey(a.id), Remove: true},
			},
		},
	})
}

// commitWithdrawal writes the change row as withdrawn. Every commit of the change is
// conditional on the absence of that row, so none can take effect afterwards.
func (a *Attempt) commitWithdrawal(now time.Time) Action {
	if now.After(a.deadline) {
		return a.abort(&TimeoutError{Limit: a.limits.Timeout}, 0)
	}
	return a.commit(&proposal{
		outcome: Withdrawn{},
		tx: bfstore.Transaction{
			Conditions: []bfstore.Condition{{Key: ChangeKey(a.id)}},
			Writes: []bfstore.Write{
				{Key: ChangeKey(a.id), Value: Decision{Withdrawn: true}.Encode()},
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

// readConflict reads the delta of the conflicting change: by its version, or, for an
// object that was removed, among the first versions after the base.
func (a *Attempt) readConflict() Action {
	const maxRows = 1_000
	a.phase = phaseIdentifying
	from, to := VersionRange(a.staged.Base()+1, a.tableHead.Version)
	if revision := a.state.Revision(a.conflict.Object); revision > 0 {
		from, to = VersionRange(revision, revision)
	}
	return ReadRange{From: from, To: to, Limit: maxRows}
}

// onConflictRead returns the conflict; if the rows could not be read, it lacks the
// version, ID and author of the other change.
func (a *Attempt) onConflictRead(rows []bfstore.Row) Action {
	var deltas []bfconfig.Delta
	for _, row := range rows {
		if delta, err := bfconfig.DecodeDelta(row.Value); err == nil {
			deltas = append(deltas, delta)
		}
	}
	if delta, found := LookupIn(deltas)(a.conflict.Object, a.staged.Base()); found {
		a.conflict.identify(delta)
	}
	return a.done(Conflict{Err: a.conflict})
}

// pause backs off before the next read of the rows while a commit is in doubt.
func (a *Attempt) pause(now time.Time, reason error) Action {
	if now.After(a.deadline) {
		return a.abort(reason, 0)
	}
	a.phase = phaseWaiting
	until := now.Add(a.backoff)
	a.backoff = min(2*a.backoff, a.limits.MaxBackoff)
	return Wait{Until: until}
}

// abort ends the attempt with NotAccepted only if no write of it can ever take
// effect, and with Unknown otherwise.
func (a *Attempt) abort(reason error, retryAfter time.Duration) Action {
	if a.inDoubt || a.phase == phaseCommitting {
		return a.done(Unknown{ID: a.id, Reason: reason})
	}
	return a.done(NotAccepted{Reason: reason, RetryAfter: retryAfter})
}

func (a *Attempt) done(outcome Outcome) Action {
	a.phase = phaseDone
	return Done{Outcome: outcome}
}
