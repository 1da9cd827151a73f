package bftransfer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

var terms = Terms{BodyRate: 1000, BodyPause: 500 * time.Millisecond, AnswerPause: 2 * time.Second}

// newSet returns a set and a function that advances its time.
func newSet() (*Set, func(time.Duration)) {
	now := time.Unix(1, 0)
	return NewSet(terms, func() time.Time { return now }), func(d time.Duration) { now = now.Add(d) }
}

// Guards against ending a body that arrives at the rate, and against keeping one that stops or trickles
// although it was fast before.
func TestLateBodies(t *testing.T) {
	for _, test := range []struct {
		name string
		// pieces are the bytes that arrive every 100 ms.
		pieces []int
		late   bool
	}{
		{"at the rate", []int{100, 100, 100, 100, 100, 100, 100, 100, 100, 100}, false},
		{"fast", []int{100_000, 100_000, 100_000, 100_000}, false},
		{"fast, then pauses", []int{100_000, 0, 0, 0, 0}, false},
		{"fast, then stops", []int{1_000_000, 0, 0, 0, 0, 0}, true},
		{"fast, then trickles", []int{1_000_000, 1, 1, 1, 1, 1, 1}, true},
		{"never begins", []int{0, 0, 0, 0, 0}, true},
		{"trickles", []int{1, 1, 1, 1, 1, 1}, true},
		{"stops, then goes on", []int{0, 0, 0, 0, 0, 0, 0, 10_000}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			set, advance := newSet()
			transfer := set.Begin()
			ended := false
			transfer.AwaitBody(func() { ended = true })
			for _, bytes := range test.pieces {
				advance(100 * time.Millisecond)
				if bytes > 0 {
					transfer.BodyArrived(bytes)
				}
			}
			set.StartEnding(1)
			is.New(t).Equal(ended, test.late)
			is.New(t).Equal(transfer.WasLate(), test.late)
		})
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
