package bfprogram

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/matryer/is"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfsettings"
)

type sample struct {
	Name string `json:"name" jsonschema:"minLength=1,description=Name of it."`
	Fail string `json:"fail,omitempty" jsonschema:"description=Where it fails."`
}

// endless is a server that says when it runs and ends when it is stopped.
type endless struct {
	stopped chan struct{}
	// late has its stop take longer than it may.
	late bool
}

func (e endless) Start(context.Context) error {
	fmt.Println("running")
	<-e.stopped
	return nil
}

func (e endless) Stop(ctx context.Context) error {
	if e.late {
		<-ctx.Done()
	}
	fmt.Println("stopped")
	close(e.stopped)
	return ctx.Err()
}

func program() Program[sample] {
	return Program[sample]{
		Name: "bfsample", Description: "A program for tests.",
		Defaults: func() sample { return sample{} },
		Example:  func() sample { return sample{Name: "a"} },
		Check: func(s sample) error {
			if s.Fail == "check" {
				return &bfsettings.FieldError{Field: "/fail", Value: s.Fail, Allowed: "anything else"}
			}
			return nil
		},
		Instance: func(s sample) string { return s.Name },
		Build: func(s sample, _ *bflog.Logger) (App, error) {
			if s.Fail == "build" {
				return App{}, errors.New("port taken")
			}
			return App{
				Servers: []transport.Server{endless{make(chan struct{}), s.Fail == "stop"}},
				Drain:   func(context.Context) { fmt.Println("drained") },
				// Only a late stop needs it.
				CloseTimeout: 50 * time.Millisecond,
				Reload:       func(s any) { fmt.Println("reloaded", s.(sample).Name) },
			}, nil
		},
	}
}

const asProgram = "BFPROGRAM_TEST"

// TestMain lets the test binary be the program, since the library for the command line may end the process.
func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(program().Main())
	}
	os.Exit(m.Run())
}

func command(args ...string) (*exec.Cmd, *bytes.Buffer) {
	var out bytes.Buffer
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	cmd.Stdout, cmd.Stderr = &out, &out
	return cmd, &out
}

// A daemon is started wrongly in every way. Whoever starts it, mostly a script,
// tells by the exit code whether to change the command (2) or look at the
// machine (1), and finds the reason in the output; nothing was started.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	file := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := file("good", `{"name":"a"}`)
	for _, test := range []struct {
		args []string
		code int
		says string
	}{
		{nil, ExitSettings, "--settings FILE is needed"},
		{[]string{"--check"}, ExitSettings, "--settings FILE is needed"},
		{[]string{"--settings"}, ExitSettings, ""},
		{[]string{"--settings", "/nowhere/at/all"}, ExitSettings, "/nowhere/at/all"},
		{[]string{"--settings", file("noise", "{{")}, ExitSettings, "not JSON"},
		{[]string{"--settings", file("bad", `{"name":"","other":1}`)}, ExitSettings, "/name"},
		{[]string{"--settings", file("check", `{"name":"a","fail":"check"}`)}, ExitSettings, "/fail"},
		{[]string{"--settings", file("build", `{"name":"a","fail":"build"}`)}, ExitFailed, "port taken"},
		{[]string{"--settings", file("build", `{"name":"a","fail":"build"}`), "--check"}, ExitStopped, "settings are valid"},
		{[]string{"--settings", good, "-c"}, ExitStopped, "settings are valid"},
		{[]string{"--settings", good, "--nonsense"}, ExitSettings, "nonsense"},
		{[]string{"--settings", good, "stray"}, ExitSettings, "stray"},
		{[]string{"--example"}, ExitStopped, `"name": "a"`},
		{[]string{"--version"}, ExitStopped, Version},
		{[]string{"--help"}, ExitStopped, "A program for tests."},
	} {
		cmd, out := command(test.args...)
		_ = cmd.Run() // the code is what counts
		t.Log(test.args, out.String())
		is.Equal(cmd.ProcessState.ExitCode(), test.code)
		is.True(strings.Contains(out.String(), test.says))
		is.True(!strings.Contains(out.String(), "running"))
	}
}

// A daemon runs and is told to stop by a signal. It drains before its servers
// stop, so that nothing in flight is cut, and exits with 0.
func TestSignalStopsGracefully(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"a"}`), 0o600))
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	lines := bufio.NewScanner(out)
	awaitLine(t, lines, "running")
	is.NoErr(cmd.Process.Signal(os.Interrupt))
	var said []string
	var events []int
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "{") {
			events = append(events, eventOf(t, lines.Text()))
		} else {
			said = append(said, lines.Text())
		}
	}
	is.NoErr(cmd.Wait())
	is.Equal(said, []string{"drained", "stopped"})
	// Events are on standard output too, in order; that of the start is written
	// beside the program and may come behind its first own line.
	is.Equal(slices.DeleteFunc(events, func(e int) bool { return e == bflog.ProcessStarted.Number() }),
		[]int{bflog.ProcessStopping.Number(), bflog.ProcessStopped.Number()})
}

// A daemon was asked to stop, drained, and then had to cut a connection that did
// not end in time. That is its stop and no failure: a platform that counts the
// exit code would else report a crash for every caller that reads slowly.
func TestStopThatCutsAConnectionIsNoFailure(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"a","fail":"stop"}`), 0o600))
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	lines := bufio.NewScanner(out)
	awaitLine(t, lines, "running")
	is.NoErr(cmd.Process.Signal(os.Interrupt))
	awaitLine(t, lines, `"connections_cut":true`)
	for lines.Scan() {
		continue
	}
	is.NoErr(cmd.Wait())
}

// eventOf is the number of a log line's event.
func eventOf(t *testing.T, line string) int {
	t.Helper()
	var read struct {
		Event int `json:"event"`
	}
	if err := json.Unmarshal([]byte(line), &read); err != nil {
		t.Fatal(err)
	}
	return read.Event
}

// awaitLine reads lines until one is text.
func awaitLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("the output ended before %q", text)
}

// The settings file changes while a daemon runs, and SIGHUP says so. A right file
// is handed to the daemon; a wrong one is logged, and neither ends the process.
func TestHangUpReadsTheSettingsAgain(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"a"}`), 0o600))
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	lines := bufio.NewScanner(out)
	awaitLine(t, lines, "running")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"b"}`), 0o600))
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	awaitLine(t, lines, "reloaded b")
	is.NoErr(os.WriteFile(path, []byte(`{"name":`), 0o600))
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	awaitLine(t, lines, `"event":1006`)
	is.NoErr(cmd.Process.Signal(os.Interrupt))
	awaitLine(t, lines, "stopped")
	for lines.Scan() {
		continue
	}
	is.NoErr(cmd.Wait())
}

// A platform says that the settings changed, or stops the process, while it still
// reads its settings. The first must not end it; the second must stop it as
// gracefully as later. The settings are a pipe here, so that the reading lasts
// until the test writes them.
func TestSignalWhileSettingsAreRead(t *testing.T) {
	for _, sent := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(sent.String(), func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings")
			is.NoErr(syscall.Mkfifo(path, 0o600))
			cmd := exec.Command(os.Args[0], "--settings", path)
			cmd.Env = append(os.Environ(), asProgram+"=1")
			out, err := cmd.StdoutPipe()
			is.NoErr(err)
			is.NoErr(cmd.Start())
			pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the reader
			is.NoErr(err)
			is.NoErr(cmd.Process.Signal(sent))
			time.Sleep(50 * time.Millisecond)
			_, err = pipe.WriteString(`{"name":"a"}`)
			is.NoErr(err)
			is.NoErr(pipe.Close())
			lines := bufio.NewScanner(out)
			awaitLine(t, lines, "running")
			if sent == syscall.SIGHUP {
				// It reads the settings once more.
				again, err := os.OpenFile(path, os.O_WRONLY, 0)
				is.NoErr(err)
				_, err = again.WriteString(`{"name":"b"}`)
				is.NoErr(err)
				is.NoErr(again.Close())
				awaitLine(t, lines, "reloaded b")
				is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
			}
			awaitLine(t, lines, "stopped")
			for lines.Scan() {
				continue
			}
			is.NoErr(cmd.Wait())
		})
	}
}
