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

// Health is what the health endpoint says.
type Health string

// What the health endpoint can be told to say.
const (
	HealthTrue      Health = ""
	HealthHealthy   Health = "healthy"
	HealthUnhealthy Health = "unhealthy"
)

// Behaviour is how the target acts; it is changed while it runs.
type Behaviour struct {
	// ServiceTime is the mean time of one request on a warm target, in milliseconds.
	ServiceTime float64 `json:"serviceTimeMs"`
	// Spread is the share by which service times vary, 0 to 1.
	Spread float64 `json:"spread"`
	// Shed refuses every request as not run.
	Shed bool `json:"shed"`
	// SayHealth makes the health endpoint lie.
	SayHealth Health `json:"sayHealth"`
	// HealthLag is how old the health and load endpoints' answers are, in milliseconds.
	HealthLag int64 `json:"healthLagMs"`
	// CutAfter breaks answers after that many bytes of body; 0 never does.
	CutAfter int `json:"cutAfter"`
	// QueueAll has requests wait for a slot without bound and run to their end
	// even when their callers have gone, as a target without admission does.
	QueueAll bool `json:"queueAll"`
}

// Validate finds a behaviour that can't be.
func (b Behaviour) Validate() error {
	switch {
	case b.ServiceTime < 0 || b.Spread < 0 || b.Spread > 1 || b.HealthLag < 0 || b.CutAfter < 0:
		return fmt.Errorf("behaviour %+v: times and sizes are 0 or more, spread 0 to 1", b)
	case b.SayHealth != HealthTrue && b.SayHealth != HealthHealthy && b.SayHealth != HealthUnhealthy:
		return fmt.Errorf("sayHealth %q: allowed: healthy, unhealthy or empty", b.SayHealth)
	}
	return nil
}

// maxDownload is the largest body in bytes that a caller may ask for.
const maxDownload = 64 << 20

// Target runs requests.
type Target struct {
	instance  string
	service   string
	slots     chan struct{}
	started   time.Time
	coldStart time.Duration
	behaviour atomic.Pointer[Behaviour]
	leaving   atomic.Bool
	ledger    *bfledger.Ledger
	// onRun is told of each run before it begins, so that what was run is
	// known after the process was killed too.
	onRun func(id, key, mark string)
	// onCrash ends the process, for a request that asks for that.
	onCrash func()

	mu      sync.Mutex
	history []observation
}

// New makes a target with so many slots that takes coldStart to reach its full rate.
func New(instance, service string, slots int, coldStart time.Duration, behaviour Behaviour, ledger *bfledger.Ledger) *Target {
	t := &Target{
		instance: instance, service: service, slots: make(chan struct{}, slots),
		started: time.Now(), coldStart: coldStart, ledger: ledger,
	}
	t.behaviour.Store(&behaviour)
	return t
}

// OnRun has fn told of each run before it begins; it must be set before the target serves.
func (t *Target) OnRun(fn func(id, key, mark string)) { t.onRun = fn }

// OnCrash has fn end the process for a request with the query parameter crash, once it has
// run for its time; it must be set before the target serves.
func (t *Target) OnCrash(fn func()) { t.onCrash = fn }

// SetBehaviour changes how the target acts from now on.
func (t *Target) SetBehaviour(b Behaviour) { t.behaviour.Store(&b) }

// Behaviour is how the target acts now.
func (t *Target) Behaviour() Behaviour { return *t.behaviour.Load() }

// Leave refuses work that comes from now on.
func (t *Target) Leave() { t.leaving.Store(true) }

// InUse is how many requests run now.
func (t *Target) InUse() int { return len(t.slots) }

// ServeHTTP runs one request.
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
	if err := t.work(ctx, r, behaviour); err != nil {
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

// takeSlot takes one of the slots; false means that the request is shed.
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

// writeTiming tells how long the target itself took, by the standard header Server-Timing.
func writeTiming(header http.Header, took time.Duration) {
	header.Set("Server-Timing", fmt.Sprintf("target;dur=%.3f", took.Seconds()*1000))
}

func (t *Target) shed(w http.ResponseWriter, id, key, reason string) {
	t.ledger.Record(id, key, func(run *bfledger.Run) { run.Shed++ })
	w.Header().Set(bfheader.Outcome, bfheader.OutcomeNotRun)
	w.Header().Set(bfheader.Reason, reason)
	w.Header().Set(bfheader.RetryAfter, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

var errDeadline = errors.New("deadline reached")

func (t *Target) work(ctx context.Context, r *http.Request, behaviour Behaviour) error {
	left, err := bfheader.ReadDeadline(r.Header)
	if err != nil {
		return err
	}
	if left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, left, errDeadline)
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

// coldFactor is how much longer a request takes at the very start.
const coldFactor = 4.0

func (t *Target) serviceTime(r *http.Request, behaviour Behaviour) time.Duration {
	ms := behaviour.ServiceTime
	if asked, err := strconv.ParseFloat(r.URL.Query().Get("work"), 64); err == nil && asked >= 0 {
		ms = asked
	}
	ms *= 1 - behaviour.Spread + 2*behaviour.Spread*rand.Float64()
	if age := time.Since(t.started); age < t.coldStart {
		ms *= coldFactor - (coldFactor-1)*float64(age)/float64(t.coldStart)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Result is the body of an answer, unless a download was asked for.
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
	// The node that went away has its own error for it.
	_, _ = w.Write(data)
}

// download makes a body that a reader can check byte by byte against the request's ID.
func download(id string, size int) []byte {
	data := make([]byte, size)
	pattern := []byte(id + "\n")
	for i := range data {
		data[i] = pattern[i%len(pattern)]
	}
	return data
}
