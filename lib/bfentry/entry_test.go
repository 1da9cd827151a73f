package bfentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

var names = bfheader.Names{
	RequestID: "T-Id", Deadline: "T-Deadline", ExpectTarget: "T-Expect", Target: "T-Target", NotRun: "T-Not-Run", CallerService: "T-Caller",
}

// node is one node beside a scripted target.
type node struct {
	host    *bfhost.Host
	account *bfbudget.Account
	inbound *httptest.Server
	runs    atomic.Int32
	serve   http.HandlerFunc
}

func (n *node) address() string { return strings.TrimPrefix(n.inbound.URL, "http://") }

// mesh is an entry and the nodes it sends to.
type mesh struct {
	*is.I
	entry *Handler
	front *httptest.Server
	fleet *bffleet.Fleet
	nodes []*node
	// gone is the member that the entry last gave up.
	gone atomic.Pointer[bffleet.Member]
}

const slots = 2

func newMesh(t *testing.T, terms bfbudget.Terms, serve ...http.HandlerFunc) *mesh {
	t.Helper()
	timer := bftimer.New(1)
	group := bfgroup.New(context.Background())
	group.Go("timer", timer.Run)
	t.Cleanup(group.Cancel)
	m := &mesh{I: is.New(t), fleet: bffleet.New(bffleet.Place{Domain: "nord"})}
	var members []bffleet.Member
	for _, handler := range serve {
		n := newTestNode(t, timer, m.account(generous), handler)
		m.nodes = append(m.nodes, n)
		members = append(members, bffleet.Member{Inbound: n.address(), Service: "portal", Domain: "nord", Slots: slots})
	}
	m.fleet.Replace(members)
	traffic := bftraffic.NewHolder(nil)
	snapshot, err := bftraffic.NewSnapshot(bftraffic.Spec{
		Version: 1, Services: []bftraffic.ServiceSpec{{Name: "portal"}},
		Routes: []bftraffic.RouteSpec{testRoute("look", "/look/", bftraffic.Idempotent), testRoute("approve", "/approve/", bftraffic.NonIdempotent)},
	})
	m.NoErr(err)
	traffic.Adopt(snapshot)
	m.entry = New(Parts{
		Service: "vault", Names: names, Traffic: traffic, Fleet: m.fleet, Account: m.account(terms), Timer: timer,
		Host:   bfhost.New(bfhost.Parts{Service: "vault", Timer: timer}),
		Client: bfexchange.New(bfexchange.Options{DialTimeout: time.Second, IdleUnstated: time.Second}),
		Logger: bflog.Discard(), Metrics: bfmetric.New(),
		Spawn: group.Go, Gone: func(member bffleet.Member) { m.gone.Store(&member) },
	})
	m.front = httptest.NewServer(m.entry)
	t.Cleanup(m.front.Close)
	return m
}

// account makes a node's account.
func (m *mesh) account(terms bfbudget.Terms) *bfbudget.Account {
	return bfbudget.New(bfbudget.Options{Terms: terms, Nodes: m.fleet.Size, Now: time.Now, Chance: func() float64 { return 0 }})
}

func testRoute(name, prefix string, kind bftraffic.Kind) bftraffic.RouteSpec {
	return bftraffic.RouteSpec{
		Name: name, Host: "h.example", Prefix: prefix, Kind: kind, Timeout: time.Second, Objective: 400 * time.Millisecond,
		MaxAttempts: 2, Destinations: []bftraffic.Destination{{Service: "portal", Weight: 1}},
	}
}

func newTestNode(t *testing.T, timer *bftimer.Service, account *bfbudget.Account, serve http.HandlerFunc) *node {
	t.Helper()
	n := &node{serve: serve, account: account}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.runs.Add(1)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		n.serve(w, r)
	}))
	n.host = bfhost.New(bfhost.Parts{
		Service: "portal", Names: names, Timer: timer, Account: account, Changed: func(*bfhost.Target) {},
		Client: bfexchange.New(bfexchange.Options{IDHeader: names.RequestID, DialTimeout: time.Second, IdleUnstated: time.Second}),
	})
	n.host.Heard(bfhost.Heartbeat{
		Incarnation: "a", Sequence: 1, Service: "portal", State: bfhost.Ready, Slots: slots,
		Address: strings.TrimPrefix(target.URL, "http://"),
	})
	n.inbound = httptest.NewServer(bfhost.NewInbound(n.host, nil))
	t.Cleanup(func() {
		target.CloseClientConnections()
		n.inbound.CloseClientConnections()
		target.Close()
		n.inbound.Close()
	})
	return n
}

// ask sends a caller's request and gives "status body", or "cut".
func (m *mesh) ask(method, path string, header map[string]string) (string, http.Header) {
	r, err := http.NewRequest(method, m.front.URL+path, strings.NewReader(""))
	m.NoErr(err)
	r.Host = "h.example"
	r.Header.Set(names.RequestID, "id-"+path)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "cut", nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut", response.Header
	}
	return fmt.Sprintf("%d %s", response.StatusCode, body), response.Header
}

func (m *mesh) runs() (sum int32) {
	for _, n := range m.nodes {
		sum += n.runs.Load()
	}
	return sum
}

func hello(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }

func lose(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fail(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "broken")
}

var generous = bfbudget.Terms{Ratio: 10, Slack: 1000, Window: time.Second}

// A caller names another service as its own. The target must hear the service
// beside the node where the request began, whatever the caller says.
func TestTargetHearsTheTrueCaller(t *testing.T) {
	var got http.Header
	m := newMesh(t, generous, func(w http.ResponseWriter, r *http.Request) { got = r.Header; hello(w, r) })
	answer, header := m.ask(http.MethodGet, "/look/1", map[string]string{names.CallerService: "portal", "X-Other": "kept", "Bilberry-Policy": "forged"})
	m.Equal(answer, "200 hello")
	m.Equal(got[names.CallerService], []string{"vault"})
	m.Equal(got.Get("X-Other"), "kept")
	m.Equal(got.Get("Bilberry-Policy"), "")
	m.Equal(header.Get("Bilberry-Load"), "") // nodes' own words do not reach callers
}

func TestRoutesThatAreNotThere(t *testing.T) {
	m := newMesh(t, generous, hello)
	answer, _ := m.ask(http.MethodGet, "/nowhere/1", nil)
	m.True(strings.HasPrefix(answer, "404"))
	m.entry.parts.Traffic = bftraffic.NewHolder(nil)
	answer, header := m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "503 ") // it knows no configuration, so it can't say 404
	m.True(header.Get("Retry-After") != "")
}

// A target leaves, and the entry has not heard of it. The refusal of the node
// beside it sends the request elsewhere, at no cost in the budget.
func TestRefusalGoesToTheNextNode(t *testing.T) {
	m := newMesh(t, bfbudget.Terms{}, hello, hello, hello)
	m.nodes[0].host.Left(bfhost.Departure{Incarnation: "a"})
	m.nodes[1].host.Leave()
	for i := range 20 {
		answer, _ := m.ask(http.MethodPost, fmt.Sprint("/approve/", i), nil)
		m.Equal(answer, "200 hello")
	}
	m.Equal(m.nodes[2].runs.Load(), int32(20))
}

// All slots are taken and stay so. A few callers wait for as long as they can still be
// in time with what comes after; those behind them, whose turn can't come by then, are
// told at once that the request has not run and when to come back. No target sees any.
func TestFullFleetRefuses(t *testing.T) {
	const callers = 12
	release := make(chan struct{})
	m := newMesh(t, generous, func(w http.ResponseWriter, r *http.Request) { <-release; hello(w, r) })
	ends := make(chan string, slots)
	group := bfgroup.New(context.Background())
	for i := range slots {
		group.Go("caller", func(context.Context) error {
			answer, _ := m.ask(http.MethodGet, fmt.Sprint("/look/", i), nil)
			ends <- answer
			return nil
		})
	}
	for m.runs() < slots {
		time.Sleep(time.Millisecond)
	}
	times := make(chan time.Duration, callers)
	for i := range callers {
		group.Go("refused", func(context.Context) error {
			began := time.Now()
			answer, header := m.ask(http.MethodPost, fmt.Sprint("/approve/", i), nil)
			m.Equal(answer, "503 ")
			m.True(header.Get("Retry-After") != "")
			times <- time.Since(began)
			return nil
		})
	}
	atOnce := 0
	for range callers {
		took := <-times
		m.True(took < 300*time.Millisecond) // half of the slack of 400 ms, and the way
		if took < 100*time.Millisecond {
			atOnce++
		}
	}
	m.True(atOnce >= callers/2)
	close(release)
	for range slots {
		m.Equal(<-ends, "200 hello")
	}
	m.Equal(m.runs(), int32(slots))
}

// Every target of a large fleet is full, and each refusal takes a while. A request
// that asked them all would hold its caller for its whole time, and take the first
// slot that comes free from a request that could still be in time. It is told to
// come back while it can.
func TestLargeFullFleetRefusesSoon(t *testing.T) {
	const fleet = 30
	const refusalTime = 20 * time.Millisecond
	m := newMesh(t, generous)
	var asked atomic.Int32
	var members []bffleet.Member
	for range fleet {
		full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			time.Sleep(refusalTime)
			w.Header().Set(bfheader.Outcome, "refused")
			w.Header().Set(bfheader.Reason, string(bfhost.Full))
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(full.Close)
		members = append(members, bffleet.Member{Inbound: strings.TrimPrefix(full.URL, "http://"), Service: "portal", Domain: "nord", Slots: slots})
	}
	m.fleet.Replace(members)
	answer, header := m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "503 ")
	m.True(header.Get("Retry-After") != "")
	// Nothing is known of the fleet: two fifths of 400 ms, and the sending on its way.
	m.True(asked.Load() <= 9)
	for m.entry.near.Of("portal") > 0.05 {
		m.ask(http.MethodGet, "/look/1", nil)
	}
	asked.Store(0)
	answer, header = m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "503 ")
	m.True(header.Get("Retry-After") != "")
	// A tenth of 400 ms, and the sending that was on its way.
	m.True(asked.Load() <= 4)
}

// A target took a nomination and its answer was lost. Sent again it could load
// the fuel twice; the caller is told that nobody knows.
func TestLostAnswerOfANonIdempotentRequest(t *testing.T) {
	m := newMesh(t, generous, lose, lose, lose)
	answer, _ := m.ask(http.MethodPost, "/approve/1", nil)
	m.Equal(answer, "502 ")
	m.Equal(m.runs(), int32(1))
}

func TestLostAnswerOfAnIdempotentRequest(t *testing.T) {
	m := newMesh(t, generous, lose, hello)
	for i := range 10 {
		answer, _ := m.ask(http.MethodGet, fmt.Sprint("/look/", i), nil)
		m.Equal(answer, "200 hello")
	}
	m = newMesh(t, generous, lose, lose, lose)
	answer, _ := m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "502 ")
	m.Equal(m.runs(), int32(2)) // as many targets as the route allows
}

// A target sheds: it says itself that it has not run the request. Another may
// run it, also one that is not idempotent, but the sending counts in the budget.
func TestShedRequest(t *testing.T) {
	m := newMesh(t, generous, shed, hello)
	for i := range 10 {
		answer, _ := m.ask(http.MethodPost, fmt.Sprint("/approve/", i), nil)
		m.Equal(answer, "200 hello")
	}
	m = newMesh(t, bfbudget.Terms{}, shed, shed)
	answer, header := m.ask(http.MethodPost, "/approve/1", nil)
	m.Equal(answer, "503 ")
	m.True(header.Get("Retry-After") != "")
	m.Equal(m.runs(), int32(1)) // no budget
}

func TestTargetsOwnFailure(t *testing.T) {
	m := newMesh(t, generous, fail, hello)
	for i := range 10 {
		answer, _ := m.ask(http.MethodGet, fmt.Sprint("/look/", i), nil)
		m.Equal(answer, "200 hello")
	}
	m = newMesh(t, generous, fail, fail)
	answer, _ := m.ask(http.MethodPost, "/approve/1", nil)
	m.Equal(answer, "500 broken") // as the target said it
	m.Equal(m.runs(), int32(1))
}

// A download breaks off behind the part that the node holds back. The caller's
// connection must end without the end of the answer.
func TestCutDownloadStaysCut(t *testing.T) {
	m := newMesh(t, generous, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
		panic(http.ErrAbortHandler)
	})
	answer, _ := m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "cut")
}

// An answer comes later than its route lets callers wait.
func TestTimeoutIsKept(t *testing.T) {
	m := newMesh(t, generous, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(3 * time.Second):
		}
	})
	began := time.Now()
	answer, _ := m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "504 ")
	took := time.Since(began)
	m.True(took >= time.Second && took < 1300*time.Millisecond)
	began = time.Now()
	answer, _ = m.ask(http.MethodPost, "/approve/1", map[string]string{names.Deadline: "200"})
	m.Equal(answer, "504 ")
	m.True(time.Since(began) < 400*time.Millisecond)
}

// A request's time on its route is over before any target took it, and its caller
// waits on. It has not run; the caller is told so and when to come back, while there
// is time to. One that a target may have run is told nothing of the kind.
func TestTimeOverBeforeAnyTargetTookIt(t *testing.T) {
	m := newMesh(t, generous, hello)
	now := time.Now()
	expire := func(left time.Duration, end bfhost.Expired) *httptest.ResponseRecorder {
		route := m.entry.parts.Traffic.Current().Match("h.example", "/look/1")
		c := &call{handler: m.entry, route: route, arrived: now, callerDeadline: now.Add(left)}
		answer := httptest.NewRecorder()
		c.expire(answer, end)
		return answer
	}
	unsent := expire(3*time.Second, bfhost.Expired{})
	m.Equal(unsent.Code, http.StatusServiceUnavailable)
	m.True(unsent.Header().Get("Retry-After") != "")
	late := expire(-time.Millisecond, bfhost.Expired{})
	m.Equal(late.Code, http.StatusServiceUnavailable)
	m.Equal(late.Header().Get("Retry-After"), "")
	m.Equal(expire(3*time.Second, bfhost.Expired{Sent: true}).Code, http.StatusGatewayTimeout)
}

// A caller leaves while its look-up runs: the target must hear of it through
// both nodes, and free the slot.
func TestCallersLeavingReachesTheTarget(t *testing.T) {
	began, left := make(chan struct{}), make(chan time.Time, 1)
	m := newMesh(t, generous, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		left <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, m.front.URL+"/look/1", nil)
	m.NoErr(err)
	r.Host = "h.example"
	group := bfgroup.New(context.Background())
	group.Go("leave", func(context.Context) error { <-began; cancel(); return nil })
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		response.Body.Close()
	}
	m.True(err != nil)
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target worked on")
	}
}

// A node stops: its answers say that they are the last on their connection, and
// later it takes nothing more.
func TestStoppingEntry(t *testing.T) {
	m := newMesh(t, generous, hello)
	m.entry.Leave(time.Now().Add(time.Minute))
	status, last := m.raw("GET /look/1 HTTP/1.1\r\nHost: h.example\r\n" + names.RequestID + ": 1\r\n\r\n")
	m.Equal(status, http.StatusOK)
	m.True(last)
	m.entry.Close()
	answer, _ := m.ask(http.MethodGet, "/look/2", nil)
	m.Equal(answer, "503 ")
	m.Equal(m.runs(), int32(1))
}

// A node stops, and a request of a kind that runs long comes on a kept connection. Taken,
// it would still be at its target when the process exits, and the caller would see its
// connection cut. It is refused at once, has not run, and its caller finds another node;
// requests that are answered long before the exit are served on.
func TestStoppingEntryTakesNothingThatMayOutlastIt(t *testing.T) {
	m := newMesh(t, generous, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/approve/") {
			time.Sleep(100 * time.Millisecond)
		}
		hello(w, r)
	})
	for _, path := range []string{"/look/1", "/approve/1"} {
		answer, _ := m.ask(http.MethodPost, path, nil)
		m.Equal(answer, "200 hello")
	}
	m.entry.Leave(time.Now().Add(400 * time.Millisecond))
	answer, header := m.ask(http.MethodPost, "/approve/2", nil)
	m.Equal(answer, "503 ")
	m.Equal(header.Get("Retry-After"), "0.020")
	m.Equal(m.runs(), int32(2))
	answer, _ = m.ask(http.MethodPost, "/look/2", nil)
	m.Equal(answer, "200 hello")
}

// raw sends a request as it stands, and gives the answer's status and whether it
// is the last on its connection.
func (m *mesh) raw(request string) (status int, last bool) {
	c, err := net.Dial("tcp", strings.TrimPrefix(m.front.URL, "http://"))
	m.NoErr(err)
	_, err = io.WriteString(c, request)
	m.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	m.NoErr(err)
	response.Body.Close()
	return response.StatusCode, response.Close
}

// A machine is lost and its row still stands. The first request finds that its
// node takes no connection; later ones must not go there to find out whether it
// is back, since each would wait for a connection. In the end the row goes.
func TestLostNodeIsLookedForWithoutRequests(t *testing.T) {
	m := newMesh(t, generous, hello, hello, hello, hello)
	lost := m.nodes[0]
	lost.inbound.CloseClientConnections()
	lost.inbound.Close()
	for i := range 40 {
		answer, _ := m.ask(http.MethodPost, fmt.Sprint("/approve/", i), nil)
		m.Equal(answer, "200 hello")
	}
	m.Equal(m.fleet.Lost(), 1)
	m.Equal(lost.runs.Load(), int32(0))
	deadline := time.Now().Add(goneAfter + 5*time.Second)
	for m.gone.Load() == nil && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	m.True(m.gone.Load() != nil)
	m.Equal(m.gone.Load().Inbound, lost.address())
}

// A node is cut off from most others. It must not take them for lost.
func TestNodeThatIsCutOffForgetsNobody(t *testing.T) {
	m := newMesh(t, generous, hello, hello, hello)
	for _, n := range m.nodes[:2] {
		n.inbound.CloseClientConnections()
		n.inbound.Close()
	}
	for i := range 40 {
		m.ask(http.MethodGet, fmt.Sprint("/look/", i), nil)
	}
	m.Equal(m.fleet.Lost(), 2)
	time.Sleep(goneAfter + 1500*time.Millisecond)
	m.True(m.gone.Load() == nil)
}

// A node restarts. It is used again soon after it takes connections.
func TestNodeThatReturnsIsFound(t *testing.T) {
	m := newMesh(t, generous, hello, hello)
	lost := m.nodes[0]
	address := lost.address()
	lost.inbound.CloseClientConnections()
	lost.inbound.Close()
	for i := range 20 {
		m.ask(http.MethodGet, fmt.Sprint("/look/", i), nil)
	}
	m.Equal(m.fleet.Lost(), 1)
	listener, err := net.Listen("tcp", address)
	m.NoErr(err)
	again := &http.Server{Handler: bfhost.NewInbound(lost.host, nil)}
	group := bfgroup.New(context.Background())
	group.Go("again", func(context.Context) error { _ = again.Serve(listener); return nil })
	defer again.Close()
	deadline := time.Now().Add(3 * time.Second)
	for m.fleet.Lost() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	m.Equal(m.fleet.Lost(), 0)
}

// inTurn has a target act in one way at the first request that any target gets, and in another later.
func inTurn(first, later http.HandlerFunc) http.HandlerFunc {
	var count atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1) == 1 {
			first(w, r)
			return
		}
		later(w, r)
	}
}

// A look-up's first answer is lost, so it may have run; the second target sheds
// it. "Not run" is true of the second alone, and the caller must not be told so.
func TestLostThenShed(t *testing.T) {
	turn := inTurn(lose, shed)
	m := newMesh(t, generous, turn, turn)
	answer, _ := m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "502 ")
	m.Equal(m.runs(), int32(2))
}

// As before, and the second sending ends with the route's time.
func TestLostThenTooLate(t *testing.T) {
	turn := inTurn(lose, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	m := newMesh(t, generous, turn, turn)
	answer, _ := m.ask(http.MethodGet, "/look/1", nil)
	m.True(answer == "502 " || answer == "504 ")
}

// A target answered with a failure of its own, and the repeat brought nothing.
// The answer that is there is delivered.
func TestFailureThenLost(t *testing.T) {
	turn := inTurn(fail, lose)
	m := newMesh(t, generous, turn, turn)
	answer, _ := m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "500 broken")
	turn = inTurn(fail, shed)
	m = newMesh(t, generous, turn, turn)
	answer, _ = m.ask(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "500 broken")
}

// A caller sends a look-up behind another one, an approval and a path without a route.
// Only the look-up may run beside others: what may run once must not share its
// connection's fate with them.
func TestOnlyRepeatableRequestsRunBesideOthers(t *testing.T) {
	m := newMesh(t, bfbudget.Terms{}, http.NotFound)
	for path, beside := range map[string]bool{"/look/1?a=/b": true, "/approve/1": false, "/nowhere": false} {
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Host = "h.example"
		m.Equal(m.entry.Beside(r), beside)
	}
}

// A look-up fails at its target, since a call of its was shed. It is sent once more, and
// the next target's node refuses it: nothing is left for such calls. The caller gets the
// failure that is there, at once, and no other node is asked, which would hold as little.
func TestRepeatThatIsNotBorneEndsTheRequest(t *testing.T) {
	var m *mesh
	failing := func(w http.ResponseWriter, r *http.Request) {
		for _, n := range m.nodes {
			if run := n.host.Parent(r.Header.Get(names.RequestID) + ".call"); run != nil {
				run.Call("vault")
			}
		}
		fail(w, r)
	}
	m = newMesh(t, generous, failing, failing, failing)
	for _, n := range m.nodes {
		n.learnCall(m)
	}
	m.ask(http.MethodGet, "/look/1", nil)
	before := m.runs()
	answer, _ := m.ask(http.MethodGet, "/look/2", nil)
	m.Equal(answer, "500 broken")
	m.Equal(m.runs(), before+1)
}

// learnCall has the node's account see that a look-up calls the vault, and owe some.
func (n *node) learnCall(m *mesh) {
	for range 400 {
		run, ok := n.account.Begin("look", bfbudget.Again{})
		if !ok {
			return
		}
		run.Call("vault")
		run.End()
	}
	m.Fail()
}
