package bfcommand

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/go-kratos/kratos/v2/transport"

	"bilberryflow.org/bftarget/internal/bfledger"
	"bilberryflow.org/bftarget/internal/bfworkload"
	"bilberryflow.org/lib/bfannounce"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfprogram"
	"bilberryflow.org/lib/bfserver"
	"bilberryflow.org/lib/bfsettings"
)

// Settings are the settings of a simulated target.
type Settings struct {
	Instance    string              `json:"instance" jsonschema:"minLength=1,description=Name of the target instance."`
	Service     string              `json:"service" jsonschema:"minLength=1,description=Service whose requests the target answers."`
	Listen      string              `json:"listen" jsonschema:"minLength=1,description=Address and port for requests; /health /load /ledger /behaviour and /debug/vars are there too."`
	Node        string              `json:"node" jsonschema:"minLength=1,description=Target port of the node beside this target."`
	Slots       int                 `json:"slots,omitempty" jsonschema:"minimum=1,maximum=100000,description=Requests that run at once."`
	ServiceTime bfsettings.Duration `json:"serviceTime,omitempty" jsonschema:"description=Mean time of a request on a warm target."`
	Spread      float64             `json:"spread,omitempty" jsonschema:"minimum=0,maximum=1,description=Share by which service times vary."`
	ColdStart   bfsettings.Duration `json:"coldStart,omitempty" jsonschema:"description=Time to reach the full rate after the start."`
	LedgerSize  int                 `json:"ledgerSize,omitempty" jsonschema:"minimum=1,description=Requests that the ledger remembers."`
	LogRuns     bool                `json:"logRuns,omitempty" jsonschema:"description=Log each run before it begins\\, with the caller's query parameter mark."`
	StopTimeout bfsettings.Duration `json:"stopTimeout,omitempty" jsonschema:"description=Bound of a graceful stop."`
}

// Program returns the daemon bftarget.
func Program() bfprogram.Program[Settings] {
	return bfprogram.Program[Settings]{
		Name:           "bftarget",
		SynchronousLog: true,
		Description:    "Stand-in for a target instance: slots, cold start, shedding, and a ledger of what it ran.",
		Defaults:       defaults,
		Example:        example,
		Check:          func(Settings) error { return nil },
		Instance:       func(s Settings) string { return s.Instance },
		Build:          build,
	}
}

func defaults() Settings {
	return Settings{
		Slots: 12, ServiceTime: bfsettings.Duration(10 * time.Millisecond), Spread: 0.2,
		LedgerSize: 1_000_000, StopTimeout: bfsettings.Duration(30 * time.Second),
	}
}

func example() Settings {
	s := defaults()
	s.Instance, s.Service = "wien-nord-1", "portal-core"
	s.Listen, s.Node = "127.0.0.1:7805", "127.0.0.1:7804"
	return s
}

func build(s Settings, logger *bflog.Logger) (bfprogram.App, error) {
	ledger := bfledger.New(s.LedgerSize)
	behaviour := bfworkload.Behaviour{
		ServiceTime: float64(s.ServiceTime.Std()) / float64(time.Millisecond), Spread: s.Spread,
	}
	target := bfworkload.New(s.Instance, s.Service, s.Slots, s.ColdStart.Std(), behaviour, ledger)
	target.OnCrash(func() { os.Exit(exitCrashed) })
	if s.LogRuns {
		target.OnRun(func(id, key, mark string) {
			logger.Emit(bflog.RunStarted, slog.String("request", id), slog.String("key", key), slog.String("mark", mark))
		})
	}
	port, err := bfserver.Listen("target", s.Listen, routes(target, ledger), bfserver.Options{})
	if err != nil {
		return bfprogram.App{}, err
	}
	announcer := newAnnouncer(s, port.Address(), target, logger)
	return bfprogram.App{
		Servers:     []transport.Server{port, announcer},
		Drain:       announcer.drain,
		StopTimeout: s.StopTimeout.Std(),
	}, nil
}

// exitCrashed is the exit code after a request that asked for a crash.
const exitCrashed = 70

func routes(target *bfworkload.Target, ledger *bfledger.Ledger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", target)
	mux.HandleFunc("GET /health", target.ServeHealth)
	mux.HandleFunc("GET /load", target.ServeHealth)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the reader closed the connection.
		_ = json.NewEncoder(w).Encode(ledger.Page())
	})
	mux.HandleFunc("PUT /behaviour", func(w http.ResponseWriter, r *http.Request) { setBehaviour(target, w, r) })
	return mux
}

// setBehaviour changes the fields that the request sets and keeps the others.
func setBehaviour(target *bfworkload.Target, w http.ResponseWriter, r *http.Request) {
	behaviour := target.Behaviour()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&behaviour)
	if err == nil {
		err = behaviour.Validate()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	target.SetBehaviour(behaviour)
	w.WriteHeader(http.StatusNoContent)
}

// announcer announces the target to its node until the target has left.
type announcer struct {
	settings Settings
	address  string
	target   *bfworkload.Target
	logger   *bflog.Logger
	client   *http.Client
	stop     chan struct{}
	started  time.Time
}

func newAnnouncer(s Settings, address string, target *bfworkload.Target, logger *bflog.Logger) *announcer {
	return &announcer{
		settings: s, address: address, target: target, logger: logger,
		client: &http.Client{Timeout: bfannounce.Heartbeat}, stop: make(chan struct{}), started: time.Now(),
	}
}

func (a *announcer) send(ctx context.Context, leaving bool) (bfannounce.Answer, error) {
	return bfannounce.Send(ctx, a.client, a.settings.Node, bfannounce.Announcement{
		Incarnation: a.started.UnixMicro(), Service: a.settings.Service, Address: a.address, Slots: a.settings.Slots, Leaving: leaving,
	})
}

// Start announces the target at each heartbeat until drain is called or ctx ends.
func (a *announcer) Start(ctx context.Context) error {
	const retryInterval = 100 * time.Millisecond
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.stop:
			return nil
		case <-timer.C:
		}
		a.target.Observe(time.Now())
		delay := bfannounce.Heartbeat
		if _, err := a.send(ctx, false); err != nil {
			// The node may start after its target; the announcement is retried soon.
			delay = retryInterval
		}
		timer.Reset(delay)
	}
}

// Stop does nothing: drain ends the announcements.
func (a *announcer) Stop(context.Context) error { return nil }

// drain announces that the target leaves and returns when nothing is in flight.
func (a *announcer) drain(ctx context.Context) {
	const pollInterval = 50 * time.Millisecond
	close(a.stop)
	a.logger.Emit(bflog.TargetDraining)
	for {
		answer, err := a.send(ctx, true)
		// A node that can't be reached forwards no more requests: only the target's own
		// requests count then, or the target would wait for a dead node forever.
		if (err != nil || answer.InFlight == 0) && a.target.InUse() == 0 {
			a.target.Leave()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}
