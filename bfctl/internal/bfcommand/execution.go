package bfcommand

import (
	"errors"
	"fmt"

	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// attempt is the sealed set of outcomes of one request to one node: notSent, rejected,
// interrupted and answered.
type attempt interface{ attempt() }

// notSent means that no command can have reached the node, or that the node reports
// that it ran none.
type notSent struct{ err error }

// rejected means that the node refused the request for good without running the
// command.
type rejected struct{ err error }

// interrupted means that the request was sent and no complete response was received.
type interrupted struct{ err error }

// answered means that the complete response was received.
type answered struct {
	results []bfresult.Result
	status  bfresult.Status
}

func (notSent) attempt()     {}
func (rejected) attempt()    {}
func (interrupted) attempt() {}
func (answered) attempt()    {}

// decision is the sealed set of what follows an attempt: tryNext and finish.
type decision interface{ decision() }

// tryNext sends the same request to the next node.
type tryNext struct{}

// finish shows the results and ends the command with the exit code.
type finish struct {
	results []bfresult.Result
	code    int
}

func (tryNext) decision() {}
func (finish) decision()  {}

// execution decides how one command goes on, from node to node, until its outcome is
// known.
type execution struct {
	command bfsyntax.Command
	// changeID is empty for commands that need none.
	changeID string
	// mayHaveRun is set once an attempt may have taken effect without a conclusive
	// response.
	mayHaveRun bool
	lastErr    error
}

// after returns what follows an attempt; more reports whether there is another node to
// try.
func (e *execution) after(a attempt, more bool) decision {
	switch a := a.(type) {
	case notSent:
		e.lastErr = a.err
		return e.tryNextOrFinish(more)
	case rejected:
		e.lastErr = a.err
		if e.mayHaveRun {
			return e.tryNextOrFinish(more)
		}
		failure := bfresult.Failure{Kind: bfresult.FailureInvalid, Message: a.err.Error()}
		return finish{results: []bfresult.Result{failure}, code: bfresult.ExitRefused}
	case interrupted:
		e.lastErr = a.err
		e.mayHaveRun = e.mayHaveRun || bfsyntax.Writes(e.command)
		return e.tryNextOrFinish(more && e.idempotent())
	case answered:
		return e.afterAnswer(a, more)
	}
	e.lastErr = fmt.Errorf("attempt of unknown type %T", a)
	return e.tryNextOrFinish(false)
}

// idempotent reports whether sending the command twice has the same effect as sending
// it once.
//
// Stage, undo and confirm carry a change ID by which nodes recognize a duplicate. A
// second discard or drain could hit what another operator staged, or a target that was
// replaced, under the same name in the meantime.
func (e *execution) idempotent() bool {
	return !bfsyntax.Writes(e.command) || bfsyntax.NeedsChangeID(e.command)
}

// afterAnswer returns what follows a response, given what earlier attempts may have
// done.
func (e *execution) afterAnswer(a answered, more bool) decision {
	code := a.status.ExitCode()
	if code == bfresult.ExitUnknown {
		if !bfsyntax.Writes(e.command) || !more || !e.idempotent() {
			return finish{results: a.results, code: code}
		}
		e.mayHaveRun = true
		e.lastErr = errors.New("a node could not learn the outcome")
		return tryNext{}
	}
	if e.conclusive(a.status) {
		return finish{results: a.results, code: code}
	}
	e.lastErr = errors.New("another node did not take it")
	return e.tryNextOrFinish(more)
}

// conclusive reports whether a status holds for the earlier attempts too.
//
// "Not accepted" applies to this node's attempt alone. Shown after an interrupted
// attempt, it would claim that nothing was written while the first attempt's write may
// be the version in force. "Refused" rules out an earlier attempt only for a confirm,
// which looks up its change ID first; a stage may be refused because the first
// attempt's change is in force by now.
func (e *execution) conclusive(status bfresult.Status) bool {
	if !e.mayHaveRun {
		return true
	}
	switch status {
	case bfresult.StatusDone, bfresult.StatusConflict:
		return true
	case bfresult.StatusRefused:
		_, isConfirm := e.command.(bfsyntax.Confirm)
		return isConfirm
	case bfresult.StatusNotAccepted, bfresult.StatusUnknown:
	}
	return false
}

func (e *execution) tryNextOrFinish(more bool) decision {
	if more {
		return tryNext{}
	}
	if e.mayHaveRun {
		return finish{results: []bfresult.Result{e.unknownOutcome()}, code: bfresult.ExitUnknown}
	}
	failure := bfresult.Failure{Kind: bfresult.FailureUnavailable, Message: "no node answered: " + e.lastErr.Error()}
	return finish{results: []bfresult.Result{failure}, code: bfresult.ExitUnreachable}
}

func (e *execution) unknownOutcome() bfresult.Outcome {
	summary := fmt.Sprintf("whether %q took effect is unknown (%v); ", e.command.String(), e.lastErr)
	if confirm, isConfirm := e.command.(bfsyntax.Confirm); isConfirm {
		again := bfsyntax.Confirm{Name: confirm.Name, ChangeID: e.changeID}
		summary += "it is safe to ask: " + again.String()
	} else {
		summary += "look at: " + e.statusCommand()
	}
	return bfresult.Outcome{Status: bfresult.StatusUnknown, Summary: summary, ChangeID: e.changeID}
}

// statusCommand returns the command that shows whether this one took effect.
func (e *execution) statusCommand() string {
	switch e.command.(type) {
	case bfsyntax.Drain:
		return "show targets"
	case bfsyntax.Release:
		return "show quarantine"
	}
	return "show staged"
}
