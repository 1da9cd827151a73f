package bfrecord

// Verdict is the decision on an arrival. It is a sealed interface: Run, Barred,
// StillRunning, Replay, TooLate, Mismatch, HomeChanged or Full.
type Verdict interface{ verdict() }

// Run means that this arrival, and no other of its ID, is to be run.
type Run struct{}

// Barred means that the request never ran and is permanently rejected.
type Barred struct{}

// StillRunning means that an earlier arrival of the ID is still running.
type StillRunning struct{}

// Replay returns the result of an earlier arrival of the ID.
type Replay struct{ answer Answer }

// Answer returns the recorded result.
func (r Replay) Answer() Answer { return r.answer }

// TooLate means that the record of the ID may have been dropped; the arrival is not run.
type TooLate struct{}

// Mismatch means that the ID is registered with other content; the arrival is not run.
type Mismatch struct{}

// HomeChanged means that the arrival was sent to another incarnation; it is not run.
type HomeChanged struct{ home NodeIncarnation }

// Home returns the responding incarnation.
func (h HomeChanged) Home() NodeIncarnation { return h.home }

// Full means that a limit of the Tracker is reached; the arrival is not run.
type Full struct{}

func (Run) verdict()          {}
func (Barred) verdict()       {}
func (StillRunning) verdict() {}
func (Replay) verdict()       {}
func (TooLate) verdict()      {}
func (Mismatch) verdict()     {}
func (HomeChanged) verdict()  {}
func (Full) verdict()         {}

// Resolution is the state of a request at its home. It is a sealed interface:
// NeverSeen, Running, Finished, Forgotten or HomeLost.
type Resolution interface{ resolution() }

// NeverSeen means that the request was never forwarded to the target and is permanently barred.
type NeverSeen struct{}

// Running means that the request is still running.
type Running struct{}

// Finished holds the result of a completed request.
type Finished struct{ answer Answer }

// Answer returns the result.
func (f Finished) Answer() Answer { return f.answer }

// Forgotten means that the request's record may have been dropped, or that a limit prevented barring the request.
type Forgotten struct{}

// HomeLost means that the queried incarnation has ended and its records are lost.
type HomeLost struct{ home NodeIncarnation }

// Home returns the responding incarnation.
func (h HomeLost) Home() NodeIncarnation { return h.home }

func (NeverSeen) resolution() {}
func (Running) resolution()   {}
func (Finished) resolution()  {}
func (Forgotten) resolution() {}
func (HomeLost) resolution()  {}
