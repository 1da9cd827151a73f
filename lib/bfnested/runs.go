package bfnested

import (
	"strings"
	"sync"

	"bilberryflow.org/lib/bfbudget"
)

// separator separates the parent's request ID from the suffix of a nested call's ID.
const separator = "."

// Parent is a request in progress at the target.
type Parent struct {
	// Run is its run, nil for no request.
	Run *bfbudget.Run
	// Workspace is the name of its workspace, "" for none.
	Workspace string
}

// Runs holds the requests in progress at a target by ID. Its zero value is empty.
type Runs struct{ byID sync.Map }

// Begin adds a request.
func (r *Runs) Begin(id string, parent Parent) { r.byID.Store(id, parent) }

// End removes a request.
func (r *Runs) End(id string) { r.byID.Delete(id) }

// ParentOf returns the request that made the nested call with this ID, the zero value if there is none.
func (r *Runs) ParentOf(id string) Parent {
	at := strings.LastIndex(id, separator)
	if at < 0 {
		return Parent{}
	}
	found, ok := r.byID.Load(id[:at])
	if !ok {
		return Parent{}
	}
	return found.(Parent)
}
