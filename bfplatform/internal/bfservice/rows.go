package bfservice

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"bilberryflow.org/bfplatform/internal/bffault"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/platform/bfdialect"
)

// Rows serves the store in the form of the platform's rows, with the same faults and
// rate limits as Service.
type Rows struct {
	rows    *bfstore.MemoryTableStore
	handler bfdialect.RowsHandler
	faults  *bffault.Injector
	group   *bfgroup.Group
	reads   *rate.Limiter
	writes  *rate.Limiter
	calls   *bfmetric.Counter
}

// NewRows returns a handler with an empty store; the rates are calls per second.
func NewRows(faults *bffault.Injector, group *bfgroup.Group, readRate, writeRate int, metrics *bfmetric.Registry) *Rows {
	start := time.Now()
	rows := bfstore.NewMemoryTableStore()
	return &Rows{
		rows: rows, faults: faults, group: group,
		handler: bfdialect.RowsHandler{Rows: rows, Now: func() time.Duration { return time.Since(start) }},
		reads:   rate.NewLimiter(rate.Limit(readRate), readRate),
		writes:  rate.NewLimiter(rate.Limit(writeRate), writeRate),
		calls:   metrics.Counter("rows_calls"),
	}
}

// ServeHTTP serves one call, subject to the rate limits and the active faults.
func (s *Rows) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	write := r.Method == http.MethodPost
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	effect := s.faults.EffectOn(time.Now(), write)
	switch {
	case effect.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !limiter.Allow():
		w.WriteHeader(http.StatusTooManyRequests)
	case effect.Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case effect.Late:
		s.runLate(r, effect.Delay)
	default:
		wait(r.Context(), effect.Delay)
		if effect.Cut {
			s.handler.ServeHTTP(&discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		s.handler.ServeHTTP(w, r)
	}
}

// runLate closes the connection and runs the call after a delay.
func (s *Rows) runLate(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.group.Go("late write", func(ctx context.Context) error {
		wait(ctx, delay)
		late := r.Clone(ctx)
		late.Body = io.NopCloser(bytes.NewReader(body))
		s.handler.ServeHTTP(&discardWriter{}, late)
		return nil
	})
	panic(http.ErrAbortHandler)
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

// Header returns headers that are discarded.
func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}

// Write discards p.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader discards the status.
func (d *discardWriter) WriteHeader(int) {}

// Operate serves the operator's calls: PUT writes the configuration, DELETE drops the
// history.
func (s *Rows) Operate(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.rows.DropHistory()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		_, err = bfdialect.DecodeConfiguration(data)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.writeConfiguration(r.Context(), data); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Rows) writeConfiguration(ctx context.Context, data []byte) error {
	entries, _, err := s.rows.List(ctx, bfdialect.ConfigurationTable)
	if err != nil {
		return err
	}
	revision := uint64(0)
	if len(entries) > 0 {
		revision = entries[0].Revision
	}
	_, err = s.rows.Put(ctx, bfdialect.ConfigurationTable, bfdialect.ConfigurationKey, data, revision)
	return err
}
