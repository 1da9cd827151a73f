package bfcontrol

import (
	"time"

	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfspread"
)

// Profile is a set of control settings that were measured together.
type Profile struct {
	Members bfmember.Options
	Spread  bfspread.Options
	// NoteAtOnce tells witnesses of a version at once instead of with the next heartbeat.
	NoteAtOnce bool
	// NoteInterval is the time between two heartbeats to the witnesses.
	NoteInterval time.Duration
}

// Convergence is the profile for a fleet that weighs convergence time more.
func Convergence() Profile {
	return Profile{
		Members: bfmember.Convergence(), Spread: bfspread.Convergence(),
		NoteAtOnce: true, NoteInterval: 5 * time.Second,
	}
}

// Bytes is the profile for a fleet that weighs control bytes more.
func Bytes() Profile {
	return Profile{
		Members: bfmember.Bytes(), Spread: bfspread.Bytes(),
		NoteInterval: 5 * time.Second,
	}
}
