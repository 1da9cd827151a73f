package bfbackend

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// fakeControl is a Control with a configuration and no fleet.
type fakeControl struct{ state *bfconfig.State }

func (f *fakeControl) Self() string           { return "n1" }
func (f *fakeControl) State() *bfconfig.State { return f.state }
func (f *fakeControl) View() *bfroute.View    { return nil }
func (f *fakeControl) Order() *bfroster.Order { return bfroster.NewOrder(nil) }
func (f *fakeControl) KnownVersions(context.Context) (map[uint64]bfconfig.Version, map[uint64]time.Duration, error) {
	return nil, nil, nil
}
func (f *fakeControl) Census(context.Context, time.Duration) (bfcount.Tally, error) {
	return bfcount.Tally{}, nil
}
func (f *fakeControl) PublishDelta(_ context.Context, data []byte) error {
	delta, err := bfconfig.DecodeDelta(data)
	if err == nil {
		f.state, err = f.state.Apply(delta)
	}
	return err
}

// hookedTable runs hook before the first read of a key, to interleave another operation.
type hookedTable struct {
	bfstore.Table
	before string
	hook   func()
}

func (h *hookedTable) Get(ctx context.Context, keys ...string) ([]bfstore.Row, error) {
	if hook := h.hook; hook != nil && len(keys) == 1 && keys[0] == h.before {
		h.hook = nil
		hook()
	}
	return h.Table.Get(ctx, keys...)
}

// lostReplies performs each commit and loses its reply.
type lostReplies struct{ bfstore.Table }

func (l lostReplies) Commit(ctx context.Context, tx bfstore.Transaction) error {
	if err := l.Table.Commit(ctx, tx); err != nil {
		return err
	}
	return &bfstore.UnknownError{Reason: "connection cut"}
}

func newBackend(t *testing.T, table bfstore.Table, objects bfstore.ObjectStore) *Backend {
	group := bfgroup.New(context.Background())
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	t.Cleanup(func() { group.Cancel(); _ = group.Wait() })
	return New(Config{
		Control: &fakeControl{state: bfconfig.Empty()}, Table: table, Objects: objects, Timer: timer,
		Logger: bflog.Discard(), SnapshotEvery: 2, Spawn: group.Go,
	})
}

func service(name string) []bfconfig.Op {
	return []bfconfig.Op{bfconfig.Put{Object: bfconfig.ServiceSpec{Name: name, Slots: 1}}}
}

func stage(t *testing.T, b *Backend, name, id string) {
	t.Helper()
	_, err := b.Stage(context.Background(), bfquery.StageRequest{Name: name, ChangeID: id, Author: "anna", Base: b.State(), Ops: service(name)})
	is.New(t).NoErr(err)
}

func TestStageConfirmAndHistory(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := bfstore.NewMemory()
	b := newBackend(t, memory, memory)
	stage(t, b, "a", "s1")
	stage(t, b, "a", "s1") // a retry of the same request
	_, err := b.Stage(ctx, bfquery.StageRequest{Name: "a", ChangeID: "s2", Author: "ben", Base: b.State(), Ops: service("b")})
	var exists *bfquery.StagedExistsError
	is.True(errors.As(err, &exists))
	is.Equal(exists.Author, "anna")
	outcome, err := b.Confirm(ctx, "a", "c1", "anna")
	is.NoErr(err)
	is.Equal(outcome, bfquery.Committed{Version: 1})
	list, err := b.StagedList(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	stage(t, b, "a2", "s3")
	is.NoErr(b.Discard(ctx, "a2"))
	_, err = b.Confirm(ctx, "a2", "c2", "anna")
	var gone *bfquery.NotStagedError
	is.True(errors.As(err, &gone))
	history, err := b.History(ctx, bfconfig.Ref{Kind: bfconfig.KindService, Name: "a"}, 10)
	is.NoErr(err)
	is.Equal(len(history.Items), 1)
	is.True(history.Complete)
}

// The reply to a confirm is lost, and the confirm is retried with the same ID through another
// node. The retry must find the committed version and not commit a second one, although the
// name is free again by then.
func TestConfirmRetriedThroughAnotherNode(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := bfstore.NewMemory()
	first := newBackend(t, memory, memory)
	stage(t, first, "a", "s1")
	_, err := first.Confirm(ctx, "a", "c1", "anna")
	is.NoErr(err)
	second := newBackend(t, memory, memory)
	outcome, err := second.Confirm(ctx, "a", "c1", "anna")
	is.NoErr(err)
	is.Equal(outcome, bfquery.AlreadyCommitted{Version: 1})
	versions, err := second.Versions(ctx, 10)
	is.NoErr(err)
	is.Equal(len(versions), 1)
}

// A retry finds no record of the confirm; then the original commits and frees the name, and the
// retry looks up the name. It must not report "not staged", since the version exists.
func TestConfirmRetriedWhileTheFirstCommits(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := bfstore.NewMemory()
	first := newBackend(t, memory, memory)
	stage(t, first, "a", "s1")
	table := &hookedTable{Table: memory, before: nameKey("a"), hook: func() {
		_, err := first.Confirm(ctx, "a", "c1", "anna")
		is.NoErr(err)
		first.freeName(ctx, "a", "s1")
	}}
	second := newBackend(t, table, memory)
	outcome, err := second.Confirm(ctx, "a", "c1", "anna")
	is.NoErr(err)
	is.Equal(outcome, bfquery.AlreadyCommitted{Version: 1})
}

// All replies of the table are lost. The outcome must state that no commit was attempted,
// rather than an unknown outcome, and no version may exist.
func TestConfirmWithLostReplies(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := bfstore.NewMemory()
	b := newBackend(t, memory, memory)
	stage(t, b, "a", "s1")
	b.config.Table = lostReplies{memory}
	outcome, err := b.Confirm(ctx, "a", "c1", "anna")
	is.NoErr(err)
	is.Equal(outcome, bfquery.NotAccepted{Reason: "no commit was attempted: the platform's responses are being lost"})
	versions, err := b.Versions(ctx, 10)
	is.NoErr(err)
	is.Equal(len(versions), 0)
}

// A confirmed name is reused for a new change before the first confirm is retried. The retry
// must report on its own change and leave the new one staged.
func TestRetriedConfirmIgnoresReusedName(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := bfstore.NewMemory()
	b := newBackend(t, memory, memory)
	stage(t, b, "a", "s1")
	_, err := b.Confirm(ctx, "a", "c1", "anna")
	is.NoErr(err)
	b.freeName(ctx, "a", "s1")
	_, err = b.Stage(ctx, bfquery.StageRequest{Name: "a", ChangeID: "s2", Author: "ben", Base: b.State(), Ops: service("z")})
	is.NoErr(err)
	outcome, err := b.Confirm(ctx, "a", "c1", "anna")
	is.NoErr(err)
	is.Equal(outcome, bfquery.AlreadyCommitted{Version: 1})
	list, err := b.StagedList(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
}
