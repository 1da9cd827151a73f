package bfplan

import (
	"fmt"

	"bilberryflow.org/lib/bfconfig"
)

// ExistsError reports a create of an object that exists.
type ExistsError struct{ Ref bfconfig.Ref }

// Error names the object.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("%s exists already; use change to alter it", e.Ref)
}

// EditError reports an edit that no code should produce.
type EditError struct{ What string }

// Error says what it is.
func (e *EditError) Error() string { return "fault of the program: " + e.What }
