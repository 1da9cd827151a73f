package bfsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/platform/bfdialect"
)

var headers = bfdialect.Headers()

// signature is the header by which a target's own answer is known.
const signature = bfdialect.SignatureHeader

// ledger is what the targets saw.
type ledger struct {
	mu sync.Mutex
	// runs counts the runs of each request.
	runs map[string]int
	// last is when each incarnation last began to run a request.
	last map[string]time.Time
	// leaving is when the leaving of an incarnation was acknowledged.
	leaving map[string]time.Time
	// crashing holds the runs of each content under which targets end.
	crashing map[string][]crashingRun
}

func newLedger() *ledger {
	return &ledger{runs: map[string]int{}, last: map[string]time.Time{}, leaving: map[string]time.Time{}, crashing: map[string][]crashingRun{}}
}

func (l *ledger) ran(id, incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.last[incarnation] = time.Now()
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *ledger) left(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[incarnation] = time.Now()
}

// service is what all targets of a run serve.
const service = "vault"

// targetSlots is how many requests a target works on at once.
const targetSlots = 8

// incarnation is one start of a target.
type incarnation struct {
	id      string
	ledger  *ledger
	server  *http.Server
	proxy   *proxy
	reports bfdialect.ReportSender
	service string
	node    *nodeSlot
	working atomic.Int32
	state   atomic.Int32
	seq     atomic.Int64
	// crashed is called once when a request has ended the incarnation.
	crashed func()
	ending  sync.Once
	// loseShare of the answers, in percent, are lost after the run; doubled are sent twice.
	loseShare, doubleShare atomic.Int32
}

var starts atomic.Int64

// startTarget starts an incarnation beside a node.
func startTarget(group *bfgroup.Group, l *ledger, node *nodeSlot, crashed func(*incarnation)) (*incarnation, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := newProxy(group, listener.Addr().String())
	if err != nil {
		return nil, err
	}
	t := &incarnation{
		id: fmt.Sprintf("i-%d", starts.Add(1)), ledger: l, proxy: p, service: service, node: node,
		reports: bfdialect.ReportSender{NodeAddress: node.process.Settings().Listen.Target, Client: &http.Client{Timeout: time.Second}},
	}
	t.crashed = func() { crashed(t) }
	t.state.Store(int32(bfhost.Ready))
	t.server = &http.Server{Handler: t}
	group.Go("target", func(context.Context) error {
		_ = t.server.Serve(listener)
		return nil
	})
	group.Go("heartbeats", t.beat)
	return t, nil
}

const heartbeat = 300 * time.Millisecond

func (t *incarnation) beat(ctx context.Context) error {
	for ctx.Err() == nil && t.state.Load() != 0 {
		state := bfhost.State(t.state.Load())
		err := t.reports.SendHeartbeat(ctx, bfhost.Heartbeat{
			Incarnation: t.id, Sequence: t.seq.Add(1), Service: t.service, Address: t.proxy.address(),
			Slots: targetSlots, State: state,
		})
		if err == nil && state == bfhost.Draining {
			t.ledger.left(t.id)
			return nil
		}
		time.Sleep(heartbeat)
	}
	return nil
}

// ServeHTTP runs one request.
func (t *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.RequestID)
	w.Header().Set(headers.RequestID, id)
	w.Header().Set(headers.Target, t.id)
	if r.Header.Get(headers.ExpectTarget) != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer t.working.Add(-1)
	if t.working.Add(1) > targetSlots {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.ledger.ran(id, t.id)
	if content := crashingContent(r.URL.Path); content != "" {
		t.crash(content)
	}
	time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	body := answerOf(id)
	draw := rand.Int32N(100)
	switch {
	case draw < t.loseShare.Load():
		panic(http.ErrAbortHandler)
	case draw < t.loseShare.Load()+t.doubleShare.Load():
		t.double(w, id, body)
	default:
		w.Header().Set(signature, "of "+id)
		_, _ = io.WriteString(w, body)
	}
}

// double sends the answer twice.
func (t *incarnation) double(w http.ResponseWriter, id, body string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: of %s\r\nContent-Length: %d\r\n\r\n%s",
		headers.RequestID, id, signature, id, len(body), body)
	_, _ = io.WriteString(c, one+one)
	time.Sleep(20 * time.Millisecond)
}

// answerOf is the one right answer to a request; some are long.
func answerOf(id string) string {
	repeat := 1
	if strings.HasSuffix(id, "7") {
		repeat = 5000
	}
	return strings.Repeat("answer to "+id+"\n", repeat)
}

// stop ends the incarnation: announced, served on for a while, and gone.
func (t *incarnation) stop(ctx context.Context, announced bool) {
	if announced {
		t.state.Store(int32(bfhost.Draining))
	} else {
		t.state.Store(0)
		if t.reports.SendDeparture(ctx, bfhost.Departure{Incarnation: t.id}) == nil {
			t.ledger.left(t.id)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	t.state.Store(0)
	_ = t.reports.SendDeparture(ctx, bfhost.Departure{Incarnation: t.id})
	t.server.Close()
}
