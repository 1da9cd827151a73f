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

// Rows is the store's face in the form of the users' platform, with the same
// faults and ceilings as the other.
type Rows struct {
	rows   *bfstore.MemoryTableStore
	serve  bfdialect.RowsHandler
	faults *bffault.Switchboard
	group  *bfgroup.Group
	reads  *rate.Limiter
	writes *rate.Limiter
	count  *bfmetric.Counter
}

// NewRows makes the face over an empty store.
func NewRows(faults *bffault.Switchboard, group *bfgroup.Group, readRate, writeRate int, metrics *bfmetric.Registry) *Rows {
	began := time.Now()
	rows := bfstore.NewMemoryTableStore()
	return &Rows{
		rows: rows, faults: faults, group: group,
		serve:  bfdialect.RowsHandler{Rows: rows, Now: func() time.Duration { return time.Since(began) }},
		reads:  rate.NewLimiter(rate.Limit(readRate), readRate),
		writes: rate.NewLimiter(rate.Limit(writeRate), writeRate),
		count:  metrics.Counter("rows_calls"),
	}
}

// ServeHTTP answers one call, unless a fault is on for it.
func (s *Rows) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count.Add(1)
	write := r.Method == http.MethodPost
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	verdict := s.faults.Judge(time.Now(), write)
	switch {
	case verdict.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !limiter.Allow():
		w.WriteHeader(http.StatusTooManyRequests)
	case verdict.Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case verdict.Late:
		s.later(r, verdict.Delay)
	default:
		wait(r.Context(), verdict.Delay)
		if verdict.Cut {
			s.serve.ServeHTTP(&nowhere{}, r)
			panic(http.ErrAbortHandler)
		}
		s.serve.ServeHTTP(w, r)
	}
}

// later cuts the connection and performs the call after a delay.
func (s *Rows) later(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.group.Go("late write", func(ctx context.Context) error {
		wait(ctx, delay)
		late := r.Clone(ctx)
		late.Body = io.NopCloser(bytes.NewReader(body))
		s.serve.ServeHTTP(&nowhere{}, late)
		return nil
	})
	panic(http.ErrAbortHandler)
}

// nowhere takes an answer that nobody gets.
type nowhere struct{ header http.Header }

// Header is dropped with the rest.
func (n *nowhere) Header() http.Header {
	if n.header == nil {
		n.header = http.Header{}
	}
	return n.header
}

// Write drops p.
func (n *nowhere) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (n *nowhere) WriteHeader(int) {}

// Operate serves the operator's side: PUT writes the configuration, DELETE drops the history.
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
	if err := s.write(r.Context(), data); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Rows) write(ctx context.Context, data []byte) error {
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
