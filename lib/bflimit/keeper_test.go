package bflimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit that ends with an answer which was sent before it, that outlives its
// target, or that is not noticed.
func TestLimitFollowsTheLatestAnswer(t *testing.T) {
	is := is.New(t)
	var k Keeper
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	first := Start{Incarnation: "a"}
	again := Start{Incarnation: "a", Started: at(0)}
	for _, step := range []struct {
		name      string
		start     Start
		said      Statement
		sent, now int
		changed   bool
	}{
		{"no limit", first, Unlimited{}, 1, 2, false},
		{"named", first, PerSecond(8), 1, 3, true},
		{"named again", first, PerSecond(8), 2, 4, false},
		{"an answer to an earlier request", first, Unlimited{}, 3, 5, false},
		{"changed", first, PerSecond(6.5), 4, 6, true},
		{"withdrawn", first, Unlimited{}, 7, 8, true},
		{"named anew", first, PerSecond(2), 8, 9, true},
		{"the target started anew", again, Unlimited{}, 8, 10, false},
		{"and names a limit", again, PerSecond(2), 9, 11, true},
	} {
		if changed := k.Observe(step.start, step.said, at(step.sent), at(step.now)); changed != step.changed {
			t.Fatalf("%s: changed %v", step.name, changed)
		}
	}
	is.Equal(k.limit, PerSecond(2))
}
