package bfworkload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/bftarget/internal/bfledger"
	"bilberryflow.org/lib/bfheader"
)

// Health is the status that the health endpoint reports.
type Health string

// Values of Health; HealthTrue, valid in a Behaviour only, reports the actual status.
const (
	HealthTrue      Health = ""
	HealthHealthy   Health = "healthy"
	HealthUnhealthy Health = "unhealthy"
)

// Behaviour configures how the target acts; it can be changed at run time.
type Behaviour struct {
	// ServiceTime is the mean time of one request on a warm target, in milliseconds.
	ServiceTime float64 `json:"serviceTimeMs"`
	// Spread is the relative variation of service times, 0 to 1.
	Spread float64 `json:"spread"`
	// Shed refuses every request as not run.
	Shed bool `json:"shed"`
	// SayHealth is the status that the health endpoint reports in place of the actual one.
	SayHealth Health `json:"sayHealth"`
	// HealthLag is the age of the health and load endpoints' answers, in milliseconds.
	HealthLag int64 `json:"healthLagMs"`
	// CutAfter cuts responses after that many bytes of the body; 0 disables it.
	CutAfter int `json:"cutAfter"`
	// QueueAll has requests wait for a slot without bound and run to completion even if
	// their callers disconnect, as in a target without admission control.
	QueueAll bool `json:"queueAll"`
}

// Validate returns an error for a value out of range.
func (b Behaviour) Validate() error {
	switch {
	case b.ServiceTime < 0 || b.Spread < 0 || b.Spread > 1 || b.HealthLag < 0 || b.CutAfter < 0:
		return fmt.Errorf("behaviour %+v: times and sizes are 0 or more, spread 0 to 1", b)
	case b.SayHealth != HealthTrue && b.SayHealth != HealthHealthy && b.SayHealth != HealthUnhealthy:
		return fmt.Errorf("sayHealth %q: allowed: healthy, unhealthy or empty", b.SayHealth)
	}
	return nil
}

// maxDownload is the largest response body that a request can ask for, in bytes.
const maxDownload = 64 << 20

// Target runs requests; it is an http.Handler.
type Target struct {
	instance  string
	service   string
	slots     chan struct{}
	started   time.Time
	coldStart time.Duration
	behaviour atomic.Pointer[Behaviour]
	leaving   atomic.Bool
	ledger    *bfledger.Ledger
	// onRun is called before each run, so that its log is complete even if the process is
	// killed.
	onRun func(id, key, mark string)
	// onCrash ends the process, for a request that asks for a crash.
	onCrash func()

	mu      sync.Mutex
	history []observation
}

// New returns a target with a number of slots that takes coldStart to reach its full
// rate.
func New(instance, service string, slots int, coldStart time.Duration, behaviour Behaviour, ledger *bfledger.Ledger) *Target {
	t := &Target{
		instance: instance, service: service, slots: make(chan struct{}, slots),
		started: time.Now(), coldStart: coldStart, ledger: ledger,
	}
	t.behaviour.Store(&behaviour)
	return t
}

// OnRun sets a function that is called before each run; call it before the target
// serves.
func (t *Target) OnRun(fn func(id, key, mark string)) { t.onRun = fn }

// OnCrash sets the function that ends the process for a request with the query
// parameter crash, after its service time; call it before the target serves.
func (t *Target) OnCrash(fn func()) { t.onCrash = fn }

// SetBehaviour replaces the behaviour for later requests.
func (t *Target) SetBehaviour(b Behaviour) { t.behaviour.Store(&b) }

// Behaviour returns the current behaviour.
func (t *Target) Behaviour() Behaviour { return *t.behaviour.Load() }

// Leave makes the target refuse new requests.
func (t *Target) Leave() { t.leaving.Store(true) }

// InUse returns the number of slots in use.
func (t *Target) InUse() int { return len(t.slots) }

// ServeHTTP runs one request or sheds it.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	behaviour := t.Behaviour()
	id, key := r.Header.Get(bfheader.RequestID), r.Header.Get(bfheader.IdempotencyKey)
	if t.leaving.Load() || behaviour.Shed {
		t.shed(w, id, key, "shed")
		return
	}
	if !t.takeSlot(behaviour) {
		t.shed(w, id, key, "no slot")
		return
	}
	defer func() { <-t.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.shed(w, id, key, "request cut")
		return
	}
	if t.onRun != nil {
		t.onRun(id, key, r.URL.Query().Get("mark"))
	}
	t.ledger.Record(id, key, func(run *bfledger.Run) { run.Started++ })
	ctx := r.Context()
	if behaviour.QueueAll {
		ctx = context.WithoutCancel(ctx)
	}
	if err := t.waitServiceTime(ctx, r, behaviour); err != nil {
		t.ledger.Record(id, key, func(run *bfledger.Run) { run.Cancelled++ })
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if t.onCrash != nil && r.URL.Query().Has("crash") {
		t.onCrash()
	}
	t.ledger.Record(id, key, func(run *bfledger.Run) { run.Finished++ })
	writeTiming(w.Header(), time.Since(arrived))
	t.answer(w, r, id, body, behaviour)
}

// takeSlot takes a slot; false means that the request must be shed.
func (t *Target) takeSlot(behaviour Behaviour) bool {
	if behaviour.QueueAll {
		t.slots <- struct{}{}
		return true
	}
	select {
	case t.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// writeTiming reports the target's own processing time in the header Server-Timing.
func writeTiming(header http.Header, elapsed time.Duration) {
	header.Set("Server-Timing", fmt.Sprintf("target;dur=%.3f", elapsed.Seconds()*1000))
}

func (t *Target) shed(w http.ResponseWriter, id, key, reason string) {
	t.ledger.Record(id, key, func(run *bfledger.Run) { run.Shed++ })
	w.Header().Set(bfheader.RequestID, id)
	w.Header().Set(bfheader.Outcome, bfheader.OutcomeNotRun)
	w.Header().Set(bfheader.Reason, reason)
	w.Header().Set(bfheader.RetryAfter, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

var errDeadline = errors.New("deadline reached")

func (t *Target) waitServiceTime(ctx context.Context, r *http.Request, behaviour Behaviour) error {
	remaining, err := bfheader.ReadDeadline(r.Header)
	if err != nil {
		return err
	}
	if remaining > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, remaining, errDeadline)
		defer cancel()
	}
	timer := time.NewTimer(t.serviceTime(r, behaviour))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

// coldFactor is the factor on the service time at the start of a cold target.
const coldFactor = 4.0

func (t *Target) serviceTime(r *http.Request, behaviour Behaviour) time.Duration {
	ms := behaviour.ServiceTime
	if requested, err := strconv.ParseFloat(r.URL.Query().Get("work"), 64); err == nil && requested >= 0 {
		ms = requested
	}
	ms *= 1 - behaviour.Spread + 2*behaviour.Spread*rand.Float64()
	if age := time.Since(t.started); age < t.coldStart {
		ms *= coldFactor - (coldFactor-1)*float64(age)/float64(t.coldStart)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Result is the response body, unless the request asks for a download.
type Result struct {
	RequestID string `json:"requestId"`
	Instance  string `json:"instance"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body,omitempty"`
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, id string, body []byte, behaviour Behaviour) {
	var data []byte
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err == nil && size >= 0 && size <= maxDownload {
		data = download(id, size)
		w.Header().Set("Content-Type", "application/octet-stream")
	} else {
		w.Header().Set("Content-Type", "application/json")
		result := Result{id, t.instance, t.service, r.Method, r.URL.Path, string(body)}
		if data, err = json.Marshal(result); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if behaviour.CutAfter > 0 && behaviour.CutAfter < len(data) {
		_, _ = w.Write(data[:behaviour.CutAfter])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	// A write error means that the node closed the connection.
	_, _ = w.Write(data)
}

// download returns a body that a reader can verify byte by byte from the request's ID.
func download(id string, size int) []byte {
	data := make([]byte, size)
	pattern := []byte(id + "\n")
	for i := range data {
		data[i] = pattern[i%len(pattern)]
	}
	return data
}
