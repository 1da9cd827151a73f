package bfquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func key(target, caller string) Key {
	return KeyOf(Request{Method: "GET", Host: "h", Target: target, Caller: caller})
}

// crashed records a number of crashes under one request, a second apart.
func crashed(b *Book, k Key, ends int, from time.Time) (last time.Time) {
	for i := range ends {
		last = from.Add(time.Duration(i) * time.Second)
		b.Crashed(CrashOf(fmt.Sprint(k, from, i)), []Key{k}, last)
	}
	return last
}

func name(v Verdict) string { return fmt.Sprintf("%T", v) }

// Guards against keys that differ between attempts, or that don't differ with the content.
func TestKeyIgnoresAttempt(t *testing.T) {
	is := is.New(t)
	one := Request{Method: "GET", Host: "h", Target: "/a?b", Caller: "c", Body: []byte("d"), Length: 1}
	is.Equal(KeyOf(one), KeyOf(one))
	for _, change := range []func(*Request){
		func(r *Request) { r.Method = "POST" },
		func(r *Request) { r.Host = "i" },
		func(r *Request) { r.Target = "/a?c" },
		func(r *Request) { r.Caller = "d" },
		func(r *Request) { r.Body = []byte("e") },
		func(r *Request) { r.Host, r.Target = "h/a", "?b" },
	} {
		other := one
		change(&other)
		is.True(KeyOf(other) != KeyOf(one))
	}
	// A request may crash targets by its body alone.
	other := one
	other.Body = []byte("e")
	is.True(KeyOf(other).Content != KeyOf(one).Content)
}

// Guards against running a request again after it crashed three targets.
func TestRequestIsHeldAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	b := New("n")
	bad := key("/bad", "c")
	is.True(!b.View().HasSuspects())
	crashed(b, bad, 1, start)
	is.Equal(name(b.View().Judge(bad, start)), "bfquarantine.Free")
	is.True(!b.View().HasSuspects()) // no node has to compute keys after a single crash
	now := crashed(b, bad, 1, start.Add(time.Minute))
	is.Equal(name(b.View().Judge(bad, now)), "bfquarantine.Isolated")
	now = crashed(b, bad, 1, start.Add(2*time.Minute))
	is.Equal(name(b.View().Judge(bad, now)), "bfquarantine.Held")
	held, refused := b.View().Refuse(bad, now)
	is.True(refused)
	is.Equal(held.Until(), now.Add(minHold))
	is.Equal(name(b.View().Judge(key("/bad?x", "c"), now)), "bfquarantine.Free")
}

// Guards against one crash that is reported several times counting more than once.
func TestOneCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	b := New("n")
	bad := key("/bad", "c")
	for range 5 {
		b.Crashed(CrashOf("one"), []Key{bad, bad}, start)
	}
	is.Equal(name(b.View().Judge(bad, start)), "bfquarantine.Free")
}

// Guards against blaming requests that ran concurrently with one already suspected.
func TestOnlyTheSuspectedRequestIsBlamed(t *testing.T) {
	is := is.New(t)
	b := New("n")
	bad, beside := key("/bad", "c"), key("/beside", "c")
	crashed(b, bad, 2, start)
	for i := range 6 {
		blamed := b.Crashed(CrashOf(fmt.Sprint("end ", i)), []Key{beside, bad}, start.Add(time.Minute))
		is.Equal(blamed, []Key{bad})
	}
	is.Equal(name(b.View().Judge(beside, start.Add(time.Minute))), "bfquarantine.Free")
}

// Guards against a request staying held although targets answer it.
func TestAnswerClearsARequest(t *testing.T) {
	is := is.New(t)
	b, other := New("n"), New("m")
	popular := key("/popular", "c")
	now := crashed(b, popular, 3, start)
	other.Merge(b.Records(now), now)
	is.Equal(name(other.View().Judge(popular, now)), "bfquarantine.Held")
	is.True(other.Answered(popular, now)) // it was still running there
	is.Equal(name(other.View().Judge(popular, now)), "bfquarantine.Free")
	is.Equal(len(b.Merge(other.Records(now), now)), 1)
	is.Equal(name(b.View().Judge(popular, now)), "bfquarantine.Free")
	is.Equal(len(b.Merge(other.Records(now), now)), 0)
	// Cleared crashes that other nodes still report have no effect.
	third := New("l")
	crashed(third, popular, 3, start)
	b.Merge(third.Records(now), now)
	is.Equal(name(b.View().Judge(popular, now)), "bfquarantine.Free")
	// Later crashes count.
	now = crashed(b, popular, 3, now.Add(time.Minute))
	is.Equal(name(b.View().Judge(popular, now)), "bfquarantine.Held")
}

// Guards against a request that crashes targets for any caller passing under other callers,
// and against holding a request for the crashes of one other caller.
func TestCrashesCountByCaller(t *testing.T) {
	is := is.New(t)
	b := New("n")
	one, two, three := key("/bad", "one"), key("/bad", "two"), key("/bad", "three")
	now := crashed(b, one, 3, start)
	is.Equal(name(b.View().Judge(one, now)), "bfquarantine.Held")
	is.Equal(name(b.View().Judge(two, now)), "bfquarantine.Free") // the crashes may depend on the caller
	crashed(b, two, 1, now)
	is.Equal(name(b.View().Judge(two, now)), "bfquarantine.Held")
	is.Equal(name(b.View().Judge(three, now)), "bfquarantine.Held")
	is.True(b.Answered(three, now))
	is.Equal(name(b.View().Judge(three, now)), "bfquarantine.Free")
	is.Equal(name(b.View().Judge(one, now)), "bfquarantine.Held")
}

// Guards against a hold that never ends, or that ends at all nodes at the same time.
func TestHoldEndsInIsolatedRun(t *testing.T) {
	is := is.New(t)
	bad := key("/bad", "c")
	var ends []time.Time
	for i := range 20 {
		b := New(fmt.Sprint("node ", i))
		now := crashed(b, bad, 3, start)
		held := b.View().Judge(bad, now).(Held)
		is.True(!held.Until().Before(now.Add(minHold)) && held.Until().Before(now.Add(maxStretch*minHold+time.Second)))
		ends = append(ends, held.Until())
		is.Equal(name(b.View().Judge(bad, held.Until())), "bfquarantine.Isolated")
		again := held.Until().Add(time.Second)
		crashed(b, bad, 1, again)
		is.Equal(name(b.View().Judge(bad, again)), "bfquarantine.Held")
		longer, _ := b.View().Refuse(bad, again)
		is.Equal(longer.Until(), again.Add(2*minHold))
		b.Sweep(again.Add(maxStretch*2*minHold + retention + time.Second))
		is.Equal(b.View().Len(), 0)
		is.Equal(b.View().Digest(), uint64(0))
	}
	is.True(len(distinct(ends)) > 15)
	is.Equal(holdTime(40), maxHold)
}

func distinct(times []time.Time) map[time.Time]bool {
	set := map[time.Time]bool{}
	for _, t := range times {
		set[t] = true
	}
	return set
}

// Guards against unbounded memory, and evicted holds, in a flood of crashing requests.
func TestFloodOfDistinctRequestsIsBounded(t *testing.T) {
	is := is.New(t)
	b := New("n")
	bad := key("/bad", "c")
	now := crashed(b, bad, 3, start)
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		b.Crashed(CrashOf(fmt.Sprint("flood ", i)), []Key{key(fmt.Sprint("/", i), "c"), key(fmt.Sprint("/other/", i), "c")}, now)
	}
	is.True(b.View().Len() <= maxHeld+maxSuspected)
	is.Equal(name(b.View().Judge(bad, now)), "bfquarantine.Held")
	for i := range 40 { // one content under many callers
		b.Crashed(CrashOf(fmt.Sprint("callers ", i)), []Key{key("/many", fmt.Sprint(i))}, now)
	}
	is.True(len(b.View().records[key("/many", "").Content].crashes) <= maxMarks)
}

// Guards against nodes diverging that merged the same records in different orders or twice.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Book{New("a"), New("b"), New("c")}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			b := books[rapid.IntRange(0, 2).Draw(t, "node")]
			k := key(rapid.SampledFrom([]string{"/x", "/y"}).Draw(t, "target"), rapid.SampledFrom([]string{"c", "d"}).Draw(t, "caller"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				b.Crashed(Crash(rapid.IntRange(1, 12).Draw(t, "crash")), []Key{k}, now)
			case 2:
				b.Answered(k, now)
			case 3:
				b.Merge(books[rapid.IntRange(0, 2).Draw(t, "from")].Records(now), now)
			}
		}
		for range 2 {
			for _, to := range books {
				for _, from := range books {
					to.Merge(from.Records(now), now)
				}
			}
		}
		for _, b := range books[1:] {
			if b.View().Digest() != books[0].View().Digest() {
				t.Fatalf("%v\n%v", books[0].Records(now), b.Records(now))
			}
		}
	})
}

// Guards against malformed records causing a panic or being kept.
func TestMalformedRecords(t *testing.T) {
	is := is.New(t)
	b := New("n")
	content := make([]byte, 16)
	many := make([]CrashMark, 10_000)
	for i := range many {
		many[i] = CrashMark{Crash: Crash(i), Caller: Caller(i)}
	}
	b.Merge([]Record{
		{}, {Content: []byte("short"), Crashes: many}, {Content: content, AgeMilli: -1, Crashes: many},
		{Content: content, AgeMilli: 1 << 62, Crashes: many},
	}, start)
	is.Equal(b.View().Len(), 0)
	b.Merge([]Record{{Content: content, Crashes: many, Cleared: many}}, start)
	is.True(b.View().Len() <= 1)
}

func BenchmarkEmptyBook(b *testing.B) {
	book := New("n")
	for b.Loop() {
		if book.View().HasSuspects() {
			b.Fatal()
		}
	}
}

func BenchmarkKeyAndVerdict(b *testing.B) {
	book := New("n")
	bad := key("/bad", "c")
	now := crashed(book, bad, 3, start)
	asked := Request{Method: "POST", Host: "h.example", Target: "/approve/1", Caller: "portal", Body: make([]byte, 4000), Length: 4000}
	for b.Loop() {
		book.View().Judge(KeyOf(asked), now)
	}
}

func BenchmarkCrashedWithAFullBook(b *testing.B) {
	book := New("n")
	for i := range maxSuspected {
		book.Crashed(CrashOf(fmt.Sprint(i)), []Key{key(fmt.Sprint("/", i), "c")}, start)
	}
	at := 0
	for b.Loop() {
		at++
		book.Crashed(CrashOf(fmt.Sprint("b", at)), []Key{key(fmt.Sprint("/b", at), "c")}, start)
	}
}

// Guards against a request staying held at any node after an operator released it.
func TestReleaseAppliesToAllNodes(t *testing.T) {
	is := is.New(t)
	b, other := New("n"), New("m")
	one, two := key("/bad", "one"), key("/bad", "two")
	now := crashed(b, two, 2, crashed(b, one, 2, start).Add(time.Second))
	other.Merge(b.Records(now), now)
	is.Equal(len(b.List(now)), 1)
	is.Equal(b.List(now)[0].Crashes, 4)
	is.Equal(b.List(now)[0].Callers, 2)
	is.Equal(name(b.List(now)[0].Worst), "bfquarantine.Held")
	content, ok := ParseContent(one.Content.String())
	is.True(ok)
	is.True(b.Release(content, now))
	is.True(!b.Release(content, now))
	other.Merge(b.TakeUpdates(now), now)
	for _, k := range []Key{one, two} {
		is.Equal(name(b.View().Judge(k, now)), "bfquarantine.Free")
		is.Equal(name(other.View().Judge(k, now)), "bfquarantine.Free")
	}
	is.Equal(len(b.List(now)), 0)
	_, ok = ParseContent("none")
	is.True(!ok)
}
