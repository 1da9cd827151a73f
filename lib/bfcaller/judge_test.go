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

// A caller gives a millisecond, and the connection to the target's node ends at its
// deadline. The machine is busy: the context of the same deadline has not been woken
// yet and tells of no end. Judged by the context alone, a few such callers in a row
// would have a target that works set aside.
func TestHurriedCallerIsOverBeforeItsContextSaysSo(t *testing.T) {
	is := is.New(t)
	timer := bftimer.New(1)
	entry := &Entry{parts: Parts{Timer: timer}}
	ended := settled{outcome: bfrecord.Unknown{}}
	judged := func(hurried bool, deadline time.Time) bfchoice.Result {
		c := &call{entry: entry, hurried: hurried, deadline: deadline}
		return (&sending{call: c, caller: context.Background()}).judge(ended)
	}
	past, ahead := timer.Now().Add(-time.Millisecond), timer.Now().Add(time.Minute)
	is.Equal(judged(true, past), bfchoice.Cancelled)
	is.Equal(judged(true, ahead), bfchoice.Failure)
	is.Equal(judged(false, past), bfchoice.Failure) // the policy's own time was too short for the target
}
