package bfsyntax

import (
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// Command is the sealed set of commands: Stage, Show, Diff, Confirm, Discard,
// InForce, Explain, History, Undo, Drain, Release, Watch and Help.
type Command interface {
	// String returns the canonical text, which parses to the same command.
	String() string
	command()
}

// Stage collects edits into a staged change.
type Stage struct {
	Name  string
	Edits []Edit
}

// Edit is the sealed set of edits of one object in a staged change: Create, Change and Remove.
type Edit interface {
	// Ref returns the object edited.
	Ref() bfconfig.Ref
	// String returns the canonical text.
	String() string
}

// Create creates an object that must not exist.
type Create struct {
	Name   string
	Fields Fields
}

// Change sets the given fields of an object that must exist.
type Change struct {
	Name   string
	Fields Fields
}

// Remove deletes an object that must exist.
type Remove struct{ Object bfconfig.Ref }

// Ref returns the object created.
func (e Create) Ref() bfconfig.Ref { return bfconfig.Ref{Kind: e.Fields.Kind(), Name: e.Name} }

// Ref returns the object changed.
func (e Change) Ref() bfconfig.Ref { return bfconfig.Ref{Kind: e.Fields.Kind(), Name: e.Name} }

// Ref returns the object removed.
func (e Remove) Ref() bfconfig.Ref { return e.Object }

// Show lists the rows of a table.
type Show struct {
	Table TableName
	// Where is nil for all rows.
	Where Condition
	// Order is nil for the table's default order.
	Order *Order
	// Limit is 0 for no limit.
	Limit int
}

// Order is a sort order by one column.
type Order struct {
	Column     string
	Descending bool
}

// Condition is the sealed set of row filters: And, Or, Not and Comparison.
type Condition interface{ condition() }

// And is true if all its terms are; there are two or more.
type And struct{ Terms []Condition }

// Or is true if at least one of its terms is; there are two or more.
type Or struct{ Terms []Condition }

// Not negates its term.
type Not struct{ Term Condition }

// Comparison compares the cell of a column with a value.
type Comparison struct {
	Column   string
	Operator Operator
	Value    bfresult.Cell
}

// Operator is a comparison operator.
type Operator string

// The comparison operators. Matches takes an RE2 regular expression.
const (
	Equal          Operator = "="
	NotEqual       Operator = "!="
	Less           Operator = "<"
	LessOrEqual    Operator = "<="
	Greater        Operator = ">"
	GreaterOrEqual Operator = ">="
	Matches        Operator = "~"
)

// Diff lists the fields that a staged change would alter.
type Diff struct{ Name string }

// Confirm commits a staged change.
type Confirm struct {
	Name string
	// ChangeID is empty if the client generates one.
	ChangeID string
}

// Discard drops a staged change.
type Discard struct{ Name string }

// InForce reports the versions in force on the nodes in a scope.
type InForce struct{ Scope Scope }

// Scope is the sealed set of parts of the fleet: Everywhere, AtNode, InDomain and InRegion.
type Scope interface {
	// String returns the scope as written in a command.
	String() string
	scope()
}

// Everywhere is the whole fleet.
type Everywhere struct{}

// AtNode is one node.
type AtNode struct{ Instance string }

// InDomain is one failure domain.
type InDomain struct{ Domain string }

// InRegion is one region.
type InRegion struct{ Region string }

// Explain reports how a request would be routed, and why.
type Explain struct {
	Method string
	Path   string
	Tenant string
	// At is the time of the request; zero means now.
	At time.Time
}

// History lists the versions that created, changed or removed an object.
type History struct {
	Object bfconfig.Ref
	// Limit is 0 for the default.
	Limit int
}

// Undo stages the inverse of a version's change.
type Undo struct {
	Version bfconfig.Version
	// Name is the name of the staged change; empty means undo-VERSION.
	Name string
}

// Drain stops new work on a target; work in flight finishes.
type Drain struct{ Instance string }

// Release releases a request from quarantine.
type Release struct{ Content string }

// DefaultWatchDuration is the duration of a watch without a time limit of its own.
const DefaultWatchDuration = 30 * time.Second

// Watch polls until a version is in force on every node.
type Watch struct {
	// Version is the version to wait for; 0 means the latest.
	Version bfconfig.Version
	// For is the time limit; 0 means DefaultWatchDuration.
	For time.Duration
}

// Help shows the help on one command, or on all if Topic is empty.
type Help struct{ Topic string }

func (Stage) command()   {}
func (Show) command()    {}
func (Diff) command()    {}
func (Confirm) command() {}
func (Discard) command() {}
func (InForce) command() {}
func (Explain) command() {}
func (History) command() {}
func (Undo) command()    {}
func (Drain) command()   {}
func (Release) command() {}
func (Watch) command()   {}
func (Help) command()    {}

func (And) condition()        {}
func (Or) condition()         {}
func (Not) condition()        {}
func (Comparison) condition() {}

func (Everywhere) scope() {}
func (AtNode) scope()     {}
func (InDomain) scope()   {}
func (InRegion) scope()   {}

// NeedsChangeID reports whether the client must send a change ID with the command,
// which makes retries idempotent.
func NeedsChangeID(command Command) bool {
	switch command.(type) {
	case Stage, Undo, Confirm:
		return true
	case Show, Diff, Discard, InForce, Explain, History, Drain, Release, Watch, Help:
	}
	return false
}

// Writes reports whether the command modifies state.
func Writes(command Command) bool {
	switch command.(type) {
	case Stage, Undo, Confirm, Discard, Drain, Release:
		return true
	case Show, Diff, InForce, Explain, History, Watch, Help:
	}
	return false
}
