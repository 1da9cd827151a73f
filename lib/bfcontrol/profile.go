package bfcontrol

import (
	"time"

	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfrecover"
	"bilberryflow.org/lib/bfspread"
)

// Profile is a set of control settings that were measured together; every node
// of a fleet runs the same one.
type Profile struct {
	Members bfmember.Options
	Spread  bfspread.Options
	Recover bfrecover.Settings
}

// patience is longer than a process takes to start: after a herd's start the
// witnesses are silent for a moment, and a start that does not wait for them
// holds its versions back until every older note has lapsed.
const patience = 5 * time.Second

// Convergence is the profile for a fleet that weighs convergence time more.
func Convergence() Profile {
	p := Profile{Members: bfmember.Convergence(), Spread: bfspread.Convergence(), Recover: bfrecover.DefaultSettings()}
	p.Recover.WitnessTimeout = patience
	// Five witnesses lose two and still note a version at once; three lose one,
	// and after two lost machines some node would wait until its notes lapse.
	p.Recover.Witnesses, p.Recover.Candidates = 5, 9
	return p
}

// Bytes is the profile for a fleet that weighs control bytes more.
func Bytes() Profile {
	p := Profile{Members: bfmember.Bytes(), Spread: bfspread.Bytes(), Recover: bfrecover.DefaultSettings()}
	p.Recover.WitnessTimeout = patience
	p.Recover.Mode = bfrecover.BytesFirst
	return p
}
