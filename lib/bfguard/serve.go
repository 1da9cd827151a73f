package bfguard

import (
	"context"
	"crypto/sha256"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrecord"
)

const (
	// maxBody is the largest request body in bytes; entries refuse larger ones.
	maxBody = 64 << 20
	// comeBack is when to come back to a target that takes no work.
	comeBack = time.Second
)

// visit is one arrival of a request.
type visit struct {
	guard    *Guard
	w        http.ResponseWriter
	r        *http.Request
	meta     bfhop.Meta
	body     []byte
	deadline time.Time
	arrived  time.Time
	// sentTo is the incarnation that the entry named.
	sentTo bfrecord.Home
	// content identifies what is asked.
	content bfrecord.Digest
	// ran is the end of the run, nil if the request was not handed to the target.
	ran bfrecord.Answer
	// flight is the request in the hands of the target, nil before.
	flight *bfflight.Flight
	// cut says that part of an answer was handed on and the rest will not come.
	cut bool
}

// end is the sealed set of what an arrival comes to: refused, ended, busy and streamed.
type end interface{ end() }

// refused was not run; final says that nobody above should send it again.
type refused struct {
	refusal bfrecord.Refusal
	final   bool
}

// ended is what the target's run came to, of this arrival or an earlier one.
type ended struct{ answer bfrecord.Answer }

// busy says that an earlier sending has not ended.
type busy struct{ id bfrecord.ID }

// streamed is an answer too large to hold, which has been handed on.
type streamed struct{}

func (refused) end()  {}
func (ended) end()    {}
func (busy) end()     {}
func (streamed) end() {}

// ServeHTTP takes a request from an entry node.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.visits.Add(1)
	defer g.visits.Add(-1)
	now := g.parts.Timer.Now()
	meta, err := bfhop.Read(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := &visit{guard: g, w: w, r: r, meta: meta, sentTo: meta.Home, arrived: now, deadline: now.Add(meta.TimeLeft)}
	v.meta.Home = g.ownHome(meta.Home)
	if v.body, err = bfhop.ReadBody(w, r, maxBody, meta.TimeLeft); err != nil {
		// The request did not come whole, so no record of it is made.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.deliver(v.begin())
	if v.cut {
		// Ending in the ordinary way would pass a part off as the whole.
		panic(http.ErrAbortHandler)
	}
}

// begin takes the request up once, whatever copies of it arrive.
func (v *visit) begin() end {
	g := v.guard
	v.digest()
	verdict := g.books.Begin(v.arrived, bfrecord.Request{
		ID: v.meta.ID, Home: v.meta.Home, Content: v.content, Class: v.meta.Stamp.Class,
	})
	switch verdict := verdict.(type) {
	case bfrecord.Run:
		return v.run()
	case bfrecord.Replay:
		return ended{verdict.Answer()}
	case bfrecord.StillRunning:
		return busy{v.meta.ID}
	}
	refusal, isRefusal := bfrecord.NewVerdictRefusal(v.meta.ID, v.sentTo, verdict)
	if !isRefusal {
		g.parts.Logger.Emit(bflog.InvariantBroken, slog.String("request", v.meta.ID.String()))
	}
	return refused{refusal: refusal}
}

// digest identifies what is asked, so that a key used for something else is
// noticed. Without a key the request's ID stands for one sending.
func (v *visit) digest() {
	if v.meta.Key == "" {
		return
	}
	hash := sha256.New()
	for _, part := range []string{v.r.Method, v.r.RequestURI, v.meta.Tenant, strconv.Itoa(len(v.body))} {
		// A hash never fails to take bytes.
		_, _ = io.WriteString(hash, part+"\n")
	}
	_, _ = hash.Write(v.body)
	v.content = bfrecord.Digest(hash.Sum(nil)[:16])
}

// bar records that the request was never handed to the target and never will be.
func (v *visit) bar() {
	if err := v.guard.books.Abort(v.guard.parts.Timer.Now(), v.meta.ID); err != nil {
		v.guard.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

// abort bars the request: it was not run.
func (v *visit) abort(reason bfrecord.Reason, retryAfter time.Duration) end {
	v.bar()
	// The entry knows this process by the incarnation that it sent to.
	return refused{refusal: bfrecord.NewAbortRefusal(v.meta.ID, v.sentTo, reason, retryAfter)}
}

// finish records the end of a request that was handed to the target.
func (v *visit) finish(answer bfrecord.Answer) {
	g := v.guard
	v.ran = answer
	if err := g.books.Finish(g.parts.Timer.Now(), v.meta.ID, answer); err != nil {
		g.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

// finishGrace is how much longer than its deadline a request that is not
// idempotent may run: its caller is told "unknown" meanwhile, and whoever asks
// later gets the truth.
const finishGrace = 2 * time.Second

// context bounds the run.
//
// A request that is not idempotent goes on when its entry goes away: the entry
// may ask what became of it, and to have stopped halfway is the one answer that
// helps nobody.
func (v *visit) context() (context.Context, context.CancelFunc) {
	if v.meta.Stamp.Idempotent {
		return context.WithDeadline(v.r.Context(), v.deadline)
	}
	return context.WithDeadline(context.WithoutCancel(v.r.Context()), v.deadline.Add(finishGrace))
}
