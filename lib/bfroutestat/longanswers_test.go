package bfroutestat

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against routes that count as ones with long answers for good, or not at all.
func TestLongAnswersAreRememberedForAMinute(t *testing.T) {
	is := is.New(t)
	var l LongAnswers
	now := time.Unix(1, 0)
	is.True(!l.Has("a", now))
	l.Note("a", true, now)
	l.Note("b", false, now)
	is.True(l.Has("a", now.Add(longAnswerMemory)))
	is.True(!l.Has("b", now))
	l.Note("a", false, now.Add(time.Second))
	is.True(!l.Has("a", now.Add(longAnswerMemory+1)))
}
