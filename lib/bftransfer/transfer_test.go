package bftransfer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfpace"
)

var terms = Terms{Body: bfpace.Terms{Rate: 1000, Pause: 500 * time.Millisecond}, AnswerPause: 2 * time.Second}

// newSet returns a set and a function that advances its time.
func newSet() (*Set, func(time.Duration)) {
	now := time.Unix(1, 0)
	return NewSet(terms, func() time.Time { return now }), func(d time.Duration) { now = now.Add(d) }
}

// Guards against ending a body that arrives at its pace, and against keeping one that stops.
func TestLateBodies(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		is := is.New(t)
		set, advance := newSet()
		transfer := set.Begin()
		transfer.AwaitBody(func() {})
		for range 10 {
			advance(100 * time.Millisecond)
			if arrives {
				transfer.BodyArrived(100)
			}
		}
		set.StartEnding(1)
		is.Equal(transfer.WasLate(), !arrives)
	}
}

// Guards against ending requests whose target or node is to act, and against ending more than are waited for.
func TestOnlyTheLatestAreEnded(t *testing.T) {
	is := is.New(t)
	set, advance := newSet()
	var ended []string
	begin := func(name string) *Transfer {
		transfer := set.Begin()
		transfer.AwaitBody(func() {
			ended = append(ended, name)
			transfer.Done()
		})
		advance(100 * time.Millisecond)
		return transfer
	}
	complete := begin("complete")
	first, second := begin("first"), begin("second")
	reader := set.Begin()
	reader.AwaitReader(func() { ended = append(ended, "reader") })
	complete.Rest()
	advance(time.Second)
	set.EndLate(context.Background(), 1)
	is.Equal(ended, []string{"first"})
	set.EndLate(context.Background(), 5)
	is.Equal(ended, []string{"first", "second"})
	advance(time.Second)
	is.Equal(len(set.StartEnding(5)), 1)
	is.Equal(ended[len(ended)-1], "reader")
	is.Equal(set.Ended(), int64(3))
	is.True(first.WasLate() && second.WasLate() && !complete.WasLate())
}

// Guards against a request that waits without end for one that was ended, and still occupies the target.
func TestEndLateEndsWithItsContext(t *testing.T) {
	set, advance := newSet()
	transfer := set.Begin()
	transfer.AwaitBody(func() {})
	advance(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	set.EndLate(ctx, 1)
	is.New(t).True(ctx.Err() != nil)
}

// Guards against terms of zero that end every transfer.
func TestNoTermsEndNothing(t *testing.T) {
	set := NewSet(Terms{}, func() time.Time { return time.Unix(1, 0) })
	set.Begin().AwaitBody(func() { t.Error("ended") })
	set.StartEnding(1)
}
