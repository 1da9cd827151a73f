package bfcontrol

import (
	"time"

	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfrecover"
	"bilberryflow.org/lib/bfspread"
)

// Profile is a consistent set of control plane settings; all nodes of a fleet must use the same one.
type Profile struct {
	Members bfmember.Options
	Spread  bfspread.Options
	Recover bfrecover.Settings
}

// witnessTimeout exceeds the start time of a process. When many nodes start at once,
// witnesses don't answer at first; a start that doesn't wait for them delays
// its versions until every older note expires.
const witnessTimeout = 5 * time.Second

// FastConvergenceProfile returns the profile that favors fast convergence over control traffic.
func FastConvergenceProfile() Profile {
	p := Profile{Members: bfmember.FastConvergenceProfile(), Spread: bfspread.FastConvergenceProfile(), Recover: bfrecover.DefaultSettings()}
	p.Recover.WitnessTimeout = witnessTimeout
	// Five witnesses tolerate the loss of two without delay. Three tolerate
	// only one: after the loss of two machines a node could have to wait until notes expire.
	p.Recover.Witnesses, p.Recover.Candidates = 5, 9
	return p
}

// LowTrafficProfile returns the profile that favors low control traffic over fast convergence.
func LowTrafficProfile() Profile {
	p := Profile{Members: bfmember.LowTrafficProfile(), Spread: bfspread.LowTrafficProfile(), Recover: bfrecover.DefaultSettings()}
	p.Recover.WitnessTimeout = witnessTimeout
	p.Recover.Mode = bfrecover.BytesFirst
	return p
}
