package bfcommand

import (
	"errors"
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var errNode = errors.New("no answer")

// model tracks the command's effects, which the client can't see.
type model struct {
	// effects counts how often the command took effect.
	effects int
	// mayHaveRun counts attempts that were sent and ended without a conclusive response.
	mayHaveRun int
}

// attempt draws the outcome of one attempt. Like a real node, the model recognizes a
// change ID and refuses a confirm or reports a conflict only if the change was not
// committed. A stage may be refused although an earlier attempt staged it, if another
// operator confirmed it since; "not accepted" comes from a node that can't determine
// either.
func (m *model) attempt(t *rapid.T, command bfsyntax.Command) attempt {
	idempotent := bfsyntax.NeedsChangeID(command)
	_, isStage := command.(bfsyntax.Stage)
	run := func() {
		if !idempotent || m.effects == 0 {
			m.effects++
		}
	}
	kinds := []string{"not sent", "rejected", "cut before", "cut after", "done", "not accepted", "unknown before", "unknown after"}
	if m.effects == 0 {
		kinds = append(kinds, "conflict")
	}
	if m.effects == 0 || isStage {
		kinds = append(kinds, "refused")
	}
	switch rapid.SampledFrom(kinds).Draw(t, "attempt") {
	case "rejected":
		return rejected{errNode}
	case "cut before":
		m.mayHaveRun++
		return interrupted{errNode}
	case "cut after":
		m.mayHaveRun++
		run()
		return interrupted{errNode}
	case "done":
		run()
		return answered{status: bfresult.StatusDone}
	case "not accepted":
		return answered{status: bfresult.StatusNotAccepted}
	case "unknown before":
		m.mayHaveRun++
		return answered{status: bfresult.StatusUnknown}
	case "unknown after":
		m.mayHaveRun++
		run()
		return answered{status: bfresult.StatusUnknown}
	case "refused":
		return answered{status: bfresult.StatusRefused}
	case "conflict":
		return answered{status: bfresult.StatusConflict}
	}
	return notSent{errNode}
}

// Attempts fail in any order. The exit code for done is returned only if the command
// took effect, and the ones for refused, conflict and unreachable only if it didn't. A
// discard or drain is never sent again after an attempt that may have run, since it
// could hit another operator's change.
func TestExitCodeMatchesEffect(t *testing.T) {
	commands := []bfsyntax.Command{
		bfsyntax.Confirm{Name: "a"}, bfsyntax.Stage{Name: "a"}, bfsyntax.Discard{Name: "a"}, bfsyntax.Drain{Instance: "a"},
	}
	rapid.Check(t, func(t *rapid.T) {
		command := rapid.SampledFrom(commands).Draw(t, "command")
		idempotent := bfsyntax.NeedsChangeID(command)
		nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
		e, m := &execution{command: command, changeID: "id"}, &model{}
		for i := range nodes {
			if m.mayHaveRun > 0 && !idempotent {
				t.Fatalf("%v was sent again after it may have run", command)
			}
			end, ended := e.after(m.attempt(t, command), i+1 < nodes).(finish)
			if !ended {
				continue
			}
			exitCode := end.code
			if exitCode == bfresult.ExitDone && m.effects == 0 || exitCode != bfresult.ExitDone && exitCode != bfresult.ExitUnknown && m.effects > 0 {
				t.Fatalf("%v returned exit code %d, took effect %d times", command, exitCode, m.effects)
			}
			if m.effects > 1 {
				t.Fatalf("%v took effect %d times", command, m.effects)
			}
			return
		}
		t.Fatalf("%v did not finish", command)
	})
}
