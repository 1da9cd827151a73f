package bfrecover

import "time"

// Mode says what a node weighs more when it has a new version to note.
type Mode int

const (
	// ConvergenceFirst notes each version at once.
	ConvergenceFirst Mode = iota
	// BytesFirst has notes wait for the next heartbeat to the witness, many versions in one.
	BytesFirst
)

// Settings are the numbers of this package; every node of a fleet has the same ones.
type Settings struct {
	Mode Mode
	// Witnesses is how many a node has, Asked how many candidates it asks after a restart.
	Witnesses, Asked int
	// Lapse is how long a note counts after it was last refreshed.
	Lapse time.Duration
	// Margin bounds the delay of messages and the drift of clocks within Lapse.
	Margin time.Duration
	// Refresh is how often a node repeats its note, Resend how often one that is not acknowledged.
	Refresh, Resend time.Duration
	// MaxPause is how long a witness may go without a tick before it counts as restarted.
	MaxPause time.Duration
	// Patience is how long a start waits for witnesses once it has the table's head.
	Patience time.Duration
	// MaxNotes bounds how many instances one witness notes.
	MaxNotes int
}

// DefaultSettings are those of a fleet.
func DefaultSettings() Settings {
	return Settings{
		Witnesses: 3, Asked: 7,
		Lapse: 2 * time.Minute, Margin: 10 * time.Second,
		Refresh: 20 * time.Second, Resend: time.Second,
		MaxPause: 5 * time.Second, Patience: 2 * time.Second,
		MaxNotes: 4_096,
	}
}
