package bfsoak

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
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/platform/bfdialect"
)

var headers = bfdialect.Headers()

// signatureHeader is the header that identifies a response written by a target.
const signatureHeader = bfdialect.SignatureHeader

// service is the name of the service of all targets.
const service = "vault"

// targetSlots is the maximum number of concurrent requests of a target.
const targetSlots = 8

// incarnation is one life of a target, from its start to its stop or crash.
type incarnation struct {
	id       string
	runLog   *bfrunlog.Log
	crashes  *crashLog
	server   *http.Server
	proxy    *bfproxy.Proxy
	reports  bfdialect.ReportSender
	service  string
	version  string
	node     *nodeSlot
	inFlight atomic.Int32
	state    atomic.Int32
	sequence atomic.Int64
	// crashed is called once after a request has crashed the incarnation.
	crashed func()
	endOnce sync.Once
	// lostPercent is the percentage of responses dropped after the run, duplicatedPercent that of responses sent twice.
	lostPercent, duplicatedPercent atomic.Int32
	// failedPercent is the percentage of runs that end with an error.
	failedPercent atomic.Int32
	limits        *bfrunlog.Limits
	// leaving has the answers say that the target leaves.
	leaving atomic.Bool
	// nests has a part of the runs make a nested call.
	nests atomic.Bool
}

var incarnations atomic.Int64

// startTarget starts a new incarnation at a node.
func startTarget(group *bfgroup.Group, log *bfrunlog.Log, crashes *crashLog, node *nodeSlot, version string, crashed func(*incarnation)) (*incarnation, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := bfproxy.New(group, listener.Addr().String())
	if err != nil {
		return nil, err
	}
	t := &incarnation{
		id: fmt.Sprintf("i-%d", incarnations.Add(1)), runLog: log, crashes: crashes, proxy: p, service: service, node: node, version: version,
		reports: bfdialect.ReportSender{NodeAddress: node.process.Settings().Listen.Target, Client: &http.Client{Timeout: time.Second}},
	}
	t.crashed = func() { crashed(t) }
	t.limits = log.AddIncarnation(t.id)
	t.state.Store(int32(bfhost.Ready))
	t.server = &http.Server{Handler: t}
	group.Go("target", func(context.Context) error {
		_ = t.server.Serve(listener)
		return nil
	})
	group.Go("heartbeats", t.sendHeartbeats)
	return t, nil
}

const heartbeatInterval = 300 * time.Millisecond

func (t *incarnation) sendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil && t.state.Load() != 0 {
		state := bfhost.State(t.state.Load())
		err := t.reports.SendHeartbeat(ctx, bfhost.Heartbeat{
			Incarnation: t.id, Sequence: t.sequence.Add(1), Service: t.service, Address: t.proxy.Address(),
			Slots: targetSlots, State: state, Version: t.version,
		})
		if err == nil && state == bfhost.Draining {
			t.runLog.RecordDeparture(t.id)
			return nil
		}
		time.Sleep(heartbeatInterval)
	}
	return nil
}

// ServeHTTP runs one request, with the faults that are set on the target.
func (t *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.RequestID)
	w.Header().Set(headers.RequestID, id)
	w.Header().Set(headers.Target, t.id)
	if r.Header.Get(headers.ExpectTarget) != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.limits.RecordArrival()
	t.writeLimit(w.Header())
	if t.leaving.Load() {
		w.Header().Set(headers.Leaving, "1")
	}
	defer t.inFlight.Add(-1)
	if t.inFlight.Add(1) > targetSlots {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.runLog.RecordRun(id, t.id, t.version)
	if content := crashingContent(r.URL.Path); content != "" {
		t.crash(content)
	}
	if t.nests.Load() && r.Method == http.MethodGet && rand.IntN(4) == 0 && !strings.Contains(id, nestedSuffix) {
		t.callNested(r.Context(), id)
	}
	time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	body := responseBody(id)
	draw := rand.Int32N(100)
	switch {
	case draw < t.lostPercent.Load():
		panic(http.ErrAbortHandler)
	case draw < t.lostPercent.Load()+t.duplicatedPercent.Load():
		t.respondTwice(w, id, body)
	case rand.Int32N(100) < t.failedPercent.Load():
		w.Header().Set(signatureHeader, "of "+id)
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set(signatureHeader, "of "+id)
		_, _ = io.WriteString(w, body)
	}
}

// writeLimit names the limit in an answer.
func (t *incarnation) writeLimit(header http.Header) {
	if perSecond := t.limits.Current(); perSecond > 0 {
		header.Set(headers.Limit, strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
}

// nestedSuffix follows the ID of a run in the ID of its nested call.
const nestedSuffix = ".n"

// callNested makes a nested call through the target's own node. Its outcome is not checked: the run
// goes on without it.
func (t *incarnation) callNested(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout/2)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.node.process.Settings().Listen.Caller+"/look-v1/"+id, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set(headers.RequestID, id+nestedSuffix)
	request.Header.Set(headers.Deadline, strconv.FormatInt((routeTimeout/2).Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// respondTwice writes the response twice on the connection.
func (t *incarnation) respondTwice(w http.ResponseWriter, id, body string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	var header strings.Builder
	_ = w.Header().Write(&header) // a strings.Builder never fails
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: of %s\r\nContent-Length: %d\r\n\r\n%s", header.String(), signatureHeader, id, len(body), body)
	_, _ = io.WriteString(c, response+response)
	time.Sleep(20 * time.Millisecond)
}

// responseBody returns the expected response body of a request; some bodies are long.
func responseBody(id string) string {
	repeat := 1
	if strings.HasSuffix(id, "7") {
		repeat = 5000
	}
	return strings.Repeat("answer to "+id+"\n", repeat)
}

// stop shuts the incarnation down. It first announces draining by heartbeat if announced
// is set, or departs otherwise, and serves for 2.5 s more.
func (t *incarnation) stop(ctx context.Context, announced bool) {
	if announced {
		t.state.Store(int32(bfhost.Draining))
	} else {
		t.state.Store(0)
		if t.reports.SendDeparture(ctx, bfhost.Departure{Incarnation: t.id}) == nil {
			t.runLog.RecordDeparture(t.id)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	t.state.Store(0)
	_ = t.reports.SendDeparture(ctx, bfhost.Departure{Incarnation: t.id})
	t.server.Close()
}
