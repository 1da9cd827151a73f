package bfservice

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"bilberryflow.org/bfplatform/internal/bffault"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftable"
)

// maxBody is the size limit of a request body in bytes.
const maxBody = 64 << 20

// Service serves the platform's protocol.
type Service struct {
	store  *bfstore.Memory
	faults *bffault.Injector
	group  *bfgroup.Group
	reads  *rate.Limiter
	writes *rate.Limiter
	// maxBody is a field so that tests can lower it.
	maxBody int64

	readCount, writeCount, refusedCount *bfmetric.Counter
}

// New returns a service over store that accepts readRate reads and writeRate writes
// per second.
func New(store *bfstore.Memory, faults *bffault.Injector, group *bfgroup.Group, readRate, writeRate int, metrics *bfmetric.Registry) *Service {
	return &Service{
		store: store, faults: faults, group: group, maxBody: maxBody,
		reads:        rate.NewLimiter(rate.Limit(readRate), readRate),
		writes:       rate.NewLimiter(rate.Limit(writeRate), writeRate),
		readCount:    metrics.Counter("reads"),
		writeCount:   metrics.Counter("writes"),
		refusedCount: metrics.Counter("refused"),
	}
}

// call is a decoded call of the protocol, independent of injected faults.
type call struct {
	write bool
	// keys are the rows that the call writes.
	keys []string
	run  func(ctx context.Context) (status int, answer any)
}

// ServeHTTP serves one call, subject to the rate limits and the active faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A body over the limit fails the request; truncated, a stored snapshot would look
	// complete.
	r.Body = http.MaxBytesReader(w, r.Body, s.maxBody)
	decoded, err := s.decode(r)
	if err != nil {
		answer(w, http.StatusBadRequest, bftable.FailureAnswer{Reason: err.Error()})
		return
	}
	limiter, counter := s.reads, s.readCount
	if decoded.write {
		limiter, counter = s.writes, s.writeCount
	}
	counter.Add(1)
	effect := s.faults.EffectOn(time.Now(), decoded.write, decoded.keys...)
	if effect.Refuse || !limiter.Allow() {
		s.refuse(w, effect.Refuse)
		return
	}
	s.run(w, r, decoded, effect)
}

func (s *Service) refuse(w http.ResponseWriter, down bool) {
	s.refusedCount.Add(1)
	w.Header().Set("Retry-After", "1")
	if down {
		answer(w, http.StatusServiceUnavailable, bftable.FailureAnswer{Reason: "platform is down"})
		return
	}
	answer(w, http.StatusTooManyRequests, bftable.FailureAnswer{Reason: "rate ceiling reached"})
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, decoded call, effect bffault.Effect) {
	switch {
	case effect.Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case effect.Late:
		s.group.Go("late write", func(ctx context.Context) error {
			wait(ctx, effect.Delay)
			decoded.run(ctx)
			return nil
		})
		panic(http.ErrAbortHandler)
	}
	wait(r.Context(), effect.Delay)
	status, body := decoded.run(r.Context())
	if effect.Cut {
		panic(http.ErrAbortHandler)
	}
	if data, raw := body.([]byte); raw {
		w.WriteHeader(status)
		// A write error means that the caller closed the connection.
		_, _ = w.Write(data)
		return
	}
	answer(w, status, body)
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

var (
	errNoSuchCall = errors.New("no such call")
	errTrailing   = errors.New("bytes behind the request")
	errLimit      = errors.New("limit is below 1")
)

func (s *Service) decode(r *http.Request) (call, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return call{}, err
	}
	if name, found := strings.CutPrefix(r.URL.EscapedPath(), bftable.PathObjects); found {
		return s.decodeObject(r, name, body)
	}
	if r.Method != http.MethodPost {
		return call{}, errNoSuchCall
	}
	switch r.URL.Path {
	case bftable.PathGet:
		var request bftable.GetRequest
		return call{run: func(ctx context.Context) (int, any) { return rowsAnswer(s.store.Get(ctx, request.Keys...)) }}, decodeStrict(body, &request)
	case bftable.PathRange:
		var request bftable.RangeRequest
		err := decodeStrict(body, &request)
		if err == nil && request.Limit < 1 {
			err = errLimit
		}
		return call{run: func(ctx context.Context) (int, any) {
			return rowsAnswer(s.store.Range(ctx, request.From, request.To, request.Limit))
		}}, err
	case bftable.PathCommit:
		var tx bfstore.Transaction
		err := decodeStrict(body, &tx)
		var keys []string
		for _, write := range tx.Writes {
			keys = append(keys, write.Key)
		}
		run := func(ctx context.Context) (int, any) { return commitAnswer(s.store.Commit(ctx, tx)) }
		return call{write: true, keys: keys, run: run}, err
	}
	return call{}, errNoSuchCall
}

func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errTrailing
	}
	return nil
}

func rowsAnswer(rows []bfstore.Row, err error) (int, any) {
	if err != nil {
		return http.StatusInternalServerError, bftable.FailureAnswer{Reason: err.Error()}
	}
	if rows == nil {
		rows = []bfstore.Row{} // encoded as [] and not as null
	}
	return http.StatusOK, bftable.RowsAnswer{Rows: rows}
}

func commitAnswer(err error) (int, any) {
	var conflict *bfstore.ConflictError
	if errors.As(err, &conflict) {
		return http.StatusConflict, bftable.ConflictAnswer{Row: conflict.Row}
	}
	return http.StatusOK, struct{}{}
}

func (s *Service) decodeObject(r *http.Request, escaped string, body []byte) (call, error) {
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return call{}, err
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		prefix := r.URL.Query().Get("prefix")
		return call{run: func(ctx context.Context) (int, any) {
			names, _ := s.store.ListObjects(ctx, prefix)
			if names == nil {
				names = []string{}
			}
			return http.StatusOK, bftable.NamesAnswer{Names: names}
		}}, nil
	case name == "":
		return call{}, errNoSuchCall
	case r.Method == http.MethodGet:
		return call{run: func(ctx context.Context) (int, any) {
			data, err := s.store.Object(ctx, name)
			if err != nil {
				return http.StatusNotFound, bftable.FailureAnswer{Reason: err.Error()}
			}
			return http.StatusOK, data
		}}, nil
	case r.Method == http.MethodPut:
		return call{write: true, run: func(ctx context.Context) (int, any) {
			return commitAnswer(s.store.PutObject(ctx, name, body))
		}}, nil
	case r.Method == http.MethodDelete:
		return call{write: true, run: func(ctx context.Context) (int, any) {
			return commitAnswer(s.store.DeleteObject(ctx, name))
		}}, nil
	}
	return call{}, errNoSuchCall
}
