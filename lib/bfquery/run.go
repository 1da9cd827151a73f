package bfquery

import (
	"context"
	"fmt"
	"slices"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfquery/bfplan"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// Call is a command with its author and change ID.
type Call struct {
	Command bfsyntax.Command
	// ChangeID is the client's ID for the command, if bfsyntax.NeedsChangeID.
	ChangeID string
	Author   string
}

// execution is the state of one running command.
type execution struct {
	Call
	backend Backend
	emit    func(bfresult.Result) error
}

// Run executes one command and emits its results in order.
//
// An error means that the command was not executed or that emit failed. A
// confirm that was not accepted is reported as an Outcome, not as an error.
func Run(ctx context.Context, call Call, backend Backend, emit func(bfresult.Result) error) error {
	if err := backend.CheckCommand(call.Command); err != nil {
		return err
	}
	r := &execution{Call: call, backend: backend, emit: emit}
	switch command := call.Command.(type) {
	case bfsyntax.Stage:
		return r.stage(ctx, command)
	case bfsyntax.Show:
		return r.show(ctx, command)
	case bfsyntax.Diff:
		return r.diff(ctx, command)
	case bfsyntax.Confirm:
		return r.confirm(ctx, command)
	case bfsyntax.Discard:
		return r.discard(ctx, command)
	case bfsyntax.InForce:
		return r.inForce(ctx, command)
	case bfsyntax.Explain:
		return r.explain(ctx, command)
	case bfsyntax.History:
		return r.history(ctx, command)
	case bfsyntax.Undo:
		return r.undo(ctx, command)
	case bfsyntax.Drain:
		return r.drain(ctx, command)
	case bfsyntax.Release:
		return r.release(command)
	case bfsyntax.Watch:
		return r.watch(ctx, command)
	case bfsyntax.Help:
		return r.message("%s", bfgrammar.HelpText(command.Topic))
	}
	return &internalError{reason: fmt.Sprintf("command of type %T", call.Command)}
}

// ReadsState reports whether the command depends on the node's own configuration.
//
// A node that has not received a configuration yet must refuse such commands: an
// empty list of routes would look like lost configuration, and a change would be
// staged on an empty base.
func ReadsState(command bfsyntax.Command) bool {
	switch c := command.(type) {
	case bfsyntax.Stage, bfsyntax.Diff, bfsyntax.Explain, bfsyntax.Undo:
		return true
	case bfsyntax.Show:
		return slices.Contains([]bfsyntax.TableName{
			bfsyntax.TableEvents, bfsyntax.TableServices, bfsyntax.TableRoutes, bfsyntax.TablePolicies,
		}, c.Table)
	}
	return false
}

func (r *execution) message(format string, values ...any) error {
	return r.emit(bfresult.Message{Text: fmt.Sprintf(format, values...)})
}

func (r *execution) done(format string, values ...any) error {
	return r.emit(bfresult.Outcome{Status: bfresult.StatusDone, Summary: fmt.Sprintf(format, values...)})
}

func (r *execution) stage(ctx context.Context, command bfsyntax.Stage) error {
	base := r.backend.State()
	ops, err := bfplan.Plan(base, command.Edits)
	if err != nil {
		return err
	}
	return r.stageOps(ctx, command.Name, base, ops)
}

// stageOps stages operations that were computed from base.
func (r *execution) stageOps(ctx context.Context, name string, base *bfconfig.State, ops []bfconfig.Op) error {
	if r.ChangeID == "" {
		return &ChangeIDError{Command: r.Command.String()}
	}
	// Validates with the rules of the commit, to report an invalid change early.
	if _, _, err := base.Propose(bfconfig.NewChange(r.ChangeID, r.Author, r.backend.Now(), ops)); err != nil {
		return err
	}
	request := StageRequest{Name: name, ChangeID: r.ChangeID, Author: r.Author, Base: base, Ops: ops}
	staged, err := r.backend.Stage(ctx, request)
	if err != nil {
		return err
	}
	return r.done("staged %s on version %d; see diff %s, then confirm %s",
		staged.Name, staged.Base, staged.Name, staged.Name)
}

func (r *execution) discard(ctx context.Context, command bfsyntax.Discard) error {
	if err := r.backend.Discard(ctx, command.Name); err != nil {
		return err
	}
	return r.done("discarded %s", command.Name)
}

func (r *execution) drain(ctx context.Context, command bfsyntax.Drain) error {
	if err := r.backend.Drain(ctx, command.Instance); err != nil {
		return err
	}
	return r.done("%s is leaving: no new work, work in flight is finished", command.Instance)
}

func (r *execution) release(command bfsyntax.Release) error {
	if err := r.backend.Release(command.Content); err != nil {
		return err
	}
	return r.done("%s runs again; ends of targets count anew", command.Content)
}

func (r *execution) confirm(ctx context.Context, command bfsyntax.Confirm) error {
	id := command.ChangeID
	if id == "" {
		id = r.ChangeID
	}
	if id == "" {
		return &ChangeIDError{Command: command.String()}
	}
	outcome, err := r.backend.Confirm(ctx, command.Name, id, r.Author)
	if err != nil {
		return err
	}
	result, err := confirmResult(command.Name, id, outcome)
	if err != nil {
		return err
	}
	return r.emit(result)
}

func confirmResult(name, id string, outcome ConfirmOutcome) (bfresult.Outcome, error) {
	switch o := outcome.(type) {
	case Committed:
		return bfresult.Outcome{
			Status: bfresult.StatusDone, Version: uint64(o.Version), ChangeID: id,
			Summary: fmt.Sprintf("%s is version %d", name, o.Version),
		}, nil
	case AlreadyCommitted:
		return bfresult.Outcome{
			Status: bfresult.StatusDone, Version: uint64(o.Version), ChangeID: id,
			Summary: fmt.Sprintf("%s was committed before, as version %d", name, o.Version),
		}, nil
	case Conflict:
		return bfresult.Outcome{
			Status: bfresult.StatusConflict, Version: uint64(o.Version), ChangeID: o.ChangeID,
			Object: o.Object.String(), Author: o.Author,
			Summary: fmt.Sprintf("%s was not committed: %s changed %s in version %d (change %s) after it was staged",
				name, o.Author, o.Object, o.Version, o.ChangeID),
		}, nil
	case NotAccepted:
		return bfresult.Outcome{
			Status: bfresult.StatusNotAccepted, ChangeID: id, RetryAfter: o.RetryAfter,
			Summary: fmt.Sprintf("%s was not accepted and nothing was written: %s", name, o.Reason),
		}, nil
	case Unknown:
		return bfresult.Outcome{
			Status: bfresult.StatusUnknown, ChangeID: o.ChangeID,
			Summary: fmt.Sprintf("whether %s was committed is unknown; it is safe to ask: confirm %s id %s",
				name, name, o.ChangeID),
		}, nil
	}
	return bfresult.Outcome{}, &internalError{reason: fmt.Sprintf("outcome of type %T", outcome)}
}
