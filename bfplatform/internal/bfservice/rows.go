package bfservice

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
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
	// copies are the store's past states, oldest first.
	copiesMu sync.Mutex
	copies   []rowsCopy
}

// rowsCopy is the state of the store at a time.
type rowsCopy struct {
	at     time.Time
	backup bfstore.Backup
}

const (
	// copyInterval is the time between two copies of the store, and maxCopies the number that is kept.
	copyInterval = 200 * time.Millisecond
	maxCopies    = 100
)

// NewRows returns a handler with an empty store; the rates are calls per second.
func NewRows(faults *bffault.Injector, group *bfgroup.Group, readRate, writeRate int, metrics *bfmetric.Registry) *Rows {
	start := time.Now()
	rows := bfstore.NewMemoryTableStore()
	s := &Rows{
		rows: rows, faults: faults, group: group,
		handler: bfdialect.RowsHandler{Rows: rows, Now: func() time.Duration { return time.Since(start) }, Era: rows.Era},
		reads:   rate.NewLimiter(rate.Limit(readRate), readRate),
		writes:  rate.NewLimiter(rate.Limit(writeRate), writeRate),
		calls:   metrics.Counter("rows_calls"),
	}
	group.Go("copies of the store", s.keepCopies)
	return s
}

// keepCopies copies the store until ctx ends.
func (s *Rows) keepCopies(ctx context.Context) error {
	for ctx.Err() == nil {
		s.copiesMu.Lock()
		s.copies = append(s.copies, rowsCopy{time.Now(), s.rows.Backup()})
		s.copies = s.copies[max(len(s.copies)-maxCopies, 0):]
		s.copiesMu.Unlock()
		wait(ctx, copyInterval)
	}
	return nil
}

// Restore replaces the store by its newest copy of at least an age, which begins the store's next
// era. What was written since is lost.
func (s *Rows) Restore(age time.Duration) {
	s.copiesMu.Lock()
	defer s.copiesMu.Unlock()
	at := len(s.copies) - 1
	for at > 0 && time.Since(s.copies[at].at) < age {
		at--
	}
	s.rows.Restore(s.copies[at].backup)
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
	return s.put(ctx, bfdialect.ConfigurationKey, data)
}

// put writes a row of the operator's table.
func (s *Rows) put(ctx context.Context, key string, value []byte) error {
	row, _ := s.row(ctx, bfdialect.ConfigurationTable, key)
	_, err := s.rows.Put(ctx, bfdialect.ConfigurationTable, key, value, row.Revision)
	return err
}

// row returns a row; found is false if it does not exist.
func (s *Rows) row(ctx context.Context, table, key string) (row bfstore.Entry, found bool) {
	// List of a store in memory has no errors.
	entries, _, _ := s.rows.List(ctx, table)
	at := slices.IndexFunc(entries, func(e bfstore.Entry) bool { return e.Key == key })
	if at < 0 {
		return bfstore.Entry{}, false
	}
	return entries[at], true
}

// OperateRollout serves the operator's calls for the roll-out of the service in the path: PUT
// writes an order, GET reads the status.
func (s *Rows) OperateRollout(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	if r.Method == http.MethodGet {
		row, found := s.row(r.Context(), bfdialect.StatusTable, bfdialect.RolloutKey(service))
		if !found {
			http.Error(w, "no status", http.StatusNotFound)
			return
		}
		// A write error means that the operator closed the connection.
		_, _ = w.Write(row.Value)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		_, err = bfdialect.DecodeRolloutOrder(service, data, 0)
	}
	if err == nil {
		err = s.put(r.Context(), bfdialect.RolloutKey(service), data)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
