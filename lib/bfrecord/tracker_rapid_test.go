package bfrecord

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelTracker is the reference model: it never drops records, and maps each ID to the verdict of its next arrival.
type modelTracker struct {
	home    NodeIncarnation
	records map[ID]string
}

func (n *modelTracker) begin(r Request) string {
	if r.Home != n.home {
		return "HomeChanged"
	}
	if verdict, found := n.records[r.ID]; found {
		return verdict
	}
	n.records[r.ID] = "StillRunning"
	return "Run"
}

func (n *modelTracker) resolve(id ID, home NodeIncarnation) string {
	if home != n.home {
		return "HomeLost"
	}
	if _, found := n.records[id]; !found {
		n.records[id] = "Barred"
	}
	return map[string]string{"Barred": "NeverSeen", "StillRunning": "Running", "Replay": "Finished"}[n.records[id]]
}

// inFlightMessage is an undelivered message; messages are delivered in any order.
type inFlightMessage struct {
	attempt *Attempt
	arrival bool
	reply   func()
}

// simulation is one home that restarts, the entry nodes that send to it, and the true number of runs per request.
type simulation struct {
	t         *rapid.T
	now       time.Time
	unbounded bool
	limits    Limits
	tracker   *Tracker
	model     *modelTracker
	minters   []*Minter
	attempts  []*Attempt
	inFlight  []inFlightMessage
	running   []ID
	ran       map[ID]int
	answers   map[ID]string
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: start, unbounded: rapid.Bool().Draw(t, "roomy"),
		ran: map[ID]int{}, answers: map[ID]string{},
		minters: []*Minter{
			NewMinter(entry), NewMinter(NodeIncarnation{Instance: "portal-core-5", Incarnation: 1}),
			NewMinter(NodeIncarnation{Instance: "portal-core-6", Incarnation: 1}),
		},
	}
	w.limits = Limits{Records: 4, Running: 3, Scopes: 2, Bytes: 24, AnswerBytes: 16, Retention: 2 * time.Second}
	if w.unbounded {
		w.limits = Limits{Records: 1e6, Running: 1e6, Scopes: 1e6, Bytes: 1e9, AnswerBytes: 1e6, Retention: 1e6 * time.Second}
	}
	w.startHome(home1)
	return w
}

func (w *simulation) startHome(home NodeIncarnation) {
	w.tracker = NewTracker(home, w.limits)
	w.model = &modelTracker{home: home, records: map[ID]string{}}
	w.running = nil
}

// advanceTime advances the clock by less or more than the retention.
func (w *simulation) advanceTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 500, 3000}).Draw(t, "ms")) * time.Millisecond)
}

func (w *simulation) send(t *rapid.T) {
	// Safety must not depend on the entries' clocks.
	skew := time.Duration(rapid.SampledFrom([]int{0, 0, -5000, 5000}).Draw(t, "skew ms")) * time.Millisecond
	id := rapid.SampledFrom(w.minters).Draw(t, "entry").Next(w.now.Add(skew))
	w.enqueueSends(NewAttempt(id, w.tracker.home, KeyNone), rapid.IntRange(0, 2).Draw(t, "sendings"))
}

// sendKey sends one minted key from two entries.
func (w *simulation) sendKey(*rapid.T) {
	minter := NewMinter(w.tracker.home)
	minter.counter.Store(uint64(w.now.UnixMicro()) + uint64(len(w.attempts)))
	id := minter.NextKey(w.now).ID()
	w.enqueueSends(NewAttempt(id, w.tracker.home, KeyMinted), 1)
	w.enqueueSends(NewAttempt(id, w.tracker.home, KeyMinted), 1)
}

func (w *simulation) enqueueSends(attempt *Attempt, sends int) {
	w.attempts = append(w.attempts, attempt)
	for range sends {
		attempt.RecordSend()
		w.inFlight = append(w.inFlight, inFlightMessage{attempt: attempt, arrival: true})
	}
}

func (w *simulation) sendResolve(t *rapid.T) {
	if len(w.attempts) == 0 {
		t.Skip("nothing sent")
	}
	attempt := rapid.SampledFrom(w.attempts).Draw(t, "attempt")
	w.inFlight = append(w.inFlight, inFlightMessage{attempt: attempt})
}

func (w *simulation) abandon(t *rapid.T) {
	if len(w.attempts) == 0 {
		t.Skip("nothing sent")
	}
	rapid.SampledFrom(w.attempts).Draw(t, "attempt").Abandon(ReasonUnreachable, 0)
}

func (w *simulation) deliver(t *rapid.T) {
	if len(w.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "flight")
	f := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	switch {
	case f.reply != nil:
		f.reply()
	case f.arrival:
		w.arrive(f.attempt)
	default:
		w.resolve(f.attempt)
	}
}

func (w *simulation) arrive(attempt *Attempt) {
	id := attempt.ID()
	verdict := w.tracker.Begin(w.now, request(id, attempt.Home()))
	name := fmt.Sprintf("%T", verdict)[len("bfrecord."):]
	// A refusal due to the limits must not register the request in the model.
	if name == "TooLate" || name == "Full" {
		if w.unbounded {
			w.t.Fatalf("%s for %s without limits", name, id)
		}
	} else if want := w.model.begin(request(id, attempt.Home())); name != want {
		w.t.Fatalf("arrival of %s: %s, model %s", id, name, want)
	}
	switch v := verdict.(type) {
	case Run:
		w.running = append(w.running, id)
	case Replay:
		w.reply(func() { attempt.OnAnswer(v.Answer()) })
	case StillRunning:
		w.reply(func() { attempt.OnStillRunning(id) })
	default:
		refusal, _ := NewVerdictRefusal(id, w.tracker.home, verdict)
		w.reply(func() { attempt.OnRefusal(refusal) })
	}
}

func (w *simulation) reply(deliver func()) {
	w.inFlight = append(w.inFlight, inFlightMessage{reply: deliver})
}

func (w *simulation) resolve(attempt *Attempt) {
	resolution := w.tracker.Resolve(w.now, attempt.ID(), attempt.Home())
	name := fmt.Sprintf("%T", resolution)[len("bfrecord."):]
	if name == "Forgotten" {
		if w.unbounded {
			w.t.Fatalf("%s for %s without limits", name, attempt.ID())
		}
	} else if want := w.model.resolve(attempt.ID(), attempt.Home()); name != want {
		w.t.Fatalf("resolve of %s: %s, model %s", attempt.ID(), name, want)
	}
	reply := NewResolveReply(attempt.ID(), w.tracker.home, resolution)
	w.reply(func() { attempt.OnResolveReply(reply) })
}

func (w *simulation) takeRunning(t *rapid.T) ID {
	if len(w.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(t, "running")
	id := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	return id
}

// finish runs the request at the target and records its answer.
func (w *simulation) finish(t *rapid.T) {
	id := w.takeRunning(t)
	w.ran[id]++
	body := fmt.Sprintf("%d-%s", w.ran[id], strings.Repeat("x", rapid.SampledFrom([]int{0, 12, 20}).Draw(t, "length")))
	w.answers[id] = body
	w.model.records[id] = "Replay"
	if err := w.tracker.Finish(w.now, id, NewWholeAnswer(200, nil, []byte(body))); err != nil {
		w.t.Fatal(err)
	}
	for _, attempt := range w.attempts {
		if attempt.ID() == id && rapid.Bool().Draw(t, "answer arrives") {
			w.reply(func() { attempt.OnAnswer(NewWholeAnswer(200, nil, []byte(body))) })
		}
	}
}

func (w *simulation) abort(t *rapid.T) {
	id := w.takeRunning(t)
	w.model.records[id] = "Barred"
	if err := w.tracker.Abort(w.now, id); err != nil {
		w.t.Fatal(err)
	}
	refusal := NewAbortRefusal(id, w.tracker.home, ReasonOverload, time.Second)
	for _, attempt := range w.attempts {
		if attempt.ID() == id {
			w.reply(func() { attempt.OnRefusal(refusal) })
		}
	}
}

// restart discards the home's records; requests running at its target may have completed.
func (w *simulation) restart(t *rapid.T) {
	for _, id := range w.running {
		if rapid.Bool().Draw(t, "reached the target") {
			w.ran[id]++
		}
	}
	w.startHome(NodeIncarnation{Instance: home1.Instance, Incarnation: w.tracker.home.Incarnation + 1})
}

// check compares the true runs with the reported outcomes, after every action.
func (w *simulation) check(t *rapid.T) {
	for id, n := range w.ran {
		if n > 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
	}
	for _, attempt := range w.attempts {
		w.checkOutcome(t, attempt)
	}
	stats := w.tracker.Stats()
	if !w.unbounded && (stats.Records() > w.limits.Records || stats.Scopes() > w.limits.Scopes || stats.Bytes() > w.limits.Bytes) {
		t.Fatalf("over the limits: %+v", stats)
	}
}

func (w *simulation) checkOutcome(t *rapid.T, attempt *Attempt) {
	if attempt.Err() != nil {
		t.Fatal(attempt.Err())
	}
	id := attempt.ID()
	switch outcome := attempt.Outcome().(type) {
	case NotRun:
		if w.ran[id] > 0 && !outcome.EarlierMayHaveRun() {
			t.Fatalf("%s was reported as not run (%s, %T), but ran", id, outcome.Reason(), outcome.Proof())
		}
	case Done:
		whole, isWhole := outcome.Answer().(WholeAnswer)
		if w.ran[id] != 1 || isWhole && string(whole.Body()) != w.answers[id] {
			t.Fatalf("caller of %s received %q, the run returned %q", id, whole.Body(), w.answers[id])
		}
	}
}

// Guards against a second run, or NotRun reported for a request that ran, under
// duplicated and reordered messages, clock skew, memory limits and restarts.
func TestTrackerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"pass":    w.advanceTime,
			"send":    w.send,
			"sendKey": w.sendKey,
			"ask":     w.sendResolve,
			"deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver,
			"finish":  w.finish,
			"abort":   w.abort,
			"giveUp":  w.abandon,
			"restart": w.restart,
		})
	})
}
