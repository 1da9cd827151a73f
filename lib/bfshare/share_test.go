package bfshare

import (
	"testing"

	"github.com/matryer/is"
)

// A share follows what happens within a few dozen events, in both directions, and
// stays between nothing and all.
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
	is.Equal(Full().Value(), 1.0)
}
