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

// Version is the version of all programs of this repository.
const Version = "0.1.0"

// Exit codes of the daemons.
const (
	ExitStopped  = 0 // stopped gracefully, or printed the requested output
	ExitFailed   = 1 // failed at startup or while running
	ExitSettings = 2 // invalid command line or settings; nothing was started
)

// App holds the servers and lifecycle hooks of a running program.
type App struct {
	// Servers are started and stopped together.
	Servers []transport.Server
	// Drain runs before the servers stop. It returns once nothing is in flight or ctx is done.
	Drain func(ctx context.Context)
	// Reload receives the settings reloaded on SIGHUP, of the program's settings type; nil if
	// the program has no settings that a running process can change.
	Reload func(settings any)
	// StopTimeout limits Drain, and the stop of the servers if CloseTimeout is 0.
	StopTimeout time.Duration
	// CloseTimeout limits the stop of the servers after Drain has returned; 0 means StopTimeout.
	CloseTimeout time.Duration
}

// Program describes one daemon; S is its settings struct.
type Program[S any] struct {
	Name        string
	Description string
	// Defaults returns the settings that the settings file overrides.
	Defaults func() S
	// Example returns settings with a value for every field.
	Example func() S
	// Check validates what the schema can't express.
	Check func(S) error
	// Instance returns the instance name for log lines.
	Instance func(S) string
	// SynchronousLog writes each log line synchronously, for test targets whose log must be complete
	// when they are killed.
	SynchronousLog bool
	// Build creates the app; it may open listeners but doesn't serve yet.
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
	received := listen()
	defer received.stop()
	settings, err := p.load(parsed.settings)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return ExitSettings
	}
	if parsed.check {
		fmt.Fprintf(out, "%s: settings are valid\n", p.Name)
		return ExitStopped
	}
	return p.serve(parsed.settings, settings, received, out)
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
		return arguments{}, fmt.Errorf("--settings FILE is required; --example prints an example")
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

func (p Program[S]) serve(path string, settings S, received signals, out io.Writer) int {
	bfserver.DisableKratosLog()
	logger := p.logger(settings, out)
	defer logger.Close()
	app, err := p.Build(settings, logger)
	if err != nil {
		logger.Emit(bflog.ProcessFailed, bflog.Err(err))
		return ExitFailed
	}
	logger.Emit(bflog.ProcessStarted, slog.String("program", p.Name), slog.String("version", Version))
	err = run(p.app(app, logger), received, func() { p.reload(path, app, logger) })
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		logger.Emit(bflog.ProcessFailed, bflog.Err(err))
		return ExitFailed
	}
	// After the timeout the servers close the remaining connections. The process still stopped
	// as requested, so this is no failure.
	logger.Emit(bflog.ProcessStopped, slog.Bool("connections_cut", err != nil))
	return ExitStopped
}

// signals holds the channels on which the process receives signals.
type signals struct{ stops, reloads chan os.Signal }

// listen starts to receive signals.
//
// kratos handles signals only once the servers run. Until then, the default action of a
// SIGTERM or a SIGHUP would kill the process.
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
	if p.SynchronousLog {
		return bflog.New(out, p.Instance(settings), slog.LevelInfo)
	}
	return bflog.NewSpooled(out, p.Instance(settings), slog.LevelInfo)
}

// reload reads the settings file again and passes the settings to the app. If the file is
// invalid, it logs the error and the app keeps its settings.
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

// run runs app until it ends or a stop signal arrives.
func run(app *kratos.App, received signals, reload func()) error {
	group := bfgroup.New(context.Background())
	group.Go("reloads", func(ctx context.Context) error {
		for {
			select {
			case <-received.reloads:
				reload()
			case <-ctx.Done():
				return nil
			}
		}
	})
	group.Go("signals", func(ctx context.Context) error {
		select {
		case <-received.stops:
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
	// A signal is handled by run and by kratos, and both stop the app. The second call must
	// wait for the drain of the first, or the servers would stop during the drain.
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
