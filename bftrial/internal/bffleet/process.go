package bffleet

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one started program with its log file.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan error
}

// ProcessError reports a process that failed to start, to keep running or to exit in time.
type ProcessError struct {
	Name   string
	Reason error
}

// Error returns the process name and the reason.
func (e *ProcessError) Error() string { return fmt.Sprintf("process %s: %v", e.Name, e.Reason) }

// Unwrap returns the reason.
func (e *ProcessError) Unwrap() error { return e.Reason }

// startProcess starts a program with a settings file. Its output is appended to name.log in the fleet's directory.
func (f *Fleet) startProcess(program, name, settings string) (*Process, error) {
	const flags = os.O_CREATE | os.O_WRONLY | os.O_APPEND
	log, err := os.OpenFile(filepath.Join(f.directory, name+".log"), flags, 0o600)
	if err != nil {
		return nil, &ProcessError{name, err}
	}
	p := &Process{name: name, log: log, done: make(chan error, 1)}
	p.cmd = exec.Command(filepath.Join(f.binaries, program), "--settings", settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), f.environment...)
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(&ProcessError{name, err}, log.Close())
	}
	f.group.Go("wait for "+name, func() error {
		p.done <- p.cmd.Wait()
		return nil
	})
	return p, nil
}

// Name returns the process's name in the fleet.
func (p *Process) Name() string { return p.name }

// ID returns the operating system's process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Log returns everything that the process has written, or the text of the read error.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Signal sends a signal. It does nothing if the process has exited.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.cmd.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill terminates the process with SIGKILL, like the loss of its machine, and waits for its exit.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_, err := p.wait(10 * time.Second)
	return err
}

// Stop terminates the process with SIGTERM and returns its exit code. It returns an error
// if the process still runs after limit.
func (p *Process) Stop(limit time.Duration) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	return p.wait(limit)
}

func (p *Process) wait(limit time.Duration) (int, error) {
	defer func() { _ = p.log.Close() }()
	select {
	case err := <-p.done:
		p.done <- err
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			return 0, err
		}
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, &ProcessError{p.name, fmt.Errorf("still running after %v", limit)}
	}
}

// writeLog copies the log to w under a heading.
func (p *Process) writeLog(w io.Writer) { fmt.Fprintf(w, "--- %s\n%s", p.name, p.Log()) }
