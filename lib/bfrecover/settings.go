package bfrecover

import "time"

// Mode selects when a node sends the note of a new version.
type Mode int

const (
	// ConvergenceFirst sends a note for each version at once.
	ConvergenceFirst Mode = iota
	// BytesFirst sends one note, for all versions since the last one, with the next
	// heartbeat to the witness.
	BytesFirst
)

// Settings configures this package; all nodes of a fleet must use the same settings.
type Settings struct {
	Mode Mode
	// Witnesses is the number of witnesses of a node, Candidates the number of members
	// it asks after a restart.
	Witnesses, Candidates int
	// NoteTTL is the time after its last refresh at which a note expires.
	NoteTTL time.Duration
	// Margin bounds the message delay and the clock drift during NoteTTL.
	Margin time.Duration
	// RefreshInterval is the interval at which a node repeats an acknowledged note,
	// ResendInterval that for a note without an ack.
	RefreshInterval, ResendInterval time.Duration
	// MaxPause is the time without a tick after which a witness drops its notes.
	MaxPause time.Duration
	// WitnessTimeout is how long a start waits for witnesses after it has the table's head.
	WitnessTimeout time.Duration
	// MaxNotes bounds the number of instances that one witness notes.
	MaxNotes int
}

// DefaultSettings returns the settings that the profiles of a fleet start from.
func DefaultSettings() Settings {
	return Settings{
		Witnesses: 3, Candidates: 7,
		NoteTTL: 2 * time.Minute, Margin: 10 * time.Second,
		RefreshInterval: 20 * time.Second, ResendInterval: time.Second,
		MaxPause: 5 * time.Second, WitnessTimeout: 2 * time.Second,
		MaxNotes: 4_096,
	}
}
