package bfhost

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bftimer"
)

var names = bfheader.Names{
	RequestID: "T-Id", Deadline: "T-Deadline", ExpectTarget: "T-Expect", Target: "T-Target", NotRun: "T-Not-Run", CallerService: "T-Caller",
}

// rig is a host beside a scripted target.
type rig struct {
	*is.I
	host    *Host
	account *bfbudget.Account
	// later is how much time has passed for the account, in nanoseconds.
	later   atomic.Int64
	target  *httptest.Server
	runs    atomic.Int32
	changes atomic.Int32
	group   *bfgroup.Group
}

func newRig(t *testing.T, serve http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{I: is.New(t)}
	r.account = r.newAccount()
	r.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.runs.Add(1)
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		serve(w, q)
	}))
	timer := bftimer.New(1)
	group := bfgroup.New(context.Background())
	r.group = group
	group.Go("timer", timer.Run)
	r.host = New(Parts{
		Service: "portal", Names: names, Timer: timer, Account: r.account,
		Client:  bfexchange.New(bfexchange.Options{IDHeader: names.RequestID, DialTimeout: time.Second, IdleUnstated: time.Second}),
		Changed: func(*Target) { r.changes.Add(1) },
	})
	t.Cleanup(func() {
		r.target.CloseClientConnections()
		r.target.Close()
		group.Cancel()
	})
	return r
}

// newAccount makes that of a fleet of one.
func (r *rig) newAccount() *bfbudget.Account {
	return bfbudget.New(bfbudget.Options{
		Terms: bfbudget.Terms{Ratio: 1, Slack: 20, Window: time.Second}, Nodes: func() int { return 1 },
		Now:    func() time.Time { return time.Now().Add(time.Duration(r.later.Load())) },
		Chance: func() float64 { return 0 },
	})
}

func (r *rig) beat(incarnation string, sequence int64, state State) {
	r.host.Heard(Heartbeat{
		Incarnation: incarnation, Sequence: sequence, Service: "portal", State: state, Slots: 2,
		Address: strings.TrimPrefix(r.target.URL, "http://"),
	})
}

func job(id string) Job {
	return Job{
		Request:  &bfexchange.Request{Method: http.MethodGet, Target: "/x", Host: "h", ID: id, Header: http.Header{names.RequestID: {id}}},
		Deadline: time.Now().Add(2 * time.Second),
		Policy:   Policy{Service: "portal", Class: "r", Repeatable: true},
	}
}

func (r *rig) run(j Job) string {
	switch end := r.host.Run(context.Background(), j).(type) {
	case Refused:
		return "refused " + string(end.Reason)
	case Shed:
		return "shed"
	case Lost:
		return "lost"
	case Expired:
		return fmt.Sprintf("expired sent=%v", end.Sent)
	case Answered:
		defer end.Answer.Close()
		rest := ""
		if end.Answer.Rest != nil {
			data, err := io.ReadAll(end.Answer.Rest)
			if err != nil {
				return "cut"
			}
			rest = string(data)
		}
		return fmt.Sprintf("%d %s%s", end.Answer.Status, end.Answer.Head, rest)
	}
	return "?"
}

func hello(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }

// A node that starts beside a target that runs knows nothing of it. Until the
// target has been heard, the address may be another one's by now.
func TestNothingRunsBeforeTheFirstHeartbeat(t *testing.T) {
	r := newRig(t, hello)
	r.Equal(r.run(job("1")), "refused no-target")
	r.beat("a", 1, Ready)
	r.Equal(r.run(job("2")), "200 hello")
}

// A target says that it drains, and an older heartbeat comes after that. Work
// sent by the older one would be cut when the target exits.
func TestDrainingIsFinal(t *testing.T) {
	r := newRig(t, hello)
	r.beat("a", 1, Ready)
	r.beat("a", 5, Draining)
	r.Equal(r.run(job("1")), "refused leaving")
	r.beat("a", 4, Ready)
	r.beat("a", 6, Ready)
	r.Equal(r.run(job("2")), "refused leaving")
	r.Equal(r.runs.Load(), int32(0))
}

// A target leaves without having said that it drains, and a heartbeat that was
// under way arrives afterwards.
func TestDepartureIsFinal(t *testing.T) {
	r := newRig(t, hello)
	r.beat("a", 1, Ready)
	r.host.Left(Departure{Incarnation: "a"})
	r.beat("a", 2, Ready)
	r.Equal(r.run(job("1")), "refused leaving")
	r.host.Left(Departure{Incarnation: "never heard"})
	r.beat("never heard", 1, Ready)
	r.Equal(r.run(job("2")), "refused leaving")
	r.beat("b", 1, Ready)
	r.Equal(r.run(job("3")), "200 hello")
}

// A target crashed and another has started at its address. A heartbeat of the
// first, held up on the way, must not take the second one's place; but the second
// takes the first one's as soon as the address says who it is.
func TestLateHeartbeatOfACrashedTarget(t *testing.T) {
	current := "b"
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(names.ExpectTarget) != current {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		hello(w, q)
	})
	r.beat("b", 3, Ready)
	r.beat("a", 40, Ready)
	r.Equal(r.host.Target().Incarnation(), "b")
	r.Equal(r.run(job("1")), "200 hello")
	current = "c"
	r.Equal(r.run(job("2")), "refused no-target")
	r.beat("b", 4, Ready)
	r.Equal(r.run(job("3")), "refused no-target") // b is known to be gone
	r.beat("c", 1, Ready)
	r.Equal(r.run(job("4")), "200 hello")
}

// A target starts again under the name that it had. Its counts begin anew, and it
// holds nothing of before: that it had drained, or left, binds the earlier start alone.
// Heartbeats and the departure of the earlier start come late, and change nothing.
func TestTargetStartsAgainUnderItsName(t *testing.T) {
	beat := func(started int64, sequence int64, state State) Heartbeat {
		return Heartbeat{Incarnation: "a", Started: time.UnixMilli(started), Sequence: sequence, Service: "portal", State: state, Slots: 2, Address: "h:1"}
	}
	now := time.UnixMilli(50_000)
	for _, first := range []func(*book){
		func(b *book) { b.hear(beat(1000, 40, Ready), now) },
		func(b *book) { b.hear(beat(1000, 40, Draining), now) },
		func(b *book) { b.hear(beat(1000, 40, Ready), now); b.leave(Departure{Incarnation: "a"}, now) },
		func(b *book) { b.leave(Departure{Incarnation: "a", Started: time.UnixMilli(1000)}, now) },
		func(*book) {}, // the node itself has started again and knows nothing
	} {
		is := is.New(t)
		b := &book{service: "portal"}
		first(b)
		is.True(b.hear(beat(9000, 1, Ready), now))
		is.True(b.current.takes)
		is.True(!b.hear(beat(1000, 41, Draining), now))
		is.True(!b.leave(Departure{Incarnation: "a", Started: time.UnixMilli(1000)}, now))
		is.True(b.current.takes)
		is.Equal(b.current.heartbeat.Sequence, int64(1))
		is.True(b.leave(Departure{Incarnation: "a", Started: time.UnixMilli(9000)}, now))
		is.True(!b.hear(beat(9000, 2, Ready), now)) // the departure is final
	}
}

// A node that has just started hears that a target left, of which it knows nothing. A
// late heartbeat of that start must bring no work; a start after it must.
func TestDepartureOfAnUnknownStart(t *testing.T) {
	is := is.New(t)
	b, now := &book{service: "portal"}, time.UnixMilli(50_000)
	b.leave(Departure{Incarnation: "a"}, now)
	late := Heartbeat{Incarnation: "a", Started: time.UnixMilli(1000), Sequence: 7, Service: "portal", State: Ready, Slots: 2}
	is.True(!b.hear(late, now))
	again := late
	again.Started, again.Sequence = time.UnixMilli(53_000), 1
	is.True(b.hear(again, now.Add(4*time.Second)))
}

// The machine's address was another service's before; a node far away still
// sends that service's requests here.
func TestAnotherServicesRequestIsRefused(t *testing.T) {
	r := newRig(t, hello)
	r.beat("a", 1, Ready)
	other := job("1")
	other.Policy.Service = "vault"
	r.Equal(r.run(other), "refused other-service")
	r.host.Heard(Heartbeat{Incarnation: "z", Sequence: 9, Service: "vault", State: Ready, Slots: 2})
	r.Equal(r.host.Target().Incarnation(), "a")
	r.Equal(r.runs.Load(), int32(0))
}

func TestSlotsAreExact(t *testing.T) {
	release := make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) { <-release; hello(w, q) })
	r.beat("a", 1, Ready)
	ends := make(chan string, 2)
	group := bfgroup.New(context.Background())
	for i := range 2 {
		group.Go("run", func(context.Context) error { ends <- r.run(job(fmt.Sprint(i))); return nil })
	}
	for r.runs.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	r.Equal(r.run(job("third")), "refused full")
	used, slots := r.host.Load()
	r.Equal(used, 2)
	r.Equal(slots, 2)
	close(release)
	r.Equal(<-ends, "200 hello")
	r.Equal(<-ends, "200 hello")
	r.Equal(r.run(job("fourth")), "200 hello")
}

func TestTargetIsToldWhatIsLeftAndWhoIsMeant(t *testing.T) {
	var got http.Header
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) { got = q.Header; hello(w, q) })
	r.beat("a", 1, Ready)
	j := job("1")
	j.Request.Header[names.Deadline] = []string{"99999"}
	j.Deadline = time.Now().Add(500 * time.Millisecond)
	r.Equal(r.run(j), "200 hello")
	r.Equal(got.Get(names.ExpectTarget), "a")
	var left int
	_, err := fmt.Sscan(got.Get(names.Deadline), &left)
	r.NoErr(err)
	r.True(left > 400 && left <= 500)
	j = job("2")
	j.Deadline = time.Now()
	r.Equal(r.run(j), "expired sent=false")
}

func TestEndsOfATarget(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		switch q.Header.Get(names.RequestID) {
		case "shed":
			w.Header().Set(names.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "lost":
			panic(http.ErrAbortHandler)
		case "cut":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		case "long cut":
			_, _ = io.WriteString(w, strings.Repeat("x", HoldAtTarget+1))
			panic(http.ErrAbortHandler)
		case "long":
			_, _ = io.WriteString(w, strings.Repeat("x", HoldAtTarget+1))
		case "own failure":
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	r.beat("a", 1, Ready)
	r.Equal(r.run(job("shed")), "shed")
	r.Equal(r.run(job("lost")), "lost")
	r.Equal(r.run(job("cut")), "lost") // nothing of it had gone on
	r.Equal(r.run(job("long cut")), "cut")
	r.Equal(len(r.run(job("long"))), len("200 ")+HoldAtTarget+1)
	r.Equal(r.run(job("own failure")), "500 ")
	r.Equal(r.host.Running(), int64(0))
	used, _ := r.host.Load()
	r.Equal(used, 0)
}

// A caller of a nomination leaves while it runs. Broken off, nobody would know
// whether it took effect; it runs to its end. A look-up is broken off at once.
func TestCallerLeaves(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) {
			began, broken := make(chan struct{}), make(chan bool, 1)
			r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
				close(began)
				select {
				case <-q.Context().Done():
					broken <- true
				case <-time.After(200 * time.Millisecond):
					broken <- false
				}
			})
			r.beat("a", 1, Ready)
			j := job("1")
			j.Policy.Repeatable = repeatable
			ctx, cancel := context.WithCancel(context.Background())
			group := bfgroup.New(context.Background())
			group.Go("leave", func(context.Context) error { <-began; cancel(); return nil })
			r.host.Run(ctx, j)
			r.Equal(<-broken, repeatable)
		})
	}
}

// A nested call is known by the request that the target runs at that moment; an
// ID that merely looks like one is not.
func TestParentOfANestedCall(t *testing.T) {
	var r *rig
	var nested, repeat, stranger bool
	r = newRig(t, func(w http.ResponseWriter, q *http.Request) {
		parent := r.host.Parent(q.Header.Get(names.RequestID) + ".call")
		nested, stranger = parent != nil, r.host.Parent("other.call") != nil
		repeat = parent != nil && parent.IsRepeat()
		hello(w, q)
	})
	r.beat("a", 1, Ready)
	r.Equal(r.run(job("1")), "200 hello")
	r.True(nested && !repeat && !stranger)
	again := job("2")
	again.Policy.Repeat = true
	r.Equal(r.run(again), "200 hello")
	r.True(nested && repeat)
	inherited := job("3")
	inherited.Policy.Inherited = true
	r.Equal(r.run(inherited), "200 hello")
	r.True(nested && repeat)
	r.True(r.host.Parent("2.call") == nil) // it has ended
}

// A request failed at another target and is sent once more. Its run would call a service
// whose budget has nothing left: the node refuses it, and the target never sees it.
func TestRepeatWhoseCallsAreNotBorne(t *testing.T) {
	var r *rig
	r = newRig(t, func(w http.ResponseWriter, q *http.Request) {
		r.host.Parent(q.Header.Get(names.RequestID) + ".call").Call("vault")
		hello(w, q)
	})
	r.beat("a", 1, Ready)
	r.Equal(r.run(job("1")), "200 hello")
	again := job("2")
	again.Policy.Repeat = true
	r.Equal(r.run(again), "refused unborne")
	r.Equal(r.runs.Load(), int32(1))
	used, _ := r.host.Load()
	r.Equal(used, 0)
	for range 12 {
		r.account.Sent("vault")
	}
	r.later.Store(int64(time.Minute)) // what was earned just now is kept for calls
	r.Equal(r.run(again), "200 hello")
}

func TestPolicyAndResultsBetweenNodes(t *testing.T) {
	is := is.New(t)
	p := Policy{Service: "portal", Class: "r-1 x", Rank: 3, Nested: true, Repeat: true, Inherited: true, Repeatable: true, Late: true,
		Patience: 40 * time.Millisecond, LinkPatience: 300 * time.Millisecond}
	h := http.Header{}
	WritePolicy(h, p)
	read, err := ReadPolicy(h)
	is.NoErr(err)
	is.Equal(read, p)
	for _, text := range []string{
		"", "portal x - - - - - 0 0 r", "portal 1 - - - - - x 0 r", "portal 1 - - - - - 0 x r", "portal 1 - - - - 0 r", "a b",
	} {
		_, err := ReadPolicy(http.Header{policyHeader: {text}})
		is.True(err != nil) // text
	}
	for _, result := range []Result{
		Refused{Reason: Full, RetryAfter: 40 * time.Millisecond}, Shed{Status: 503}, Lost{Reason: "reset"}, Expired{Sent: true},
	} {
		w := httptest.NewRecorder()
		writeResult(w, result)
		read, ok := ReadResult(w.Header())
		is.True(ok)
		is.Equal(read, result)
	}
	_, ok := ReadResult(http.Header{})
	is.True(!ok)
	WriteLoad(h, 3, 12)
	used, slots, told := ReadLoad(h)
	is.Equal([]any{used, slots, told}, []any{3, 12, true})
	_, _, told = ReadLoad(http.Header{bfheader.Load: {"x/12"}})
	is.True(!told)
}

func TestInboundServesOtherNodes(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		w.Header()["Content-Type"] = nil
		body, _ := io.ReadAll(q.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", q.Method, q.RequestURI, body)
	})
	r.beat("a", 1, Ready)
	inbound := httptest.NewServer(NewInbound(r.host, nil))
	defer inbound.Close()
	client := bfexchange.New(bfexchange.Options{DialTimeout: time.Second, IdleUnstated: time.Second})
	request := &bfexchange.Request{
		Method: http.MethodPost, Target: "/x/..//y?z", Host: "h", Head: []byte("body"), Length: 4,
		Header: http.Header{names.RequestID: {"1"}, names.Deadline: {"900"}},
	}
	WritePolicy(request.Header, Policy{Service: "portal", Class: "r"})
	answer, err := client.Send(context.Background(), strings.TrimPrefix(inbound.URL, "http://"), request)
	r.NoErr(err)
	body, err := io.ReadAll(answer)
	r.NoErr(err)
	r.Equal(string(body), "POST /x/..//y?z body")
	_, typed := answer.Header()["Content-Type"]
	r.True(!typed) // none was guessed
	answer.Close()
	delete(request.Header, policyHeader)
	answer, err = client.Send(context.Background(), strings.TrimPrefix(inbound.URL, "http://"), request)
	r.NoErr(err)
	r.Equal(answer.Status(), http.StatusBadRequest)
	// A node of another version must not take it for the target's answer.
	result, ok := ReadResult(answer.Header())
	r.True(ok)
	r.Equal(result, Refused{Reason: Unreadable})
	answer.Close()
}

// recall has the host recall the target "a".
func (r *rig) recall() {
	r.host.Recall(Heartbeat{
		Incarnation: "a", Service: "portal", State: Ready, Slots: 2, Address: strings.TrimPrefix(r.target.URL, "http://"),
	})
}

// A node is killed and started again beside a target that works on. Its callers and the
// other nodes come back before the target's next heartbeat; the node recalls the target
// from its row and serves them. The target's own word goes before what is recalled.
func TestTargetIsRecalledUntilItSpeaks(t *testing.T) {
	r := newRig(t, hello)
	r.recall()
	r.Equal(r.run(job("1")), "200 hello")
	r.beat("a", 1, Ready)
	r.Equal(r.changes.Load(), int32(1)) // the row stays as it is
	r.beat("a", 2, Draining)
	r.recall()
	r.Equal(r.run(job("2")), "refused leaving")
}

// While its node was away another target took the place of the one that the row names.
// The first request is refused by it and has not run; nothing more is sent until it has
// spoken, and its first heartbeat counts at once.
func TestRecalledTargetThatIsAnotherOne(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(names.ExpectTarget) != "b" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		hello(w, q)
	})
	r.recall()
	r.Equal(r.run(job("1")), "refused no-target")
	r.recall()
	r.Equal(r.run(job("2")), "refused no-target")
	r.Equal(r.runs.Load(), int32(1))
	r.beat("b", 1, Ready)
	r.Equal(r.run(job("3")), "200 hello")
}

// The target crashed, or drains, while its node was away, and says nothing. What was
// recalled holds for a little longer than the pause between two heartbeats.
func TestRecalledTargetThatDoesNotSpeak(t *testing.T) {
	is := is.New(t)
	b := book{service: "portal"}
	now := time.Unix(100, 0)
	is.True(b.recall(Heartbeat{Incarnation: "a", Service: "portal", Slots: 2}, now))
	is.True(!b.current.isStale(now.Add(1500 * time.Millisecond)))
	is.True(b.current.isStale(now.Add(recallTime + time.Millisecond)))
	is.True(!b.recall(Heartbeat{Incarnation: "a", Service: "portal", Slots: 2}, now)) // once
	is.True(!(&book{service: "vault"}).recall(Heartbeat{Incarnation: "a", Service: "portal"}, now))
}
