package bfrecord

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

func outcomeName(outcome Outcome) string {
	switch o := outcome.(type) {
	case Done:
		return fmt.Sprintf("done (%T)", o.Answer())
	case NotRun:
		if o.EarlierMayHaveRun() {
			return "not run; an earlier sending may have"
		}
		return "not run"
	case InProgress:
		return "in progress"
	case Unknown:
		return "unknown"
	}
	return "open"
}

// Guards against running requests delayed on a stalled connection after they were
// resolved over a new one: unseen requests are barred, running ones stay open.
func TestSilentConnectionIsResolved(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(home1, DefaultLimits())
	minter := NewMinter(entry)
	attempts := make([]*Attempt, 8)
	for i := range attempts {
		attempts[i] = NewAttempt(minter.Next(start), home1, KeyNone)
		attempts[i].RecordSend()
	}
	// 0 to 2 arrive before the stall: 0 finishes, 1 is refused, 2 runs. 3 to 7 are delayed.
	for _, a := range attempts[:3] {
		is.Equal(tracker.Begin(start, request(a.ID(), home1)), Run{})
	}
	is.NoErr(tracker.Finish(start, attempts[0].ID(), NewWholeAnswer(201, nil, []byte("nominated"))))
	is.NoErr(tracker.Abort(start, attempts[1].ID()))
	resolve := func(a *Attempt) Outcome {
		return a.OnResolveReply(NewResolveReply(a.ID(), home1, tracker.Resolve(start, a.ID(), a.Home())))
	}
	is.Equal(string(resolve(attempts[0]).(Done).Answer().(WholeAnswer).Body()), "nominated")
	is.Equal(outcomeName(resolve(attempts[1])), "not run")
	is.Equal(outcomeName(resolve(attempts[2])), "open")
	for _, a := range attempts[3:] {
		is.Equal(outcomeName(resolve(a)), "not run")
	}
	for _, a := range attempts[3:] {
		is.Equal(tracker.Begin(start.Add(time.Minute), request(a.ID(), home1)), Barred{})
	}
	is.NoErr(tracker.Finish(start, attempts[2].ID(), NewLostAnswer("target died")))
	is.Equal(outcomeName(resolve(attempts[2])), "unknown")
}

// Guards against contradictory outcomes or a late run when a refusal crosses the
// entry's resolve request: in either order the outcome is NotRun and the ID barred.
func TestRefusalCrossesTimeout(t *testing.T) {
	for _, refusalFirst := range []bool{true, false} {
		is := is.New(t)
		tracker := NewTracker(home1, DefaultLimits())
		attempt := NewAttempt(NewMinter(entry).Next(start), home1, KeyNone)
		attempt.RecordSend()
		is.Equal(tracker.Begin(start, request(attempt.ID(), home1)), Run{})
		is.NoErr(tracker.Abort(start, attempt.ID()))
		refusal := NewAbortRefusal(attempt.ID(), home1, ReasonOverload, 2*time.Second)
		reply := NewResolveReply(attempt.ID(), home1, tracker.Resolve(start, attempt.ID(), home1))
		if refusalFirst {
			is.Equal(attempt.OnRefusal(refusal).(NotRun).RetryAfter(), 2*time.Second)
			attempt.OnResolveReply(reply)
		} else {
			attempt.OnResolveReply(reply)
			attempt.OnRefusal(refusal)
		}
		is.Equal(outcomeName(attempt.Outcome()), "not run")
		is.NoErr(attempt.Err())
		is.Equal(tracker.Begin(start, request(attempt.ID(), home1)), Barred{})
		is.True(tracker.Finish(start, attempt.ID(), NewDroppedAnswer(200)) != nil)
	}
}

// Guards against accepting a truncated or mistyped key, which would identify another home.
func TestParseMintedKeyRejectsTypos(t *testing.T) {
	is := is.New(t)
	key := NewMinter(home1).NextKey(start)
	parsed, err := ParseMintedKey(key.String())
	is.NoErr(err)
	is.Equal(parsed, key)
	is.True(IsMintedKey(key.String()))
	text := key.String()
	for i := range text {
		for _, wrong := range []string{text[:i], text[:i] + "z" + text[i+1:], text[:i] + text[i+1:]} {
			if parsed, err := ParseMintedKey(wrong); err == nil && parsed != key {
				t.Errorf("%q was read as %s", wrong, parsed.ID())
			}
		}
	}
}

// Guards against a second run or a wrong answer when a minted key is resent through
// another node: while running, after it finished, and with other content.
func TestMintedKeyResend(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(home1, DefaultLimits())
	id := NewMinter(home1).NextKey(start).ID()
	is.Equal(tracker.Begin(start, request(id, home1)), Run{})
	is.Equal(tracker.Begin(start, request(id, home1)), StillRunning{})
	is.NoErr(tracker.Finish(start, id, NewWholeAnswer(201, nil, []byte("nominated"))))
	resent := tracker.Begin(start, request(id, home1)).(Replay).Answer()
	other := request(id, home1)
	other.Content = Digest{2}
	is.Equal(tracker.Begin(start, other), Mismatch{})
	// The answer survives encoding and decoding unchanged.
	data, err := cbor.Marshal(NewResolveReply(id, home1, Finished{answer: resent}))
	is.NoErr(err)
	var reply ResolveReply
	is.NoErr(cbor.Unmarshal(data, &reply))
	attempt := NewAttempt(id, home1, KeyMinted)
	attempt.RecordSend()
	is.Equal(attempt.OnResolveReply(reply), Done{answer: NewWholeAnswer(201, nil, []byte("nominated"))})
}

// Guards against outcomes stronger than their proof, for each event at the entry
// and each kind of key; a wrong NotRun would cause the caller to run a request twice.
func TestOutcomeByEventAndKeyKind(t *testing.T) {
	var out bytes.Buffer
	kinds := []KeyKind{KeyNone, KeyCaller, KeyMinted}
	fmt.Fprintf(&out, "%-44s %-38s %-38s %s\n", "what the entry learns", "no key", "caller's key", "minted key")
	for _, testCase := range attemptCases() {
		cells := make([]string, 0, len(kinds))
		for _, kind := range kinds {
			id := NewMinter(entry).Next(start)
			if kind == KeyMinted {
				id = NewMinter(home1).NextKey(start).ID()
			}
			attempt := NewAttempt(id, home1, kind)
			for range testCase.sends {
				attempt.RecordSend()
			}
			testCase.apply(attempt)
			cells = append(cells, outcomeName(attempt.Outcome()))
		}
		line := fmt.Sprintf("%-44s %-38s %-38s %s", testCase.name, cells[0], cells[1], cells[2])
		fmt.Fprintln(&out, strings.TrimRight(line, " "))
	}
	const golden = "testdata/truth.golden"
	if *update {
		if err := os.WriteFile(golden, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil || out.String() != string(want) {
		t.Errorf("%v, got:\n%swant:\n%s", err, out.String(), want)
	}
}

type attemptCase struct {
	name  string
	sends int
	apply func(*Attempt)
}

func attemptCases() []attemptCase {
	refuse := func(home NodeIncarnation, verdict Verdict) func(*Attempt) {
		return func(a *Attempt) {
			refusal, _ := NewVerdictRefusal(a.ID(), home, verdict)
			a.OnRefusal(refusal)
		}
	}
	resolve := func(home NodeIncarnation, r Resolution) func(*Attempt) {
		return func(a *Attempt) { a.OnResolveReply(NewResolveReply(a.ID(), home, r)) }
	}
	abandon := func(a *Attempt) { a.Abandon(ReasonUnreachable, 0) }
	overload := func(a *Attempt) { a.OnRefusal(NewAbortRefusal(a.ID(), home1, ReasonOverload, time.Second)) }
	return []attemptCase{
		{"no connection, nothing sent", 0, abandon},
		{"sent, home can't be reached any more", 1, abandon},
		{"refused: overload", 1, overload},
		{"refused: barred", 1, refuse(home1, Barred{})},
		{"refused: too late", 1, refuse(home1, TooLate{})},
		{"refused: too late, sent twice", 2, refuse(home1, TooLate{})},
		{"refused: other content", 1, refuse(home1, Mismatch{})},
		{"refused: book full", 1, refuse(home1, Full{})},
		{"refused: home changed", 1, refuse(home2, HomeChanged{home: home2})},
		{"refused: home changed, sent twice", 2, refuse(home2, HomeChanged{home: home2})},
		{"resolved: never seen", 1, resolve(home1, NeverSeen{})},
		{"resolved: never seen, by a new incarnation", 1, resolve(home2, NeverSeen{})},
		{"resolved: running", 1, resolve(home1, Running{})},
		{"resolved: finished", 1, resolve(home1, Finished{answer: DroppedAnswer{status: 200}})},
		{"resolved: target lost in the middle", 1, resolve(home1, Finished{answer: LostAnswer{reason: "cut"}})},
		{"resolved: forgotten", 1, resolve(home1, Forgotten{})},
		{"resolved: home lost", 1, resolve(home2, HomeLost{home: home2})},
	}
}

// Guards against two concurrent arrivals of one ID both being run.
func TestShardedRunsOnce(t *testing.T) {
	is := is.New(t)
	tracker := NewShardedTracker(home1, DefaultLimits(), 16)
	minter := NewMinter(entry)
	const requests, copies = 200, 8
	var runs [requests]int
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range requests {
		id := minter.Next(start)
		for range copies {
			wait.Go(func() {
				if (tracker.Begin(start, request(id, home1)) != Run{}) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				runs[i]++
				if err := tracker.Finish(start, id, NewDroppedAnswer(200)); err != nil {
					t.Error(err)
				}
			})
		}
	}
	wait.Wait()
	for i := range runs {
		is.Equal(runs[i], 1)
	}
	is.Equal(tracker.Stats().Records(), requests)
	is.Equal(tracker.Stats().Running(), 0)
}
