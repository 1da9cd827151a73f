package bfcommit

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

var update = flag.Bool("update", false, "write the golden files")

// scripted is a table whose next commits are answered by the functions of script, one each.
type scripted struct {
	*bfstore.Memory
	script      []func(tx bfstore.Transaction) error
	unavailable bool
}

func (s *scripted) Get(ctx context.Context, keys ...string) ([]bfstore.Row, error) {
	if s.unavailable {
		return nil, &bfstore.UnavailableError{Reason: "outage", RetryAfter: time.Minute}
	}
	return s.Memory.Get(ctx, keys...)
}

func (s *scripted) Commit(ctx context.Context, tx bfstore.Transaction) error {
	if len(s.script) == 0 {
		return s.Memory.Commit(ctx, tx)
	}
	answer := s.script[0]
	s.script = s.script[1:]
	return answer(tx)
}

// fixture is a table with one committed change, on which tests stage others.
type fixture struct {
	t     *testing.T
	is    *is.I
	table *scripted
	held  *bfconfig.State // the version that every node holds after the setup
	clock Clock
}

// withFixture runs the test with a fake clock.
func withFixture(t *testing.T, test func(p *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		timers := bftimer.New(1)
		group := bfgroup.New(t.Context())
		group.Go("timer", timers.Run)
		p := &fixture{
			t: t, is: is.New(t), held: bfconfig.Empty(), clock: TimerClock{timers},
			table: &scripted{Memory: bfstore.NewMemory()},
		}
		p.stage("setup", service("old"), service("vault"), policy("p"), route("logos", "/logos", "vault"))
		p.held = requireOutcome[Committed](p, p.confirm("setup")).State
		test(p)
		group.Cancel()
		p.is.NoErr(group.Wait())
	})
}

func (p *fixture) stage(id string, ops ...bfconfig.Op) {
	p.t.Helper()
	staged, err := Stage(p.held, id, "author of "+id, time.Now(), ops)
	p.is.NoErr(err)
	tx, err := staged.Transaction()
	p.is.NoErr(err)
	p.is.NoErr(p.table.Memory.Commit(context.Background(), tx))
}

func (p *fixture) confirm(id string) Outcome {
	return Run(context.Background(), p.table, NewConfirm(id, p.held, DefaultLimits()), p.clock)
}

// requireOutcome fails the test unless the outcome has type T.
func requireOutcome[T Outcome](p *fixture, outcome Outcome) T {
	p.t.Helper()
	typed, ok := outcome.(T)
	if !ok {
		p.t.Fatalf("outcome is %T %+v", outcome, outcome)
	}
	return typed
}

func (p *fixture) newest() *bfconfig.State {
	state, _, err := Load(context.Background(), p.table.Memory, p.table.Memory, 2)
	p.is.NoErr(err)
	return state
}

func answerLost() error { return &bfstore.UnknownError{Reason: "connection cut"} }

// CASE 1. The table commits and its answer is lost. The node must find its change
// row and return the version; a second confirm must find the same version and
// commit no other.
func TestCase1LostAnswerIsResolved(t *testing.T) {
	withFixture(t, func(p *fixture) {
		p.stage("mine", service("new"))
		p.table.script = append(p.table.script, func(tx bfstore.Transaction) error {
			p.is.NoErr(p.table.Memory.Commit(context.Background(), tx))
			return answerLost()
		})
		p.is.Equal(requireOutcome[Committed](p, p.confirm("mine")).Version, bfconfig.Version(2))
		p.is.Equal(p.confirm("mine"), AlreadyCommitted{Version: 2})
		p.is.Equal(p.newest().Version(), bfconfig.Version(2))
	})
}

// CASE 1, a late write. The answer is lost and the write is still in transit when
// the node reads, so there is no change row yet. The node must not return
// NotAccepted: it repeats the same transaction, so that the late one conflicts.
func TestCase1LateWriteConflicts(t *testing.T) {
	withFixture(t, func(p *fixture) {
		p.stage("mine", service("new"))
		var late bfstore.Transaction
		p.table.script = append(p.table.script, func(tx bfstore.Transaction) error {
			late = tx
			return answerLost()
		})
		p.is.Equal(requireOutcome[Committed](p, p.confirm("mine")).Version, bfconfig.Version(2))
		var conflict *bfstore.ConflictError
		p.is.True(errors.As(p.table.Memory.Commit(context.Background(), late), &conflict))
		p.is.Equal(p.newest().Version(), bfconfig.Version(2))
	})
}

// CASE 1, an outage. The answer is lost and the table becomes unavailable. After
// the time limit the outcome must be Unknown. A withdrawal through another node
// after the outage must prevent the late write from taking effect.
func TestCase1UnknownUntilWithdrawn(t *testing.T) {
	withFixture(t, func(p *fixture) {
		p.stage("mine", service("new"))
		var late bfstore.Transaction
		p.table.script = append(p.table.script, func(tx bfstore.Transaction) error {
			late, p.table.unavailable = tx, true
			return answerLost()
		})
		start := time.Now()
		p.is.Equal(requireOutcome[Unknown](p, p.confirm("mine")).ID, "mine")
		p.is.True(time.Since(start) <= DefaultLimits().Timeout+DefaultLimits().MaxBackoff)
		p.is.Equal(requireOutcome[NotAccepted](p, p.confirm("mine")).RetryAfter, time.Minute)
		p.table.unavailable = false
		withdrawal := NewWithdrawal("mine", DefaultLimits())
		p.is.Equal(Run(context.Background(), p.table, withdrawal, p.clock), Withdrawn{})
		p.is.True(p.table.Memory.Commit(context.Background(), late) != nil) // the change is withdrawn
		p.is.Equal(p.confirm("mine"), Withdrawn{})
	})
}

// CASE 2. Two operators stage changes on the same version and confirm both. The
// second must get a Conflict that names the first change: for the same route, and
// for a service that one removes while the other routes to it, in either order.
func TestCase2RacingOperators(t *testing.T) {
	logos := bfconfig.Ref{Kind: bfconfig.KindRoute, Name: "logos"}
	sheets := bfconfig.Ref{Kind: bfconfig.KindRoute, Name: "sheets"}
	old := bfconfig.Ref{Kind: bfconfig.KindService, Name: "old"}
	removal, addition := bfconfig.Remove{Ref: old}, route("sheets", "/sheets", "old")
	for name, c := range map[string]struct {
		first, second bfconfig.Op
		object        bfconfig.Ref
	}{
		"same route":          {route("logos", "/a", "vault"), route("logos", "/b", "vault"), logos},
		"removed, then used":  {removal, addition, old},
		"used, then removed":  {addition, removal, sheets},
		"same prefix, 2 name": {route("sheets", "/s", "vault"), route("other", "/s", "vault"), sheets},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(p *fixture) {
				p.stage("first", c.first)
				p.stage("second", c.second)
				p.is.Equal(requireOutcome[Committed](p, p.confirm("first")).Version, bfconfig.Version(2))
				conflict := requireOutcome[Conflict](p, p.confirm("second")).Err
				p.is.Equal(conflict.Object, c.object)
				p.is.Equal(conflict.Version, bfconfig.Version(2))
				p.is.Equal(conflict.ChangeID, "first")
				p.is.Equal(conflict.Author, "author of first")
				p.is.Equal(p.newest().Version(), bfconfig.Version(2))
			})
		})
	}
}

// CASE 6, a half-finished confirm. A node is paused between its read and its commit,
// while another change of the same route is confirmed. The commit it sends when it
// resumes must have no effect, and the outcome must be a Conflict with the other change.
func TestCase6PausedConfirmHasNoEffect(t *testing.T) {
	withFixture(t, func(p *fixture) {
		p.stage("mine", route("logos", "/mine", "vault"))
		p.stage("theirs", route("logos", "/theirs", "vault"))
		p.table.script = append(p.table.script, func(tx bfstore.Transaction) error {
			p.is.Equal(requireOutcome[Committed](p, p.confirm("theirs")).Version, bfconfig.Version(2))
			time.Sleep(time.Second)
			return p.table.Memory.Commit(context.Background(), tx)
		})
		p.is.Equal(requireOutcome[Conflict](p, p.confirm("mine")).Err.ChangeID, "theirs")
		p.is.Equal(p.newest().Version(), bfconfig.Version(2))
	})
}

// CASE 4. The newest snapshot is truncated, and the one before it holds another
// version than its name says. Used, either would result in a state that was never
// committed. Load must fall back to the last intact one and apply the deltas after it.
func TestCase4UnusableSnapshots(t *testing.T) {
	withFixture(t, func(p *fixture) {
		ctx := context.Background()
		var data []byte
		var err error
		for i := range 7 {
			id := fmt.Sprint("c", i)
			p.stage(id, service(id))
			state := requireOutcome[Committed](p, p.confirm(id)).State
			if WritesSnapshot(state.Version(), 2) {
				data, err = state.EncodeSnapshot()
				p.is.NoErr(err)
				p.is.NoErr(p.table.PutObject(ctx, SnapshotKey(state.Version()), data))
			}
		}
		p.is.NoErr(p.table.PutObject(ctx, SnapshotKey(6), data))               // the snapshot of version 8
		p.is.NoErr(p.table.PutObject(ctx, SnapshotKey(8), data[:len(data)/2])) // truncated
		p.is.NoErr(p.table.PutObject(ctx, "snapshot/later", data))             // an object of another program
		state, skipped, err := Load(ctx, p.table, p.table, 2)
		p.is.NoErr(err)
		p.is.Equal(state.Version(), bfconfig.Version(8))
		p.is.Equal(len(skipped), 2)
		p.is.Equal(skipped[0].Version, bfconfig.Version(8))
		p.is.Equal(skipped[1].Version, bfconfig.Version(6))
		p.table.unavailable = true
		_, _, err = Load(ctx, p.table, p.table, 2)
		var unavailable *bfstore.UnavailableError
		p.is.True(errors.As(err, &unavailable))
	})
}

// Guards against an undo that silently reverts a later change of the same object,
// even one that restored the old value: it must return a ConflictError. Any other
// undo must restore the previous objects.
func TestUndoReversesOrRefuses(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		states := []*bfconfig.State{bfconfig.Empty()}
		var deltas []bfconfig.Delta
		commit := func(ops []bfconfig.Op) bool {
			change := bfconfig.NewChange(fmt.Sprint("c", len(states)), "ada", time.UnixMilli(0), ops)
			next, delta, err := states[len(states)-1].Propose(change)
			if err == nil {
				states, deltas = append(states, next), append(deltas, delta)
			}
			return err == nil
		}
		commit([]bfconfig.Op{service("a"), service("b"), policy("p"), route("a", "/a", "a")})
		for range 6 {
			commit(rapid.SliceOfN(rapid.Custom(drawOp), 1, 2).Draw(t, "ops"))
		}
		newest := len(deltas) - 1
		which := rapid.IntRange(0, newest).Draw(t, "undone")
		ops, err := Undo(states[newest+1], deltas[which], states[which], LookupIn(deltas))
		later := map[bfconfig.Ref]bool{}
		for _, delta := range deltas[which+1:] {
			for _, op := range delta.Change().Ops() {
				later[op.ObjectRef()] = true
			}
		}
		conflicting := false
		for _, op := range deltas[which].Change().Ops() {
			conflicting = conflicting || later[op.ObjectRef()]
		}
		if conflicting != (err != nil) {
			t.Fatalf("later changes touched the objects: %v, undo: %v", conflicting, err)
		}
		if conflicting {
			refused++
			return
		}
		if len(ops) == 0 || !commit(ops) {
			return // nothing to reverse, or another object refers to a removed one
		}
		for _, op := range deltas[which].Change().Ops() {
			before, existed := states[which].Object(op.ObjectRef())
			after, exists := states[len(states)-1].Object(op.ObjectRef())
			if existed != exists || existed && !bfconfig.Equal(before, after) {
				t.Fatalf("%s not reversed", op.ObjectRef())
			}
		}
	})
	if refused == 0 {
		t.Fatal("no drawn case has a conflicting undo")
	}
}

// Guards against corrupted staged rows: each must be rejected or decode to a complete
// change, since a missing revision would let it overwrite other changes unnoticed.
func TestCorruptedStagedRows(t *testing.T) {
	withFixture(t, func(p *fixture) {
		staged, err := Stage(p.held, "x", "ada", time.Now(), []bfconfig.Op{route("logos", "/x", "vault")})
		p.is.NoErr(err)
		data, err := staged.Encode()
		p.is.NoErr(err)
		row := bfstore.Row{Key: StagedKey("x"), Value: data, Revision: 1}
		decoded, err := DecodeStaged(row)
		p.is.NoErr(err)
		p.is.Equal(decoded, staged)
		for i := range data {
			for bit := range 8 {
				row.Value = []byte(string(data))
				row.Value[i] ^= 1 << bit
				if decoded, err := DecodeStaged(row); err == nil {
					p.is.Equal(decoded.checkRevisions(row.Key), nil)
				}
			}
			row.Value = data[:i]
			_, err := DecodeStaged(row)
			var invalid *RowError
			p.is.True(errors.As(err, &invalid)) // truncated
		}
		delete(staged.revisions, bfconfig.Ref{Kind: bfconfig.KindService, Name: "vault"})
		row.Value, err = staged.Encode()
		p.is.NoErr(err)
		_, err = DecodeStaged(row)
		var invalid *RowError
		p.is.True(errors.As(err, &invalid)) // a revision is missing
	})
}

func TestDiff(t *testing.T) {
	withFixture(t, func(p *fixture) {
		staged, err := Stage(p.held, "x", "ada", time.Now(), []bfconfig.Op{
			route("logos", "/logos", "new"), service("new"),
			bfconfig.Remove{Ref: bfconfig.Ref{Kind: bfconfig.KindService, Name: "old"}},
			service("passing"), bfconfig.Remove{Ref: bfconfig.Ref{Kind: bfconfig.KindService, Name: "passing"}},
		})
		p.is.NoErr(err)
		var page strings.Builder
		for _, d := range staged.Diff(p.held) {
			fmt.Fprintf(&page, "%s\n  before %+v\n  after  %+v\n", d.Ref, d.Before, d.After)
		}
		if *update {
			p.is.NoErr(os.WriteFile("testdata/diff.golden", []byte(page.String()), 0o644))
		}
		golden, err := os.ReadFile("testdata/diff.golden")
		p.is.NoErr(err)
		p.is.Equal(page.String(), string(golden))
	})
}

// Guards against NotAccepted for a change that may be committed: if the context is
// canceled during the commit, the outcome must be Unknown.
func TestCanceledWhileCommittingIsUnknown(t *testing.T) {
	withFixture(t, func(p *fixture) {
		p.stage("mine", service("new"))
		ctx, cancel := context.WithCancel(context.Background())
		p.table.script = append(p.table.script, func(bfstore.Transaction) error {
			cancel()
			p.table.unavailable = true
			return ctx.Err()
		})
		outcome := Run(ctx, p.table, NewConfirm("mine", p.held, DefaultLimits()), p.clock)
		p.is.Equal(requireOutcome[Unknown](p, outcome).ID, "mine")
	})
}
