package bfquery

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery/bfcensus"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// Backend is what a node offers to commands.
//
// An error from a method that writes means that certainly nothing was written;
// where that is not known it is a bfstore.UnknownError, or from Confirm the
// outcome Unknown.
type Backend interface {
	// Now is the time by the node's clock.
	Now() time.Time
	// Wait returns after d, or earlier with the context's error.
	Wait(ctx context.Context, d time.Duration) error
	// Refuses reports why the node can't carry out a command, nil where it can.
	Refuses(command bfsyntax.Command) error
	// State is the version that the node holds, an empty one before it has started.
	State() *bfconfig.State

	// Stage keeps a staged change where every node can confirm it. The same
	// request again finds what it staged before; another change under the name
	// is refused with a StagedExistsError.
	Stage(ctx context.Context, request StageRequest) (StagedChange, error)
	// StagedList lists the staged changes by name.
	StagedList(ctx context.Context) ([]StagedChange, error)
	// Discard drops a staged change, or fails with a NotStagedError.
	Discard(ctx context.Context, name string) error
	// Confirm commits a staged change under the ID. It reads the ID's row and the
	// staged row as of one moment, the ID first, and its transaction holds the
	// staged row to what it read: clients take a refusal or a conflict as the
	// word on every earlier confirm with that ID.
	Confirm(ctx context.Context, name, changeID, author string) (ConfirmOutcome, error)

	// History lists the newest versions that put or removed the object, newest first.
	History(ctx context.Context, ref bfconfig.Ref, limit int) (History, error)
	// VersionOps are the operations of a version, or a NoVersionError.
	VersionOps(ctx context.Context, version bfconfig.Version) ([]bfconfig.Op, error)
	// Versions lists the newest versions, newest first.
	Versions(ctx context.Context, limit int) ([]VersionInfo, error)

	// Members lists the members that the node knows.
	Members(ctx context.Context) ([]Member, error)
	// Targets lists the targets that the node knows.
	Targets(ctx context.Context) ([]Target, error)
	// Nodes lists the nodes with the version that each was last heard to hold.
	Nodes(ctx context.Context) ([]Node, error)
	// Census counts the versions in force in the scope, or fails with a
	// NoMembersError or a NoInstanceError.
	Census(ctx context.Context, scope bfsyntax.Scope) (bfcensus.Census, error)
	// Explain tells how a request would be treated.
	Explain(ctx context.Context, request ExplainRequest) (Explanation, error)
	// Drain makes a target leave, or fails with a NoInstanceError.
	Drain(ctx context.Context, instance string) error
	// Quarantine lists the requests under which targets ended.
	Quarantine() []bfquarantine.Item
	// Release has a request run again, or fails with a NoContentError.
	Release(content string) error
}

// StageRequest is a change to be staged.
type StageRequest struct {
	Name string
	// ChangeID names this staging, so that it can be sent again.
	ChangeID string
	Author   string
	// Base is the state that the operations were made from. The revisions that
	// a confirm holds the change to are those in Base, never in a newer state:
	// an object changed in between would else be overwritten unseen.
	Base *bfconfig.State
	Ops  []bfconfig.Op
}

// StagedChange is a change that waits to be confirmed.
type StagedChange struct {
	Name     string
	ChangeID string
	Author   string
	At       time.Time
	// Base is the version that the operations were made from.
	Base bfconfig.Version
	Ops  []bfconfig.Op
}

// ConfirmOutcome is the sealed set of ends of a confirm: Committed,
// AlreadyCommitted, Conflict, NotAccepted and Unknown.
type ConfirmOutcome interface{ confirmOutcome() }

// Committed reports the version that this confirm made.
type Committed struct{ Version bfconfig.Version }

// AlreadyCommitted reports the version that an earlier confirm with the ID made.
type AlreadyCommitted struct{ Version bfconfig.Version }

// Conflict reports another change that came first; nothing was written.
type Conflict struct {
	Object   bfconfig.Ref
	Version  bfconfig.Version
	ChangeID string
	Author   string
}

// NotAccepted reports that this confirm wrote nothing and may be repeated.
type NotAccepted struct {
	Reason     string
	RetryAfter time.Duration
}

// Unknown reports that the node could not learn whether its write took effect.
type Unknown struct{ ChangeID string }

func (Committed) confirmOutcome()        {}
func (AlreadyCommitted) confirmOutcome() {}
func (Conflict) confirmOutcome()         {}
func (NotAccepted) confirmOutcome()      {}
func (Unknown) confirmOutcome()          {}

// History is an object's past.
type History struct {
	Items []HistoryItem
	// Complete is false if older versions than the last item are no longer kept.
	Complete bool
}

// HistoryItem is what one version did to an object.
type HistoryItem struct {
	Version  bfconfig.Version
	At       time.Time
	Author   string
	ChangeID string
	Op       bfconfig.Op
}

// VersionInfo is one committed version.
type VersionInfo struct {
	Version  bfconfig.Version
	At       time.Time
	Author   string
	ChangeID string
	Objects  []bfconfig.Ref
}

// Member is an instance as membership knows it.
type Member struct {
	Instance    string
	Service     string
	Region      string
	Domain      string
	Address     string
	State       string
	Incarnation uint64
}

// Target is a target as the node sees it.
type Target struct {
	Instance string
	Service  string
	Domain   string
	State    string
	Slots    int
	InUse    int
	Queued   int
}

// Node is a node with the version that it was last heard to hold.
type Node struct {
	Instance  string
	Region    string
	Domain    string
	Version   bfconfig.Version
	Reachable bool
	// Age is how long ago the node was heard of.
	Age time.Duration
}

// ExplainRequest is a request to be explained.
type ExplainRequest struct {
	Method string
	Path   string
	Tenant string
	At     time.Time
}

// Explanation is how a request would be treated; a name is empty where there is none.
type Explanation struct {
	Version bfconfig.Version
	Route   string
	Service string
	Policy  string
	Event   string
	// Reasons tell each choice in the order in which it was made.
	Reasons    []string
	Candidates []Candidate
}

// Candidate is a target that the request could be given to.
type Candidate struct {
	Target Target
	// Eligible is false if the target would get no new work now.
	Eligible bool
	Why      string
}
