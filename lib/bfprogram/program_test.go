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

// endless is a server that prints when it starts and stops, and runs until it is stopped.
type endless struct {
	stopped chan struct{}
	// late makes Stop exceed its timeout.
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
				// Short, since a late stop lasts this long.
				CloseTimeout: 50 * time.Millisecond,
				Reload:       func(s any) { fmt.Println("reloaded", s.(sample).Name) },
			}, nil
		},
	}
}

const runAsProgramEnv = "BFPROGRAM_TEST"

// TestMain lets tests run this binary as the program, since flaggy may exit the process.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(program().Main())
	}
	os.Exit(m.Run())
}

func command(args ...string) (*exec.Cmd, *bytes.Buffer) {
	var out bytes.Buffer
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	cmd.Stdout, cmd.Stderr = &out, &out
	return cmd, &out
}

// Guards against exit codes that don't tell an invalid command or settings file (2) from a
// failure of the machine (1), and against output without the reason.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	file := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := file("good", `{"name":"a"}`)
	for _, test := range []struct {
		args   []string
		code   int
		output string
	}{
		{nil, ExitSettings, "--settings FILE is required"},
		{[]string{"--check"}, ExitSettings, "--settings FILE is required"},
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
		_ = cmd.Run() // the exit code is checked below
		t.Log(test.args, out.String())
		is.Equal(cmd.ProcessState.ExitCode(), test.code)
		is.True(strings.Contains(out.String(), test.output))
		is.True(!strings.Contains(out.String(), "running"))
	}
}

// Guards against a stop signal that cuts requests in flight: the program must drain before its
// servers stop, and exit with 0.
func TestSignalStopsGracefully(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"a"}`), 0o600))
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	lines := bufio.NewScanner(out)
	awaitLine(t, lines, "running")
	is.NoErr(cmd.Process.Signal(os.Interrupt))
	var printed []string
	var events []int
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "{") {
			events = append(events, eventOf(t, lines.Text()))
		} else {
			printed = append(printed, lines.Text())
		}
	}
	is.NoErr(cmd.Wait())
	is.Equal(printed, []string{"drained", "stopped"})
	// Log lines are written to standard output too, in order. ProcessStarted is written
	// concurrently and may come after the program's own first line.
	is.Equal(slices.DeleteFunc(events, func(e int) bool { return e == bflog.ProcessStarted.Number() }),
		[]int{bflog.ProcessStopping.Number(), bflog.ProcessStopped.Number()})
}

// Guards against a graceful stop reported as a crash because a slow connection had to be closed.
func TestStopThatClosesAConnectionExitsWithZero(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"a","fail":"stop"}`), 0o600))
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
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

// eventOf returns the event number of a log line.
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

// awaitLine reads lines until one contains text.
func awaitLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("output ended without %q", text)
}

// Guards against a SIGHUP that doesn't reload the settings or ends the process, also when the
// settings file is invalid.
func TestHangUpReloadsSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"a"}`), 0o600))
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
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

// Guards against a SIGHUP or SIGTERM that kills the process while it reads its settings at
// startup. The settings file is a pipe, so the read lasts until the test writes to it.
func TestSignalWhileSettingsAreRead(t *testing.T) {
	for _, sent := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(sent.String(), func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings")
			is.NoErr(syscall.Mkfifo(path, 0o600))
			cmd := exec.Command(os.Args[0], "--settings", path)
			cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
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
