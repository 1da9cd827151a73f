package bfcommand

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport"

	"bilberryflow.org/bfplatform/internal/bffault"
	"bilberryflow.org/bfplatform/internal/bfservice"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfprogram"
	"bilberryflow.org/lib/bfserver"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/platform/bfdialect"
)

// Settings are the settings of the simulated platform.
type Settings struct {
	Listen          string `json:"listen" jsonschema:"minLength=1,description=Address and port of the platform's calls; /faults and /debug/vars are there too."`
	ReadsPerSecond  int    `json:"readsPerSecond,omitempty" jsonschema:"minimum=1,maximum=1000000,description=Reads a second before calls are refused."`
	WritesPerSecond int    `json:"writesPerSecond,omitempty" jsonschema:"minimum=1,maximum=1000000,description=Writes a second before calls are refused."`
	Seed            uint64 `json:"seed,omitempty" jsonschema:"description=Seed for faults that meet a share of the calls."`
}

// Program returns the daemon bfplatform.
func Program() bfprogram.Program[Settings] {
	return bfprogram.Program[Settings]{
		Name:        "bfplatform",
		Description: "Stand-in for the platform: table service and object store in memory, with faults.",
		Defaults:    defaults,
		Example:     func() Settings { s := defaults(); s.Listen = "127.0.0.1:7900"; return s },
		Check:       func(Settings) error { return nil },
		Instance:    func(Settings) string { return "platform" },
		Build:       build,
	}
}

func defaults() Settings {
	// The rate limits of the real platform.
	return Settings{ReadsPerSecond: 2000, WritesPerSecond: 400, Seed: 1}
}

func build(settings Settings, _ *bflog.Logger) (bfprogram.App, error) {
	metrics := bfmetric.New()
	metrics.Publish("platform")
	group := bfgroup.New(context.Background())
	faults := bffault.New(settings.Seed)
	service := bfservice.New(bfstore.NewMemory(), faults, group, settings.ReadsPerSecond, settings.WritesPerSecond, metrics)
	mux := http.NewServeMux()
	rows := bfservice.NewRows(faults, group, settings.ReadsPerSecond, settings.WritesPerSecond, metrics)
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		if bfdialect.IsRowsCall(r.URL.Path) {
			rows.ServeHTTP(w, r)
			return
		}
		service.ServeHTTP(w, r)
	})
	mux.HandleFunc("/configuration", rows.Operate)
	mux.HandleFunc("GET /rollout/{service}", rows.OperateRollout)
	mux.HandleFunc("PUT /rollout/{service}", rows.OperateRollout)
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, r *http.Request) {
		age, err := time.ParseDuration(r.URL.Query().Get("age"))
		if err != nil || age < 0 {
			http.Error(w, "age: a duration, at least 0s", http.StatusBadRequest)
			return
		}
		rows.Restore(age)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) { addFault(faults, w, r) })
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		faults.Clear()
		w.WriteHeader(http.StatusNoContent)
	})
	port, err := bfserver.Listen("platform", settings.Listen, mux, bfserver.Options{})
	if err != nil {
		return bfprogram.App{}, err
	}
	return bfprogram.App{
		Servers:     []transport.Server{port},
		Drain:       func(context.Context) { group.Cancel() },
		StopTimeout: time.Second,
	}, nil
}

func addFault(faults *bffault.Injector, w http.ResponseWriter, r *http.Request) {
	var spec bffault.Spec
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&spec)
	if err == nil {
		err = faults.Add(time.Now(), spec)
	}
	var specErr *bffault.SpecError
	switch {
	case errors.As(err, &specErr):
		http.Error(w, specErr.Error(), http.StatusUnprocessableEntity)
	case err != nil:
		http.Error(w, "not a fault order: "+err.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
