package bfsimtarget

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/bftrial/internal/bfproxy"
	"bilberryflow.org/bftrial/internal/bfrunlog"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/platform/bfdialect"
)

var headers = bfdialect.Headers()

// Service is the name of the service of all targets.
const Service = "vault"

// SignatureHeader is the header that identifies a response written by a target.
const SignatureHeader = bfdialect.SignatureHeader

// Signature returns the value of SignatureHeader in the response to a request.
func Signature(id string) string { return "of " + id }

// Slots is the maximum number of concurrent requests of a target.
const Slots = 8

// Config holds what a target needs.
type Config struct {
	Group *bfgroup.Group
	Log   *bfrunlog.Log
	// Version is the version of the target's software.
	Version string
	// Reports is the address at which its node receives reports, Calls the one for its nested calls.
	Reports, Calls string
	// Host is the host of the nested calls, which have a part of the time in CallTimeout.
	Host        string
	CallTimeout time.Duration
	// CrashingContent returns the ID of a request that crashes targets, "" for other paths.
	CrashingContent func(path string) string
	// Ran is called at the start of each run.
	Ran func(id string, r *http.Request)
	// Crashed is called with each run that crashes the target; first is set for the first one.
	Crashed func(t *Target, content string, began time.Time, first bool)
}

// Target is one incarnation of a target, from its start to its stop or crash.
type Target struct {
	config   Config
	id       string
	server   *http.Server
	proxy    *bfproxy.Proxy
	reports  bfdialect.ReportSender
	inFlight atomic.Int32
	state    atomic.Int32
	sequence atomic.Int64
	endOnce  sync.Once
	limits   *bfrunlog.Limits
	// lostPercent is the percentage of responses dropped after the run, duplicatedPercent that of
	// responses sent twice, failedPercent that of runs that end with an error.
	lostPercent, duplicatedPercent, failedPercent atomic.Int32
	// refusedPercent is the percentage of requests refused by answers that are repeated.
	refusedPercent atomic.Int32
	// endlessPercent is the percentage of responses without an end.
	endlessPercent atomic.Int32
	// leaving has the answers say that the target leaves, nests has a part of the runs make a nested
	// call.
	leaving, nests atomic.Bool
	// saidLeaving is when the first answer said that the target leaves, nil before.
	saidLeaving atomic.Pointer[time.Time]
}

var incarnations atomic.Int64

// Start starts a new incarnation.
func Start(config Config) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := bfproxy.New(config.Group, listener.Addr().String())
	if err != nil {
		return nil, err
	}
	t := &Target{
		config: config, id: fmt.Sprintf("i-%d", incarnations.Add(1)), proxy: p,
		reports: bfdialect.ReportSender{NodeAddress: config.Reports, Client: &http.Client{Timeout: time.Second}},
	}
	t.limits = config.Log.AddIncarnation(t.id)
	t.state.Store(int32(bflifecycle.Ready))
	t.server = &http.Server{Handler: t}
	config.Group.Go("target", func(context.Context) error {
		_ = t.server.Serve(listener)
		return nil
	})
	config.Group.Go("heartbeats", t.sendHeartbeats)
	return t, nil
}

// ID returns the name of the incarnation.
func (t *Target) ID() string { return t.id }

// Version returns the version of the target's software.
func (t *Target) Version() string { return t.config.Version }

// Proxy returns the proxy through which requests reach the target.
func (t *Target) Proxy() *bfproxy.Proxy { return t.proxy }

// Limits returns the limits that the target names and the requests that it got.
func (t *Target) Limits() *bfrunlog.Limits { return t.limits }

// LoseResponses has a percentage of the responses dropped after the run.
func (t *Target) LoseResponses(percent int32) { t.lostPercent.Store(percent) }

// DuplicateResponses has a percentage of the responses sent twice.
func (t *Target) DuplicateResponses(percent int32) { t.duplicatedPercent.Store(percent) }

// SendEndlessly has a percentage of the responses sent without an end.
func (t *Target) SendEndlessly(percent int32) { t.endlessPercent.Store(percent) }

// FailRuns has a percentage of the runs end with an error.
func (t *Target) FailRuns(percent int32) { t.failedPercent.Store(percent) }

// MakeNestedCalls has a part of the runs make a nested call.
func (t *Target) MakeNestedCalls() { t.nests.Store(true) }

// SayLeaving has all answers say from now on that the target leaves; its heartbeats don't.
func (t *Target) SayLeaving() { t.leaving.Store(true) }

// SaidLeaving returns when an answer first said that the target leaves; ok is false before.
func (t *Target) SaidLeaving() (at time.Time, ok bool) {
	if said := t.saidLeaving.Load(); said != nil {
		return *said, true
	}
	return time.Time{}, false
}

// Exit ends the target without a word.
func (t *Target) Exit() {
	t.state.Store(0)
	t.server.Close()
}

const heartbeatInterval = 300 * time.Millisecond

func (t *Target) sendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil && t.state.Load() != 0 {
		beat := t.heartbeat()
		if beat.State == 0 {
			return nil
		}
		err := t.reports.SendHeartbeat(ctx, beat)
		if err == nil && beat.State == bflifecycle.Draining {
			t.config.Log.RecordDeparture(t.id)
			return nil
		}
		time.Sleep(heartbeatInterval)
	}
	return nil
}

// heartbeat returns the next heartbeat.
func (t *Target) heartbeat() bflifecycle.Heartbeat {
	return bflifecycle.Heartbeat{
		Incarnation: t.id, Sequence: t.sequence.Add(1), Service: Service, Address: t.proxy.Address(),
		Slots: Slots, State: bflifecycle.State(t.state.Load()), Version: t.config.Version,
	}
}

// HealthPath is where a target answers whether it accepts requests.
const HealthPath = "/healthz"

// serveHealth answers whether the target accepts requests, or that it is too full to answer.
func (t *Target) serveHealth(w http.ResponseWriter) {
	w.Header().Set(headers.Target, t.id)
	switch {
	case t.inFlight.Load() >= Slots:
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case bflifecycle.State(t.state.Load()) != bflifecycle.Ready || t.leaving.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP runs one request, with the faults that are set on the target.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		t.serveHealth(w)
		return
	}
	if t.refuses() {
		t.refuseRepeatedly(w, r.Header.Get(headers.RequestID))
		return
	}
	t.serve(w, r)
}

// serve runs one request, unless it is misdirected or beyond the slots.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.RequestID)
	w.Header().Set(headers.RequestID, id)
	w.Header().Set(headers.Target, t.id)
	if r.Header.Get(headers.ExpectTarget) != t.id {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	received, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // not run
	}
	t.limits.RecordArrival()
	t.writeLimit(w.Header())
	if t.leaving.Load() {
		w.Header().Set(headers.Leaving, "1")
		now := time.Now()
		t.saidLeaving.CompareAndSwap(nil, &now)
	}
	defer t.inFlight.Add(-1)
	if t.inFlight.Add(1) > Slots {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.config.Log.RecordRun(id, t.id, t.config.Version)
	t.config.Ran(id, r)
	if content := t.config.CrashingContent(r.URL.Path); content != "" {
		t.crash(content)
	}
	if t.nests.Load() && r.Method == http.MethodGet && rand.IntN(4) == 0 && !strings.Contains(id, nestedSuffix) {
		t.callNested(r.Context(), id)
	}
	time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	body := ResponseBody(id)
	if sum := r.Header.Get(BodySumHeader); sum != "" && sum != BodySum(received) {
		body = "run with another body than was sent"
	}
	draw := rand.Int32N(100)
	switch {
	case draw < t.lostPercent.Load():
		panic(http.ErrAbortHandler)
	case draw < t.lostPercent.Load()+t.duplicatedPercent.Load():
		t.respondTwice(w, id, body)
	case draw < t.lostPercent.Load()+t.duplicatedPercent.Load()+t.endlessPercent.Load():
		t.respondEndlessly(w, id)
	case t.answersUnproven():
		w.WriteHeader(http.StatusServiceUnavailable)
	case rand.Int32N(100) < t.failedPercent.Load():
		w.Header().Set(SignatureHeader, Signature(id))
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set(SignatureHeader, Signature(id))
		_, _ = io.WriteString(w, body)
	}
}

// writeLimit names the limit in an answer.
func (t *Target) writeLimit(header http.Header) {
	if perSecond := t.limits.Current(); perSecond > 0 {
		header.Set(headers.Limit, strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
}

// nestedSuffix follows the ID of a run in the ID of its nested call.
const nestedSuffix = ".n"

// callNested makes a nested call through the target's own node. Its outcome is not checked: the run
// goes on without it.
func (t *Target) callNested(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, t.config.CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.config.Calls+"/look-v1/"+id, nil)
	if err != nil {
		return
	}
	request.Host = t.config.Host
	request.Header.Set(headers.RequestID, id+nestedSuffix)
	request.Header.Set(headers.Deadline, strconv.FormatInt(t.config.CallTimeout.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// respondTwice writes the response twice on the connection.
func (t *Target) respondTwice(w http.ResponseWriter, id, body string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	var header strings.Builder
	_ = w.Header().Write(&header) // a strings.Builder never fails
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", header.String(), SignatureHeader, Signature(id), len(body), body)
	_, _ = io.WriteString(c, response+response)
	time.Sleep(20 * time.Millisecond)
}

// Stop shuts the incarnation down. It first announces draining by heartbeat if announced
// is set, or departs otherwise, and serves for 2.5 s more.
func (t *Target) Stop(ctx context.Context, announced bool) {
	if announced {
		t.state.Store(int32(bflifecycle.Draining))
	} else {
		t.state.Store(0)
		if t.reports.SendDeparture(ctx, bflifecycle.Departure{Incarnation: t.id}) == nil {
			t.config.Log.RecordDeparture(t.id)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	t.state.Store(0)
	_ = t.reports.SendDeparture(ctx, bflifecycle.Departure{Incarnation: t.id})
	t.server.Close()
}

// crashAfter is how long the target runs a crashing request.
const crashAfter = 50 * time.Millisecond

// crash terminates the incarnation while it runs a request.
func (t *Target) crash(content string) {
	began := time.Now()
	time.Sleep(crashAfter)
	first := false
	t.endOnce.Do(func() {
		first = true
		t.state.Store(0)
		t.proxy.Close()
		t.server.Close()
	})
	t.config.Crashed(t, content, began, first)
	panic(http.ErrAbortHandler)
}
