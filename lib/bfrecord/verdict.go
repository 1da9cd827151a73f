package bfrecord

// Verdict is the sealed set of answers to an arrival: Run, Barred, StillRunning,
// Replay, TooLate, Mismatch, HomeChanged and Full.
type Verdict interface{ verdict() }

// Run says that this arrival, and no other of its ID, is to be run.
type Run struct{}

// Barred says that the request never ran and never will.
type Barred struct{}

// StillRunning says that an earlier arrival of the ID has not ended.
type StillRunning struct{}

// Replay gives the end of an earlier arrival of the ID.
type Replay struct{ answer Answer }

// Answer is what the first run came to.
func (r Replay) Answer() Answer { return r.answer }

// TooLate says that the ID is older than what the book can vouch for: this arrival is not run.
type TooLate struct{}

// Mismatch says that the ID is known with other content: this arrival is not run.
type Mismatch struct{}

// HomeChanged says that the arrival names another incarnation: it is not run here.
type HomeChanged struct{ home Home }

// Home is who answered.
func (h HomeChanged) Home() Home { return h.home }

// Full says that the book has no room for a new record: this arrival is not run.
type Full struct{}

func (Run) verdict()          {}
func (Barred) verdict()       {}
func (StillRunning) verdict() {}
func (Replay) verdict()       {}
func (TooLate) verdict()      {}
func (Mismatch) verdict()     {}
func (HomeChanged) verdict()  {}
func (Full) verdict()         {}

// Resolution is the sealed set of answers to "what became of it?": NeverSeen,
// Running, Finished, Forgotten and HomeLost.
type Resolution interface{ resolution() }

// NeverSeen says that the request was never handed to the target and is barred for good.
type NeverSeen struct{}

// Running says that the request has not ended.
type Running struct{}

// Finished gives the end of the request.
type Finished struct{ answer Answer }

// Answer is what the run came to.
func (f Finished) Answer() Answer { return f.answer }

// Forgotten says that the book can't vouch for an ID that old.
type Forgotten struct{}

// HomeLost says that the incarnation asked about is gone, and with it what it knew.
type HomeLost struct{ home Home }

// Home is who answered.
func (h HomeLost) Home() Home { return h.home }

func (NeverSeen) resolution() {}
func (Running) resolution()   {}
func (Finished) resolution()  {}
func (Forgotten) resolution() {}
func (HomeLost) resolution()  {}
