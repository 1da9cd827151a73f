package bfcaller

import (
	"io"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfrecord"
)

// Request is a caller's request, read whole.
type Request struct {
	Method string
	// Path is clean; Query is as the caller wrote it.
	Path  string
	Query string
	// Header is what goes on to the target; the mesh's own headers are not in it.
	Header http.Header
	Body   []byte
	Tenant string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Left is the time left that the caller named, or 0.
	Left   time.Duration
	Depth  int
	Resent bool
}

// target is the path and query as they stand in the request line.
func (r Request) target() string {
	if r.Query == "" {
		return r.Path
	}
	return r.Path + "?" + r.Query
}

// Result is the sealed set of what a caller is told: Relayed, NotRun, InProgress, Unknown and Invalid.
type Result interface{ result() }

// Relayed is the target's own answer.
type Relayed struct {
	ID     bfrecord.ID
	Status int
	Header http.Header
	// Body is the answer's beginning; Rest, if there is one, is what follows it.
	Body []byte
	Rest io.ReadCloser
}

// NotRun says that the request was not run and never will be.
type NotRun struct {
	ID         bfrecord.ID
	Reason     bfrecord.Reason
	RetryAfter time.Duration
	// EarlierMayHaveRun says that the caller's key may have run in an earlier sending.
	EarlierMayHaveRun bool
}

// InProgress says that an earlier sending of the caller's key has not ended.
type InProgress struct {
	ID bfrecord.ID
	// RetryAfter is when to ask again.
	RetryAfter time.Duration
}

// Unknown says that the request may have run and will not be run again.
type Unknown struct {
	ID bfrecord.ID
	// Ran says that it did run, once, and only its answer is lost.
	Ran bool
}

// Invalid says that the request can't be run as it is.
type Invalid struct {
	Status int
	Title  string
	Err    error
}

func (Relayed) result()    {}
func (NotRun) result()     {}
func (InProgress) result() {}
func (Unknown) result()    {}
func (Invalid) result()    {}
