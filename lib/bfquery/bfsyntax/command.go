package bfsyntax

import (
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// Command is the sealed set of commands: Stage, Show, Diff, Confirm, Discard,
// InForce, Explain, History, Undo, Drain, Release, Watch and Help.
type Command interface {
	// String is the canonical text: parsing it gives the same command again.
	String() string
	command()
}

// Stage collects edits into a staged change.
type Stage struct {
	Name  string
	Edits []Edit
}

// Edit is the sealed set of what a staged change does to one object: Create, Change and Remove.
type Edit interface {
	// Ref is the object edited.
	Ref() bfconfig.Ref
	// String is the canonical text.
	String() string
}

// Create makes an object that must not exist.
type Create struct {
	Name   string
	Fields Fields
}

// Change alters the named fields of an object that must exist.
type Change struct {
	Name   string
	Fields Fields
}

// Remove deletes an object that must exist.
type Remove struct{ Object bfconfig.Ref }

// Ref is the object created.
func (e Create) Ref() bfconfig.Ref { return bfconfig.Ref{Kind: e.Fields.Kind(), Name: e.Name} }

// Ref is the object changed.
func (e Change) Ref() bfconfig.Ref { return bfconfig.Ref{Kind: e.Fields.Kind(), Name: e.Name} }

// Ref is the object removed.
func (e Remove) Ref() bfconfig.Ref { return e.Object }

// Show lists the rows of a table.
type Show struct {
	Table TableName
	// Where is nil for all rows.
	Where Condition
	// Order is nil for the table's own order.
	Order *Order
	// Limit is 0 for no limit.
	Limit int
}

// Order sorts by a column.
type Order struct {
	Column     string
	Descending bool
}

// Condition is the sealed set of row filters: And, Or, Not and Comparison.
type Condition interface{ condition() }

// And holds if all its terms do; there are two or more.
type And struct{ Terms []Condition }

// Or holds if one of its terms does; there are two or more.
type Or struct{ Terms []Condition }

// Not holds if its term does not.
type Not struct{ Term Condition }

// Comparison holds if the column's cell stands in the relation to the value.
type Comparison struct {
	Column   string
	Operator Operator
	Value    bfresult.Cell
}

// Operator is a relation between two cells.
type Operator string

// The operators.
const (
	Equal          Operator = "="
	NotEqual       Operator = "!="
	Less           Operator = "<"
	LessOrEqual    Operator = "<="
	Greater        Operator = ">"
	GreaterOrEqual Operator = ">="
	Matches        Operator = "~"
)

// Diff shows what a staged change would alter.
type Diff struct{ Name string }

// Confirm commits a staged change.
type Confirm struct {
	Name string
	// ChangeID is empty if the client mints one.
	ChangeID string
}

// Discard drops a staged change.
type Discard struct{ Name string }

// InForce asks which versions are held where.
type InForce struct{ Scope Scope }

// Scope is the sealed set of parts of the fleet: Everywhere, AtNode, InDomain and InRegion.
type Scope interface {
	// String is the scope's text in a command.
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

// Explain asks how a request would be treated, and why.
type Explain struct {
	Method string
	Path   string
	Tenant string
	// At is zero for now.
	At time.Time
}

// History lists the versions that put or removed an object.
type History struct {
	Object bfconfig.Ref
	// Limit is 0 for the usual number.
	Limit int
}

// Undo stages what takes a version's change back.
type Undo struct {
	Version bfconfig.Version
	// Name of the staged change; empty for undo-VERSION.
	Name string
}

// Drain makes a target leave.
type Drain struct{ Instance string }

// Release has a request run again under which targets ended.
type Release struct{ Content string }

// UsualWatch is how long a watch lasts that names no time.
const UsualWatch = 30 * time.Second

// Watch follows a version until every node holds it.
type Watch struct {
	// Version is 0 for the latest.
	Version bfconfig.Version
	// For is 0 for UsualWatch.
	For time.Duration
}

// Help shows the commands, or one of them.
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

// NeedsChangeID reports whether the client mints an ID for the command, so that sending it again is safe.
func NeedsChangeID(command Command) bool {
	switch command.(type) {
	case Stage, Undo, Confirm:
		return true
	case Show, Diff, Discard, InForce, Explain, History, Drain, Release, Watch, Help:
	}
	return false
}

// Writes reports whether the command changes anything.
func Writes(command Command) bool {
	switch command.(type) {
	case Stage, Undo, Confirm, Discard, Drain, Release:
		return true
	case Show, Diff, InForce, Explain, History, Watch, Help:
	}
	return false
}
