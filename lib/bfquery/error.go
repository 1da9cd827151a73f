package bfquery

import (
	"errors"
	"fmt"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfquery/bfplan"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bfstore"
)

// NotStagedError reports a staged change that does not exist.
type NotStagedError struct{ Name string }

// Error names the change.
func (e *NotStagedError) Error() string { return fmt.Sprintf("no change is staged as %s", e.Name) }

// StagedExistsError reports another staged change under the name.
type StagedExistsError struct {
	Name   string
	Author string
}

// Error names the change and its author.
func (e *StagedExistsError) Error() string {
	return fmt.Sprintf("another change is staged as %s by %s; discard it or take another name", e.Name, e.Author)
}

// NoVersionError reports a version that does not exist or is no longer kept.
type NoVersionError struct{ Version bfconfig.Version }

// Error names the version.
func (e *NoVersionError) Error() string {
	return fmt.Sprintf("version %d does not exist or is no longer kept", e.Version)
}

// NoInstanceError reports an instance that the node does not know.
type NoInstanceError struct{ Instance string }

// Error names the instance.
func (e *NoInstanceError) Error() string {
	return fmt.Sprintf("instance %s is not a member", e.Instance)
}

// NoContentError reports a content under which no target ended, as far as is known.
type NoContentError struct{ Content string }

// Error names the content.
func (e *NoContentError) Error() string {
	return fmt.Sprintf("no target ended under a request of content %s; show quarantine lists them", e.Content)
}

// NotStartedError reports a node whose start still waits for a current version.
type NotStartedError struct{}

// Error says what the node waits for.
func (e *NotStartedError) Error() string {
	return "this node's start still waits for a current version, from the table or its peers; ask another node"
}

// NoMembersError reports a part of the fleet in which the node knows no member.
type NoMembersError struct{ Scope bfsyntax.Scope }

// Error names the part.
func (e *NoMembersError) Error() string { return "no member is " + e.Scope.String() }

// ChangedSinceError reports an undo of a version whose object a later one changed.
type ChangedSinceError struct {
	Ref    bfconfig.Ref
	Undone bfconfig.Version
	Later  bfconfig.Version
}

// Error names the object and both versions.
func (e *ChangedSinceError) Error() string {
	return fmt.Sprintf("version %d can't be undone: %s was changed again in version %d; undo that one first",
		e.Undone, e.Ref, e.Later)
}

// NotHeldError reports a version that the node does not hold yet.
type NotHeldError struct {
	Version bfconfig.Version
	Held    bfconfig.Version
}

// Error names both versions.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("this node holds version %d, not yet version %d; try again", e.Held, e.Version)
}

// HistoryGoneError reports an undo that needs a version no longer kept.
type HistoryGoneError struct {
	Ref    bfconfig.Ref
	Undone bfconfig.Version
}

// Error names the object and the version.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("version %d can't be undone: what %s was before it is no longer kept", e.Undone, e.Ref)
}

// NothingToUndoError reports a version that left every object as it was.
type NothingToUndoError struct{ Version bfconfig.Version }

// Error names the version.
func (e *NothingToUndoError) Error() string {
	return fmt.Sprintf("version %d changed nothing that could be undone", e.Version)
}

// ChangeIDError reports a request without an ID for a command that needs one.
type ChangeIDError struct{ Command string }

// Error names the command.
func (e *ChangeIDError) Error() string {
	return fmt.Sprintf("no change ID was sent for %q; the client mints one for each stage, undo and confirm", e.Command)
}

// unexpectedError reports a value that no code should produce.
type unexpectedError struct{ what string }

func (e *unexpectedError) Error() string { return "fault of the program: " + e.what }

// resultOf turns the error of a command into its last result.
func resultOf(err error) bfresult.Result {
	var unknown *bfstore.UnknownError
	if errors.As(err, &unknown) {
		return bfresult.Outcome{Status: bfresult.StatusUnknown, Summary: "whether it was written is unknown, look at: show staged; " + unknown.Error()}
	}
	var unavailable *bfstore.UnavailableError
	if errors.As(err, &unavailable) {
		return bfresult.Outcome{
			Status:  bfresult.StatusNotAccepted,
			Summary: "the platform does not answer, and nothing was written: " + unavailable.Reason, RetryAfter: unavailable.RetryAfter,
		}
	}
	return failureOf(err)
}

func failureOf(err error) bfresult.Failure {
	var syntax *bfgrammar.SyntaxError
	if errors.As(err, &syntax) {
		return bfresult.Failure{
			Kind: bfresult.FailureSyntax, Message: syntax.Error(), Line: syntax.Line, Column: syntax.Column,
			Found: syntax.Found, Expected: syntax.Expected, Hint: syntax.Hint, Excerpt: syntax.Excerpt,
		}
	}
	kind := bfresult.FailureInternal
	switch {
	case isA[*NotHeldError](err), isA[*NotStartedError](err):
		kind = bfresult.FailureUnavailable
	case isInvalid(err):
		kind = bfresult.FailureInvalid
	}
	return bfresult.Failure{Kind: kind, Message: err.Error()}
}

// wrongCommand is an error of a Backend that says the command itself is wrong there.
type wrongCommand interface {
	error
	WrongCommand()
}

// isInvalid reports whether the command itself was wrong, so that sending it again is of no use.
func isInvalid(err error) bool {
	return isA[wrongCommand](err) || isA[*bfplan.ExistsError](err) || isA[*NotStagedError](err) || isA[*StagedExistsError](err) ||
		isA[*NoVersionError](err) || isA[*NoInstanceError](err) || isA[*NoContentError](err) || isA[*NoMembersError](err) || isA[*ChangedSinceError](err) ||
		isA[*HistoryGoneError](err) || isA[*NothingToUndoError](err) || isA[*ChangeIDError](err) ||
		isA[*bfconfig.FieldError](err) || isA[*bfconfig.DanglingError](err) || isA[*bfconfig.MissingError](err) ||
		isA[*bfconfig.AmbiguousError](err) || isA[*bfconfig.OverlapError](err) || isA[*bfconfig.EmptyChangeError](err) ||
		isA[*bfconfig.ChangeError](err)
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
