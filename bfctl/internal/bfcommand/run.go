package bfcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/oklog/ulid/v2"

	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bfrender"
)

// Process returns the environment of this process.
func Process() Environment {
	return Environment{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv,
		MintID: func() string { return ulid.Make().String() },
	}
}

// Main runs the client and returns its exit code, one of bfresult.Exit*.
func Main(ctx context.Context, args []string, env Environment) int {
	s, err := readSettings(args, env)
	if err != nil {
		return printError(env.Stderr, err)
	}
	r := &runner{settings: s, env: env}
	code, err := r.run(ctx)
	if err != nil {
		return printError(env.Stderr, err)
	}
	return code
}

// printError prints an error and returns its exit code.
func printError(stderr io.Writer, err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	// A failure to write to standard error can't be reported anywhere.
	_, _ = fmt.Fprintln(stderr, "bfctl:", err)
	if isUsage(err) {
		return bfresult.ExitUsage
	}
	// Other errors are results that could not be shown, so the outcome is unknown to the
	// operator.
	return bfresult.ExitUnknown
}

// runner sends the commands of one invocation.
type runner struct {
	settings
	env     Environment
	clients []*client
}

func (r *runner) run(ctx context.Context) (int, error) {
	commands, err := bfgrammar.Parse(r.commands)
	var syntax *bfgrammar.SyntaxError
	if errors.As(err, &syntax) {
		return bfresult.ExitRefused, r.show(syntaxFailure(syntax))
	}
	if err != nil {
		return 0, err
	}
	if len(commands) == 0 {
		return 0, &UsageError{Setting: "COMMAND", Reason: `there is none; "bfctl help" lists them`}
	}
	// Each command is a request of its own, so that a retry repeats no other command.
	for i, command := range commands {
		code, err := r.runCommand(ctx, command)
		if err != nil || code != bfresult.ExitDone {
			r.reportUnsent(len(commands) - i - 1)
			return code, err
		}
	}
	return bfresult.ExitDone, nil
}

func (r *runner) reportUnsent(count int) {
	if count > 0 {
		_, _ = fmt.Fprintf(r.env.Stderr, "bfctl: %d later commands were not sent\n", count)
	}
}

func syntaxFailure(e *bfgrammar.SyntaxError) bfresult.Failure {
	return bfresult.Failure{
		Kind: bfresult.FailureSyntax, Message: e.Error(), Line: e.Line, Column: e.Column,
		Found: e.Found, Expected: e.Expected, Hint: e.Hint, Excerpt: e.Excerpt,
	}
}

func (r *runner) runCommand(ctx context.Context, command bfsyntax.Command) (int, error) {
	if help, isHelp := command.(bfsyntax.Help); isHelp {
		return bfresult.ExitDone, r.show(bfresult.Message{Text: bfgrammar.HelpText(help.Topic)})
	}
	if err := r.connect(ctx); err != nil {
		return 0, err
	}
	request := bfresult.CommandRequest{Commands: command.String(), Author: r.env.Getenv("USER")}
	exec := &execution{command: command}
	if bfsyntax.NeedsChangeID(command) {
		exec.changeID = r.changeID(command)
		request.ChangeIDs = []string{exec.changeID}
	}
	end := r.execute(ctx, exec, request)
	for _, result := range end.results {
		if err := r.show(result); err != nil {
			return 0, err
		}
	}
	return end.code, nil
}

// changeID returns the operator's change ID, or a new one.
func (r *runner) changeID(command bfsyntax.Command) string {
	if confirm, isConfirm := command.(bfsyntax.Confirm); isConfirm && confirm.ChangeID != "" {
		return confirm.ChangeID
	}
	return r.env.MintID()
}

// execute sends one request to one node after another, always with the same change ID.
func (r *runner) execute(ctx context.Context, exec *execution, request bfresult.CommandRequest) finish {
	for i, c := range r.clients {
		a := c.send(ctx, r.timeoutFor(exec.command), request, r.show)
		more := i+1 < len(r.clients) && ctx.Err() == nil
		if end, isEnd := exec.after(a, more).(finish); isEnd {
			return end
		}
	}
	// Unreachable: connect leaves at least one client, and after the last one the
	// execution finishes.
	exec.lastErr = errors.New("there is no node to ask")
	end, _ := exec.tryNextOrFinish(false).(finish)
	return end
}

// timeoutFor returns the time limit of a response; a watch adds its own duration.
func (r *runner) timeoutFor(command bfsyntax.Command) time.Duration {
	watch, isWatch := command.(bfsyntax.Watch)
	switch {
	case !isWatch:
		return r.timeout
	case watch.For == 0:
		return r.timeout + bfsyntax.DefaultWatchDuration
	}
	return r.timeout + watch.For
}

func (r *runner) connect(ctx context.Context) error {
	if r.clients != nil {
		return nil
	}
	if err := r.requireNode(); err != nil {
		return err
	}
	for _, address := range r.nodes {
		c, err := newClient(ctx, address, r.settings)
		if err != nil {
			return err
		}
		r.clients = append(r.clients, c)
	}
	return nil
}

func (r *runner) show(result bfresult.Result) error {
	if r.json {
		return bfrender.JSON(r.env.Stdout, result)
	}
	return bfrender.Text(r.env.Stdout, result)
}
