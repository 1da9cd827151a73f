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

// NotStagedError reports that no change is staged under the name.
type NotStagedError struct{ Name string }

// Error names the change.
func (e *NotStagedError) Error() string { return fmt.Sprintf("no change is staged as %s", e.Name) }

// StagedExistsError reports that another change is staged under the name.
type StagedExistsError struct {
	Name   string
	Author string
}

// Error names the change and its author.
func (e *StagedExistsError) Error() string {
	return fmt.Sprintf("another change is staged as %s by %s; discard it or take another name", e.Name, e.Author)
}

// NoVersionError reports a version that does not exist or is no longer stored.
type NoVersionError struct{ Version bfconfig.Version }

// Error names the version.
func (e *NoVersionError) Error() string {
	return fmt.Sprintf("version %d does not exist or is no longer kept", e.Version)
}

// NoInstanceError reports an instance that is not in the node's membership view.
type NoInstanceError struct{ Instance string }

// Error names the instance.
func (e *NoInstanceError) Error() string {
	return fmt.Sprintf("instance %s is not a member", e.Instance)
}

// UnknownContentError reports a request content that is not in quarantine.
type UnknownContentError struct{ Content string }

// Error names the content.
func (e *UnknownContentError) Error() string {
	return fmt.Sprintf("no target ended under a request of content %s; show quarantine lists them", e.Content)
}

// NotStartedError reports that the node has not received a current configuration yet.
type NotStartedError struct{}

// Error says where the node gets its configuration from.
func (e *NotStartedError) Error() string {
	return "this node's start still waits for a current version, from the table or its peers; ask another node"
}

// NoMembersError reports a scope without members.
type NoMembersError struct{ Scope bfsyntax.Scope }

// Error names the scope.
func (e *NoMembersError) Error() string { return "no member is " + e.Scope.String() }

// ChangedSinceError reports an undo of a version with an object that a later version changed.
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

// NodeBehindError reports that the node's configuration is older than the version asked for.
type NodeBehindError struct {
	Version bfconfig.Version
	Held    bfconfig.Version
}

// Error names both versions.
func (e *NodeBehindError) Error() string {
	return fmt.Sprintf("this node holds version %d, not yet version %d; try again", e.Held, e.Version)
}

// HistoryExpiredError reports an undo that needs an object's earlier version, which is
// no longer stored.
type HistoryExpiredError struct {
	Ref    bfconfig.Ref
	Undone bfconfig.Version
}

// Error names the object and the version.
func (e *HistoryExpiredError) Error() string {
	return fmt.Sprintf("version %d can't be undone: what %s was before it is no longer kept", e.Undone, e.Ref)
}

// NothingToUndoError reports an undo that would change no object.
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

// internalError reports a bug in this package or its backend.
type internalError struct{ reason string }

func (e *internalError) Error() string { return "internal error: " + e.reason }

// resultOf converts the error of a command to its final result.
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
	case isA[*NodeBehindError](err), isA[*NotStartedError](err):
		kind = bfresult.FailureUnavailable
	case isInvalid(err):
		kind = bfresult.FailureInvalid
	}
	return bfresult.Failure{Kind: kind, Message: err.Error()}
}

// invalidCommandError is a Backend's error for a command that is invalid on it.
type invalidCommandError interface {
	error
	InvalidCommand()
}

// isInvalid reports whether the command itself is invalid, so that a retry can't succeed.
func isInvalid(err error) bool {
	return isA[invalidCommandError](err) || isA[*bfplan.ExistsError](err) || isA[*NotStagedError](err) || isA[*StagedExistsError](err) ||
		isA[*NoVersionError](err) || isA[*NoInstanceError](err) || isA[*UnknownContentError](err) || isA[*NoMembersError](err) || isA[*ChangedSinceError](err) ||
		isA[*HistoryExpiredError](err) || isA[*NothingToUndoError](err) || isA[*ChangeIDError](err) ||
		isA[*bfconfig.FieldError](err) || isA[*bfconfig.DanglingError](err) || isA[*bfconfig.MissingError](err) ||
		isA[*bfconfig.AmbiguousError](err) || isA[*bfconfig.OverlapError](err) || isA[*bfconfig.EmptyChangeError](err) ||
		isA[*bfconfig.ChangeError](err)
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
