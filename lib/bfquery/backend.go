package bfquery

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery/bfcensus"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// Backend is the interface of a node to commands.
//
// An error from a method that writes means that nothing was written, unless it is
// a *bfstore.UnknownError. Confirm reports an unknown result as the outcome Unknown.
type Backend interface {
	// Now returns the time of the node's clock.
	Now() time.Time
	// Wait blocks for d, or returns the context's error if it ends earlier.
	Wait(ctx context.Context, d time.Duration) error
	// CheckCommand returns an error if the node can't execute the command, else nil.
	CheckCommand(command bfsyntax.Command) error
	// State returns the node's current configuration, which is empty before it has started.
	State() *bfconfig.State

	// Stage stores a staged change for all nodes. A retry of the same request
	// returns the change staged before; if the name is taken by another change,
	// Stage returns a *StagedExistsError.
	Stage(ctx context.Context, request StageRequest) (StagedChange, error)
	// StagedList lists the staged changes by name.
	StagedList(ctx context.Context) ([]StagedChange, error)
	// Discard deletes a staged change, or returns a *NotStagedError.
	Discard(ctx context.Context, name string) error
	// Confirm commits a staged change under the ID. It must read the ID's row and
	// the staged row in one consistent snapshot, the ID first, and its transaction
	// must verify that the staged row is unchanged: clients take a refusal or a
	// conflict as final for every earlier confirm with that ID.
	Confirm(ctx context.Context, name, changeID, author string) (ConfirmOutcome, error)

	// History lists the latest versions that put or removed the object, newest first.
	History(ctx context.Context, ref bfconfig.Ref, limit int) (History, error)
	// VersionOps returns the operations of a version, or a *NoVersionError.
	VersionOps(ctx context.Context, version bfconfig.Version) ([]bfconfig.Op, error)
	// Versions lists the latest versions, newest first.
	Versions(ctx context.Context, limit int) ([]VersionInfo, error)

	// Members lists the members in the node's membership view.
	Members(ctx context.Context) ([]Member, error)
	// Targets lists the targets in the node's view.
	Targets(ctx context.Context) ([]Target, error)
	// Nodes lists the nodes with the last version reported for each.
	Nodes(ctx context.Context) ([]Node, error)
	// Census counts the versions in force in the scope, or returns a
	// *NoMembersError or a *NoInstanceError.
	Census(ctx context.Context, scope bfsyntax.Scope) (bfcensus.Census, error)
	// Explain reports how a request would be routed.
	Explain(ctx context.Context, request ExplainRequest) (Explanation, error)
	// Drain stops new work on a target, or returns a *NoInstanceError.
	Drain(ctx context.Context, instance string) error
	// Quarantine lists the requests during which targets crashed.
	Quarantine() []bfquarantine.Item
	// Workspaces lists the workspaces of the version in force on the node, sorted by name.
	Workspaces() []Workspace
	// Release releases a request from quarantine, or returns an *UnknownContentError.
	Release(content string) error
}

// StageRequest is the argument of Backend.Stage.
type StageRequest struct {
	Name string
	// ChangeID identifies the request, which makes retries idempotent.
	ChangeID string
	Author   string
	// Base is the state that the operations were computed from. A confirm must
	// compare revisions with Base and not with a newer state, or it would
	// overwrite concurrent changes without a conflict.
	Base *bfconfig.State
	Ops  []bfconfig.Op
}

// StagedChange is a stored change that is not yet confirmed.
type StagedChange struct {
	Name     string
	ChangeID string
	Author   string
	At       time.Time
	// Base is the version that the operations were computed from.
	Base bfconfig.Version
	Ops  []bfconfig.Op
}

// ConfirmOutcome is the sealed set of outcomes of a confirm: Committed,
// AlreadyCommitted, Conflict, NotAccepted and Unknown.
type ConfirmOutcome interface{ confirmOutcome() }

// Committed reports the version that this confirm created.
type Committed struct{ Version bfconfig.Version }

// AlreadyCommitted reports the version that an earlier confirm with the same ID created.
type AlreadyCommitted struct{ Version bfconfig.Version }

// Conflict reports that another change of the object was committed first; nothing was written.
type Conflict struct {
	Object   bfconfig.Ref
	Version  bfconfig.Version
	ChangeID string
	Author   string
}

// NotAccepted reports that this confirm wrote nothing and may be retried.
type NotAccepted struct {
	Reason     string
	RetryAfter time.Duration
}

// Unknown reports that the node could not determine whether its write took effect.
type Unknown struct{ ChangeID string }

func (Committed) confirmOutcome()        {}
func (AlreadyCommitted) confirmOutcome() {}
func (Conflict) confirmOutcome()         {}
func (NotAccepted) confirmOutcome()      {}
func (Unknown) confirmOutcome()          {}

// History is the list of versions that changed an object.
type History struct {
	Items []HistoryItem
	// Complete is false if there may be older versions than the last item.
	Complete bool
}

// HistoryItem is the operation of one version on an object.
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

// Member is an instance in the membership view.
type Member struct {
	Instance    string
	Service     string
	Region      string
	Domain      string
	Address     string
	State       string
	Incarnation uint64
}

// Target is the node's view of a target.
type Target struct {
	Instance string
	Service  string
	Domain   string
	State    string
	Slots    int
	InUse    int
	Queued   int
}

// Workspace is a workspace without its API keys.
type Workspace struct {
	Name string
	// Rank is the priority of its requests if HasRank is set; else that of the route applies.
	Rank    int
	HasRank bool
	// Rate and Burst are its quota over all nodes, 0 for no limit.
	Rate, Burst int
	// Keys is the number of its API keys.
	Keys int
}

// Node is a node with the last version reported for it.
type Node struct {
	Instance  string
	Region    string
	Domain    string
	Version   bfconfig.Version
	Reachable bool
	// Age is the time since the last report.
	Age time.Duration
}

// ExplainRequest describes the request to explain.
type ExplainRequest struct {
	Method string
	Path   string
	Tenant string
	At     time.Time
}

// Explanation describes how a request would be routed. A name that does not apply is empty.
type Explanation struct {
	Version bfconfig.Version
	Route   string
	Service string
	Policy  string
	Event   string
	// Reasons describe the routing decisions in order.
	Reasons    []string
	Candidates []Candidate
}

// Candidate is a target that could receive the request.
type Candidate struct {
	Target Target
	// Eligible is false if the target currently gets no new work.
	Eligible bool
	Why      string
}
