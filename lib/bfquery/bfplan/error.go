package bfplan

import (
	"fmt"

	"bilberryflow.org/lib/bfconfig"
)

// ExistsError reports a create of an object that already exists.
type ExistsError struct{ Ref bfconfig.Ref }

// Error names the object.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("%s exists already; use change to alter it", e.Ref)
}

// EditError reports an invalid edit, which indicates a bug in the caller.
type EditError struct{ Reason string }

// Error returns the reason.
func (e *EditError) Error() string { return "internal error: " + e.Reason }
