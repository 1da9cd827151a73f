package bfshare

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a share that doesn't follow the events within a few dozen of them, or that
// leaves the range from 0 to 1.
func TestShareFollows(t *testing.T) {
	is := is.New(t)
	var s Share
	is.Equal(s.Value(), 0.0)
	for range 64 {
		s.Note(true)
	}
	is.True(s.Value() > 0.95 && s.Value() <= 1)
	for range 64 {
		s.Note(false)
	}
	is.True(s.Value() < 0.05)
	for range 400 {
		s.Note(true)
		s.Note(false)
		s.Note(false)
	}
	is.True(s.Value() > 0.25 && s.Value() < 0.4)
	is.Equal(NewFull().Value(), 1.0)
}
