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

// scripted is a table whose next commits are answered by script, one each.
type scripted struct {
	*bfstore.Memory
	script []func(tx bfstore.Transaction) error
	away   bool
}

func (s *scripted) Get(ctx context.Context, keys ...string) ([]bfstore.Row, error) {
	if s.away {
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

// portal is a table with one confirmed change, to which tests stage others.
type portal struct {
	t     *testing.T
	is    *is.I
	table *scripted
	held  *bfconfig.State // what every node holds, as of the setup
	clock Clock
}

// withPortal runs the test on fake time.
func withPortal(t *testing.T, test func(p *portal)) {
	synctest.Test(t, func(t *testing.T) {
		timers := bftimer.New(1)
		group := bfgroup.New(t.Context())
		group.Go("timer", timers.Run)
		p := &portal{
			t: t, is: is.New(t), held: bfconfig.Empty(), clock: TimerClock{timers},
			table: &scripted{Memory: bfstore.NewMemory()},
		}
		p.stage("setup", service("old"), service("vault"), policy("p"), route("logos", "/logos", "vault"))
		p.held = as[Committed](p, p.confirm("setup")).State
		test(p)
		group.Cancel()
		p.is.NoErr(group.Wait())
	})
}

func (p *portal) stage(id string, ops ...bfconfig.Op) {
	p.t.Helper()
	staged, err := Stage(p.held, id, "author of "+id, time.Now(), ops)
	p.is.NoErr(err)
	tx, err := staged.Transaction()
	p.is.NoErr(err)
	p.is.NoErr(p.table.Memory.Commit(context.Background(), tx))
}

func (p *portal) confirm(id string) Outcome {
	return Run(context.Background(), p.table, NewConfirm(id, p.held, DefaultLimits()), p.clock)
}

// as fails the test unless the outcome is of the type.
func as[T Outcome](p *portal, outcome Outcome) T {
	p.t.Helper()
	told, ok := outcome.(T)
	if !ok {
		p.t.Fatalf("told %T %+v", outcome, outcome)
	}
	return told
}

func (p *portal) newest() *bfconfig.State {
	state, _, err := Load(context.Background(), p.table.Memory, p.table.Memory, 2)
	p.is.NoErr(err)
	return state
}

func lost() error { return &bfstore.UnknownError{Reason: "connection cut"} }

// CASE 1. The operator confirms; the table commits, and its answer is lost. The
// node must find its own change row and tell the version; a confirm repeated
// through another node must find the same one, and no second version.
func TestCase1LostAnswerIsResolved(t *testing.T) {
	withPortal(t, func(p *portal) {
		p.stage("mine", service("new"))
		p.table.script = append(p.table.script, func(tx bfstore.Transaction) error {
			p.is.NoErr(p.table.Memory.Commit(context.Background(), tx))
			return lost()
		})
		p.is.Equal(as[Committed](p, p.confirm("mine")).Version, bfconfig.Version(2))
		p.is.Equal(p.confirm("mine"), AlreadyCommitted{Version: 2})
		p.is.Equal(p.newest().Version(), bfconfig.Version(2))
	})
}

// CASE 1, the late write. The answer is lost and the write is still under way
// when the node reads: it sees no change row. Told "not accepted", the operator
// would give up, and the change would be in force a second later. The node runs
// the same transaction again, so the late one finds another head and is void.
func TestCase1LateWriteCannotLandUnseen(t *testing.T) {
	withPortal(t, func(p *portal) {
		p.stage("mine", service("new"))
		var late bfstore.Transaction
		p.table.script = append(p.table.script, func(tx bfstore.Transaction) error {
			late = tx
			return lost()
		})
		p.is.Equal(as[Committed](p, p.confirm("mine")).Version, bfconfig.Version(2))
		var conflict *bfstore.ConflictError
		p.is.True(errors.As(p.table.Memory.Commit(context.Background(), late), &conflict))
		p.is.Equal(p.newest().Version(), bfconfig.Version(2))
	})
}

// CASE 1, the outage. The answer is lost and the table goes away for good, as
// far as this operator is concerned. After the bounded time the only truthful
// answer is "unknown". Withdrawn through another node once the table is back,
// the change can't come into force however late its write lands.
func TestCase1UnknownStaysUnknownUntilBarred(t *testing.T) {
	withPortal(t, func(p *portal) {
		p.stage("mine", service("new"))
		var late bfstore.Transaction
		p.table.script = append(p.table.script, func(tx bfstore.Transaction) error {
			late, p.table.away = tx, true
			return lost()
		})
		start := time.Now()
		p.is.Equal(as[Unknown](p, p.confirm("mine")).ID, "mine")
		p.is.True(time.Since(start) <= DefaultLimits().Total+DefaultLimits().MaxWait)
		p.is.Equal(as[NotAccepted](p, p.confirm("mine")).RetryAfter, time.Minute)
		p.table.away = false
		withdrawal := NewWithdrawal("mine", DefaultLimits())
		p.is.Equal(Run(context.Background(), p.table, withdrawal, p.clock), Withdrawn{})
		p.is.True(p.table.Memory.Commit(context.Background(), late) != nil) // barred
		p.is.Equal(p.confirm("mine"), Withdrawn{})
	})
}

// CASE 2. Two operators stage changes on the same version and confirm both. The
// second must be told whose change came first: for the same route, and for a
// service that one removes while the other routes to it, in either order.
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
			withPortal(t, func(p *portal) {
				p.stage("first", c.first)
				p.stage("second", c.second)
				p.is.Equal(as[Committed](p, p.confirm("first")).Version, bfconfig.Version(2))
				told := as[Conflict](p, p.confirm("second")).Err
				p.is.Equal(told.Object, c.object)
				p.is.Equal(told.Version, bfconfig.Version(2))
				p.is.Equal(told.ChangeID, "first")
				p.is.Equal(told.Author, "author of first")
				p.is.Equal(p.newest().Version(), bfconfig.Version(2))
			})
		})
	}
}

// CASE 6, the confirm half done. A node is frozen between its read and its
// commit; meanwhile another operator's change to the same route is confirmed.
// Waking, the node sends the commit it had prepared. It must have no effect,
// and the operator must be told of the other change.
func TestCase6FrozenConfirmWakes(t *testing.T) {
	withPortal(t, func(p *portal) {
		p.stage("mine", route("logos", "/mine", "vault"))
		p.stage("theirs", route("logos", "/theirs", "vault"))
		p.table.script = append(p.table.script, func(tx bfstore.Transaction) error {
			p.is.Equal(as[Committed](p, p.confirm("theirs")).Version, bfconfig.Version(2))
			time.Sleep(time.Second)
			return p.table.Memory.Commit(context.Background(), tx)
		})
		p.is.Equal(as[Conflict](p, p.confirm("mine")).Err.ChangeID, "theirs")
		p.is.Equal(p.newest().Version(), bfconfig.Version(2))
	})
}

// CASE 4. A node starts; the newest snapshot is cut short, the one before holds
// another version than its name says. Taken in part or under the wrong name,
// either would have the node serve what was never confirmed. It must go back to
// the one that is whole, and to the newest version by the deltas after it.
func TestCase4UnusableSnapshots(t *testing.T) {
	withPortal(t, func(p *portal) {
		ctx := context.Background()
		var data []byte
		var err error
		for i := range 7 {
			id := fmt.Sprint("c", i)
			p.stage(id, service(id))
			state := as[Committed](p, p.confirm(id)).State
			if WritesSnapshot(state.Version(), 2) {
				data, err = state.EncodeSnapshot()
				p.is.NoErr(err)
				p.is.NoErr(p.table.PutObject(ctx, SnapshotKey(state.Version()), data))
			}
		}
		p.is.NoErr(p.table.PutObject(ctx, SnapshotKey(6), data))               // that of version 8
		p.is.NoErr(p.table.PutObject(ctx, SnapshotKey(8), data[:len(data)/2])) // cut short
		p.is.NoErr(p.table.PutObject(ctx, "snapshot/later", data))             // another program's
		state, unusable, err := Load(ctx, p.table, p.table, 2)
		p.is.NoErr(err)
		p.is.Equal(state.Version(), bfconfig.Version(8))
		p.is.Equal(len(unusable), 2)
		p.is.Equal(unusable[0].Version, bfconfig.Version(8))
		p.is.Equal(unusable[1].Version, bfconfig.Version(6))
		p.table.away = true
		_, _, err = Load(ctx, p.table, p.table, 2)
		var away *bfstore.UnavailableError
		p.is.True(errors.As(err, &away))
	})
}

// An undo is a new version with the content from before. If a later change
// touched the same object, even one that put it back, reversing would take that
// change back unseen, so the operator is told of it instead.
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
				later[op.Target()] = true
			}
		}
		clash := false
		for _, op := range deltas[which].Change().Ops() {
			clash = clash || later[op.Target()]
		}
		if clash != (err != nil) {
			t.Fatalf("later changes touched the objects: %v, undo: %v", clash, err)
		}
		if clash {
			refused++
			return
		}
		if len(ops) == 0 || !commit(ops) {
			return // nothing to reverse, or another object needs what would go
		}
		for _, op := range deltas[which].Change().Ops() {
			before, existed := states[which].Object(op.Target())
			after, exists := states[len(states)-1].Object(op.Target())
			if existed != exists || existed && !bfconfig.Equal(before, after) {
				t.Fatalf("%s not reversed", op.Target())
			}
		}
	})
	if refused == 0 {
		t.Fatal("the cases drawn reach too little")
	}
}

// A staged row arrives damaged. It must be refused or mean a whole change; a
// row without the revision of an object it needs would overwrite others unseen.
func TestStagedRowsDamaged(t *testing.T) {
	withPortal(t, func(p *portal) {
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
					p.is.Equal(decoded.complete(row.Key), nil)
				}
			}
			row.Value = data[:i]
			_, err := DecodeStaged(row)
			var unreadable *RowError
			p.is.True(errors.As(err, &unreadable)) // cut short
		}
		delete(staged.revisions, bfconfig.Ref{Kind: bfconfig.KindService, Name: "vault"})
		row.Value, err = staged.Encode()
		p.is.NoErr(err)
		_, err = DecodeStaged(row)
		var unreadable *RowError
		p.is.True(errors.As(err, &unreadable)) // a revision is missing
	})
}

func TestDiff(t *testing.T) {
	withPortal(t, func(p *portal) {
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

// The operator's connection ends while the answer to the commit is under way.
// Whatever the driver is told then, it must not say "not accepted".
func TestCanceledWhileCommittingIsUnknown(t *testing.T) {
	withPortal(t, func(p *portal) {
		p.stage("mine", service("new"))
		ctx, cancel := context.WithCancel(context.Background())
		p.table.script = append(p.table.script, func(bfstore.Transaction) error {
			cancel()
			p.table.away = true
			return ctx.Err()
		})
		outcome := Run(ctx, p.table, NewConfirm("mine", p.held, DefaultLimits()), p.clock)
		p.is.Equal(as[Unknown](p, outcome).ID, "mine")
	})
}
