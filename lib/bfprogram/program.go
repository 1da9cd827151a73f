package bfprogram

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/integrii/flaggy"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfserver"
	"bilberryflow.org/lib/bfsettings"
)

// Version is the version of every program of this tree.
const Version = "0.1.0"

// Exit codes of the daemons.
const (
	ExitStopped  = 0 // stopped gracefully, or printed what was asked for
	ExitFailed   = 1 // failed while it ran
	ExitSettings = 2 // wrong command line or settings; nothing was started
)

// App is what a program runs until it is stopped.
type App struct {
	// Servers start together and stop together.
	Servers []transport.Server
	// Drain runs before the servers stop; it returns when no work is in flight, or with ctx.
	Drain func(ctx context.Context)
	// Reload takes settings read again at SIGHUP, of the program's settings type;
	// nil where a running process can change nothing.
	Reload func(settings any)
	// StopTimeout bounds the whole graceful stop.
	StopTimeout time.Duration
	// CloseTimeout bounds the stop of the servers once Drain has returned, which
	// left nothing in flight or gave it up; 0 means StopTimeout.
	CloseTimeout time.Duration
}

// Program describes one daemon; S is its settings struct.
type Program[S any] struct {
	Name        string
	Description string
	// Defaults are the settings before the file is read.
	Defaults func() S
	// Example are settings that show every field.
	Example func() S
	// Check finds what a schema can't express.
	Check func(S) error
	// Instance names the process in its logs.
	Instance func(S) string
	// Ledger has each log line written before the program goes on: for stand-ins
	// whose log must hold what they did when they are killed.
	Ledger bool
	// Build makes the app; it may listen but not serve.
	Build func(S, *bflog.Logger) (App, error)
}

type arguments struct {
	settings string
	check    bool
	example  bool
}

// Main runs the program with the process's arguments and returns its exit code.
func (p Program[S]) Main() int {
	return p.run(os.Args[1:], os.Stdout, os.Stderr)
}

func (p Program[S]) run(args []string, out, errOut io.Writer) int {
	parsed, err := p.parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return ExitSettings
	}
	if parsed.example {
		return p.printExample(out, errOut)
	}
	heard := listen()
	defer heard.stop()
	settings, err := p.load(parsed.settings)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return ExitSettings
	}
	if parsed.check {
		fmt.Fprintf(out, "%s: settings are valid\n", p.Name)
		return ExitStopped
	}
	return p.serve(parsed.settings, settings, heard, out)
}

func (p Program[S]) parse(args []string) (arguments, error) {
	var parsed arguments
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = Version
	parser.ShowHelpOnUnexpected = true
	parser.String(&parsed.settings, "s", "settings", "The JSON settings file.")
	parser.Bool(&parsed.check, "c", "check", "Check the settings and exit.")
	parser.Bool(&parsed.example, "e", "example", "Print example settings and exit.")
	if err := parser.ParseArgs(args); err != nil {
		return arguments{}, err
	}
	if parsed.settings == "" && !parsed.example {
		return arguments{}, fmt.Errorf("--settings FILE is needed; --example prints one")
	}
	return parsed, nil
}

func (p Program[S]) printExample(out, errOut io.Writer) int {
	example := p.Example()
	text, err := bfsettings.Example(&example)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
	fmt.Fprint(out, text)
	return ExitStopped
}

func (p Program[S]) load(path string) (S, error) {
	settings := p.Defaults()
	if err := bfsettings.Load(path, &settings); err != nil {
		return settings, err
	}
	return settings, p.Check(settings)
}

func (p Program[S]) serve(path string, settings S, heard signals, out io.Writer) int {
	bfserver.Quiet()
	logger := p.logger(settings, out)
	defer logger.Close()
	app, err := p.Build(settings, logger)
	if err != nil {
		logger.Emit(bflog.ProcessFailed, bflog.Err(err))
		return ExitFailed
	}
	logger.Emit(bflog.ProcessStarted, slog.String("program", p.Name), slog.String("version", Version))
	err = run(p.app(app, logger), heard, func() { p.reload(path, app, logger) })
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		logger.Emit(bflog.ProcessFailed, bflog.Err(err))
		return ExitFailed
	}
	// Past the time for the stop the servers close what is still open; the process
	// was asked to stop all the same.
	logger.Emit(bflog.ProcessStopped, slog.Bool("connections_cut", err != nil))
	return ExitStopped
}

// signals are those that the process has been sent.
type signals struct{ stops, reloads chan os.Signal }

// listen takes signals from now on.
//
// The library listens only once the servers run, and reading the settings takes a
// while: a SIGTERM before that would cut the requests in flight, and a SIGHUP
// would end a process that was to read its settings again.
func listen() signals {
	s := signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, stopSignals...)
	signal.Notify(s.reloads, syscall.SIGHUP)
	return s
}

func (s signals) stop() {
	signal.Stop(s.stops)
	signal.Stop(s.reloads)
}

var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

func (p Program[S]) logger(settings S, out io.Writer) *bflog.Logger {
	if p.Ledger {
		return bflog.New(out, p.Instance(settings), slog.LevelInfo)
	}
	return bflog.NewSpooled(out, p.Instance(settings), slog.LevelInfo)
}

// reload reads the settings file again and hands it to the app. A file that is
// wrong changes nothing: what runs goes on by what it was started with.
func (p Program[S]) reload(path string, app App, logger *bflog.Logger) {
	settings, err := p.load(path)
	if err != nil {
		logger.Emit(bflog.SettingsRefused, bflog.Err(err))
		return
	}
	logger.Emit(bflog.SettingsRead)
	if app.Reload != nil {
		app.Reload(settings)
	}
}

// run runs app until it ends by itself or a signal comes.
func run(app *kratos.App, heard signals, reload func()) error {
	group := bfgroup.New(context.Background())
	group.Go("reloads", func(ctx context.Context) error {
		for {
			select {
			case <-heard.reloads:
				reload()
			case <-ctx.Done():
				return nil
			}
		}
	})
	group.Go("signals", func(ctx context.Context) error {
		select {
		case <-heard.stops:
			return app.Stop()
		case <-ctx.Done():
			return nil
		}
	})
	err := app.Run()
	group.Cancel()
	return errors.Join(err, group.Wait())
}

func (p Program[S]) app(app App, logger *bflog.Logger) *kratos.App {
	// A signal is heard here and by the library; whoever is second must wait for
	// the drain, or the servers stop in the middle of it.
	var drained sync.Once
	return kratos.New(
		kratos.Name(p.Name),
		kratos.Version(Version),
		kratos.Server(app.Servers...),
		kratos.Signal(stopSignals...),
		kratos.StopTimeout(cmp.Or(app.CloseTimeout, app.StopTimeout)),
		kratos.BeforeStop(func(ctx context.Context) error {
			drained.Do(func() {
				logger.Emit(bflog.ProcessStopping)
				app.drain(ctx)
			})
			return nil
		}),
	)
}

func (a App) drain(ctx context.Context) {
	if a.Drain == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.StopTimeout)
	defer cancel()
	a.Drain(ctx)
}
