package bfcaller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bftimer"
)

// Guards against ejecting a healthy target when the connection reaches a caller's
// short deadline before the context with the same deadline is done.
func TestDeadlinePassedBeforeContextDone(t *testing.T) {
	is := is.New(t)
	timer := bftimer.New(1)
	entry := &Entry{config: Config{Timer: timer}}
	unanswered := noAnswer{outcome: bfrecord.Unknown{}}
	resultOf := func(shortDeadline bool, deadline time.Time) bfchoice.Result {
		c := &call{entry: entry, shortDeadline: shortDeadline, deadline: deadline}
		return (&pendingAttempt{call: c, callerCtx: context.Background()}).targetResult(unanswered)
	}
	past, ahead := timer.Now().Add(-time.Millisecond), timer.Now().Add(time.Minute)
	is.Equal(resultOf(true, past), bfchoice.Cancelled)
	is.Equal(resultOf(true, ahead), bfchoice.Failure)
	is.Equal(resultOf(false, past), bfchoice.Failure) // the target exceeded the policy's own deadline
}
