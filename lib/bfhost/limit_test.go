package bfhost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bflimit"
)

// Guards against a limit that ends with an answer which was sent before it, that outlives its
// target, or that is not noticed.
func TestLimitFollowsTheLatestAnswer(t *testing.T) {
	is := is.New(t)
	var l targetLimit
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	first := &Target{heartbeat: Heartbeat{Incarnation: "a"}}
	again := &Target{heartbeat: Heartbeat{Incarnation: "a", Started: at(0)}}
	for _, step := range []struct {
		name      string
		target    *Target
		said      bflimit.Statement
		sent, now int
		changed   bool
	}{
		{"no limit", first, bflimit.Unlimited{}, 1, 2, false},
		{"named", first, bflimit.PerSecond(8), 1, 3, true},
		{"named again", first, bflimit.PerSecond(8), 2, 4, false},
		{"an answer to an earlier request", first, bflimit.Unlimited{}, 3, 5, false},
		{"changed", first, bflimit.PerSecond(6.5), 4, 6, true},
		{"withdrawn", first, bflimit.Unlimited{}, 7, 8, true},
		{"named anew", first, bflimit.PerSecond(2), 8, 9, true},
		{"the target started anew", again, bflimit.Unlimited{}, 8, 10, false},
		{"and names a limit", again, bflimit.PerSecond(2), 9, 11, true},
	} {
		if changed := l.observe(step.target, step.said, at(step.sent), at(step.now)); changed != step.changed {
			t.Fatalf("%s: changed %v", step.name, changed)
		}
	}
	is.Equal(l.limit, bflimit.PerSecond(2))
}
