package bfcommit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
)

// history is the reference model: a sequence of changes, each fully validated.
type history struct {
	states []*bfconfig.State
	deltas []bfconfig.Delta
	staged map[string]Staged
}

// append fails the test unless the change is the next version, is valid, and no
// object it read has changed since its base.
func (h *history) append(t *rapid.T, id string, decision Decision, delta bfconfig.Delta) {
	h.requireUncommitted(t, id)
	newest := h.states[len(h.states)-1]
	next, err := newest.Apply(delta)
	if err != nil || next.Version() != decision.Version || delta.Change().ID() != id {
		t.Fatalf("change %s as version %d after %d: %v", id, decision.Version, newest.Version(), err)
	}
	for ref, revision := range h.staged[id].revisions {
		if newest.Revision(ref) != revision {
			t.Fatalf("change %s committed over another change of %s", id, ref)
		}
	}
	h.states = append(h.states, next)
	h.deltas = append(h.deltas, delta)
}

// requireUncommitted fails the test if the change is committed already.
func (h *history) requireUncommitted(t *rapid.T, id string) {
	for _, earlier := range h.deltas {
		if earlier.Change().ID() == id {
			t.Fatalf("change %s is committed as version %d already", id, earlier.Version())
		}
	}
}

// confirm is one attempt of one operator through one node.
type confirm struct {
	id      string
	attempt *Attempt
	next    Action
	outcome Outcome
	applied bool // one of its transactions took effect
	lost    bool // the answer to one of its commits was lost
}

// lateWrite is a transaction whose answer was lost and that may still be applied.
type lateWrite struct {
	tx   bfstore.Transaction
	from *confirm
}

type simulation struct {
	t        *rapid.T
	now      time.Time
	table    *bfstore.Memory
	history  history
	confirms []*confirm
	late     []lateWrite
	faults   bool
}

// apply runs the transaction and checks its effect against the history.
func (w *simulation) apply(tx bfstore.Transaction, from *confirm) error {
	err := w.table.Commit(context.Background(), tx)
	if err != nil {
		return err
	}
	from.applied = true
	rows := map[string]bfstore.Write{}
	for _, write := range tx.Writes {
		rows[write.Key] = write
	}
	decision, decided, err := DecodeDecision(bfstore.Row{Value: rows[ChangeKey(from.id)].Value, Revision: 1})
	if !decided || err != nil {
		w.t.Fatalf("no decision on %s: %v", from.id, err)
	}
	if decision.Withdrawn {
		w.history.requireUncommitted(w.t, from.id)
		return nil
	}
	delta, err := bfconfig.DecodeDelta(rows[VersionKey(decision.Version)].Value)
	if err != nil {
		w.t.Fatal(err)
	}
	w.history.append(w.t, from.id, decision, delta)
	return nil
}

func (w *simulation) start(id string, withdraw bool) *confirm {
	c := &confirm{id: id, attempt: NewConfirm(id, w.history.states[len(w.history.states)-1], limits)}
	if withdraw {
		c.attempt = NewWithdrawal(id, limits)
	}
	c.next = c.attempt.Next(w.now, Begin{})
	w.confirms = append(w.confirms, c)
	return c
}

var limits = Limits{Timeout: 4 * time.Second, MaxConflicts: 3, InitialBackoff: time.Second, MaxBackoff: 2 * time.Second, PageRows: 2}

// step carries out the next action of the attempt, with random faults if they are enabled.
func (w *simulation) step(c *confirm) {
	unavailable := &bfstore.UnavailableError{Reason: "drawn"}
	canceled := w.faults && rapid.IntRange(0, 30).Draw(w.t, "canceled") == 17
	fails := w.faults && rapid.IntRange(0, 9).Draw(w.t, "fails") == 7
	var event Event
	switch action := c.next.(type) {
	case Done:
		return
	case Read:
		rows, _ := w.table.Get(context.Background(), action.Keys...)
		event = RowsRead{Rows: rows}
		if fails {
			event = ReadFailed{Reason: unavailable}
		}
	case ReadRange:
		rows, _ := w.table.Range(context.Background(), action.From, action.To, action.Limit)
		event = RowsRead{Rows: rows}
		if fails {
			event = ReadFailed{Reason: unavailable}
		}
	case Wait:
		w.now = action.Until
		event = Waited{}
	case Commit:
		event = w.commit(c, action.Transaction)
		c.lost = c.lost || canceled
	}
	if canceled {
		event = Canceled{Reason: context.Canceled}
	}
	c.next = c.attempt.Next(w.now, event)
	if done, isDone := c.next.(Done); isDone {
		c.outcome = done.Outcome
		w.checkOutcome(c)
	}
}

func (w *simulation) commit(c *confirm, tx bfstore.Transaction) Event {
	fault := "none"
	if w.faults {
		fault = rapid.SampledFrom([]string{"none", "none", "unavailable", "answer lost", "late", "late", "write lost"}).Draw(w.t, "fault")
	}
	lost := &bfstore.UnknownError{Reason: fault}
	switch fault {
	case "unavailable":
		return commitEvent(&bfstore.UnavailableError{Reason: fault})
	case "none":
		return commitEvent(w.apply(tx, c))
	case "answer lost":
		_ = w.apply(tx, c)
	case "late":
		w.late = append(w.late, lateWrite{tx, c})
	}
	c.lost = true
	return commitEvent(lost)
}

// checkOutcome fails the test if the outcome contradicts the history so far.
func (w *simulation) checkOutcome(c *confirm) {
	version := bfconfig.Version(0)
	switch outcome := c.outcome.(type) {
	case Committed:
		version = outcome.Version
	case AlreadyCommitted:
		version = outcome.Version
	case Withdrawn:
		rows, _ := w.table.Get(context.Background(), ChangeKey(c.id))
		if decision, _, _ := DecodeDecision(rows[0]); !decision.Withdrawn {
			w.t.Fatalf("%s has outcome Withdrawn but decision %+v", c.id, decision)
		}
	case Conflict:
		w.checkConflict(c.id, outcome.Err)
	case Unknown:
		if !c.lost {
			w.t.Fatalf("%s has outcome Unknown without a lost answer: %v", c.id, outcome.Reason)
		}
	case Invalid, NotAccepted: // checkFinal checks these against all later writes
	}
	if version > 0 && w.history.deltas[version-1].Change().ID() != c.id {
		w.t.Fatalf("%s has outcome version %d, which is change %s", c.id, version, w.history.deltas[version-1].Change().ID())
	}
}

func (w *simulation) checkConflict(id string, conflict *ConflictError) {
	if conflict.Version == 0 {
		return // the row of the conflicting change could not be read
	}
	other := w.history.deltas[conflict.Version-1]
	identified := other.Change().ID() == conflict.ChangeID && other.Change().Author() == conflict.Author
	if !identified || !modifies(other, conflict.Object) || other.Version() <= w.history.staged[id].Base() {
		w.t.Fatalf("%s has a wrong conflict: %v", id, conflict)
	}
}

// checkFinal fails the test if a write took effect, however late, of an attempt whose
// outcome excludes it.
func (w *simulation) checkFinal() {
	for _, c := range w.confirms {
		switch c.outcome.(type) {
		case NotAccepted, Conflict, Invalid:
			if c.applied {
				w.t.Fatalf("%s has outcome %#v, but its write took effect", c.id, c.outcome)
			}
		}
	}
}

// run stages a few changes and confirms them through several nodes, with interleaved steps.
func (w *simulation) run() {
	w.stage("setup", []bfconfig.Op{service("a"), service("b"), policy("p"), route("r", "/r", "a")})
	w.finish(w.start("setup", false))
	w.faults = true
	for range 100 {
		switch kind := rapid.IntRange(0, 9).Draw(w.t, "kind"); {
		case kind == 0 && len(w.history.staged) < 8:
			w.stage(fmt.Sprint("c", len(w.history.staged)), rapid.SliceOfN(rapid.Custom(drawOp), 1, 2).Draw(w.t, "ops"))
		case kind <= 2 && len(w.confirms) < 16:
			id := fmt.Sprint("c", rapid.IntRange(1, len(w.history.staged)).Draw(w.t, "which"))
			w.start(id, rapid.IntRange(0, 9).Draw(w.t, "withdraw") == 7)
		case kind == 3 && len(w.late) > 0:
			w.applyLate(rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late write"))
		default:
			w.step(w.confirms[rapid.IntRange(0, len(w.confirms)-1).Draw(w.t, "confirm")])
		}
	}
	w.faults = false
	for _, c := range w.confirms {
		w.finish(c)
	}
	for len(w.late) > 0 {
		w.applyLate(0)
	}
	w.checkFinal()
	w.checkUnknownResolve()
}

func (w *simulation) stage(id string, ops []bfconfig.Op) {
	// Nodes stage on the version they hold, which may be older than the head.
	states := w.history.states
	base := states[max(0, len(states)-1-rapid.IntRange(0, 1).Draw(w.t, "behind"))]
	staged, err := Stage(base, id, "author of "+id, w.now, ops)
	if err != nil {
		return
	}
	tx, err := staged.Transaction()
	if err != nil || w.table.Commit(context.Background(), tx) != nil {
		return
	}
	w.history.staged[id] = staged
}

func (w *simulation) applyLate(i int) {
	late := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	_ = w.apply(late.tx, late.from)
}

func (w *simulation) finish(c *confirm) {
	for c.outcome == nil {
		w.step(c)
	}
}

// checkUnknownResolve confirms each change with an unknown outcome again, which must
// determine the outcome while the table works.
func (w *simulation) checkUnknownResolve() {
	for _, c := range w.confirms {
		if _, unknown := c.outcome.(Unknown); unknown {
			again := w.start(c.id, false)
			w.finish(again)
			switch again.outcome.(type) {
			case Unknown, NotAccepted:
				w.t.Fatalf("%s confirmed again has outcome %#v", c.id, again.outcome)
			}
		}
	}
}

func service(name string) bfconfig.Op { return bfconfig.Put{Object: bfconfig.ServiceSpec{Name: name}} }

func policy(name string) bfconfig.Op {
	return bfconfig.Put{Object: bfconfig.PolicySpec{Name: name, Class: "query", Deadline: time.Second}}
}

func route(name, prefix, to string) bfconfig.Op {
	return bfconfig.Put{Object: bfconfig.RouteSpec{Name: name, Prefix: prefix, Service: to, Policy: "p"}}
}

func drawOp(t *rapid.T) bfconfig.Op {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	switch rapid.IntRange(0, 3).Draw(t, "op") {
	case 0:
		return service(name.Draw(t, "name"))
	case 1:
		kind := rapid.SampledFrom([]bfconfig.Kind{bfconfig.KindService, bfconfig.KindRoute}).Draw(t, "kind")
		return bfconfig.Remove{Ref: bfconfig.Ref{Kind: kind, Name: name.Draw(t, "name")}}
	default:
		return route(name.Draw(t, "name"), "/"+name.Draw(t, "prefix"), name.Draw(t, "to"))
	}
}

// Guards against wrong outcomes and lost updates: with concurrent confirms through
// several nodes, lost answers, late writes, table outages and cancellations, every
// outcome must stay true, and no change may be committed twice or overwrite another.
func TestAttemptsMatchSequentialHistory(t *testing.T) {
	outcomes := map[string]int{}
	late := 0
	rapid.Check(t, func(t *rapid.T) {
		empty := bfconfig.Empty()
		w := &simulation{t: t, now: time.UnixMilli(0), table: bfstore.NewMemory()}
		w.history = history{states: []*bfconfig.State{empty}, staged: map[string]Staged{}}
		w.run()
		for _, c := range w.confirms {
			outcomes[fmt.Sprintf("%T", c.outcome)]++
			if c.applied && c.lost {
				late++
			}
		}
	})
	t.Logf("outcomes %v; %d took effect with a lost answer", outcomes, late)
	if len(outcomes) < 7 {
		t.Fatal("the drawn cases don't cover all outcomes")
	}
}
