package bfcaller

import (
	"io"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfrecord"
)

// Request is a caller's request with its whole body.
type Request struct {
	Method string
	// Path is normalized; Query is as the caller sent it.
	Path  string
	Query string
	// Header is forwarded to the target; the mesh's own headers are removed from it.
	Header http.Header
	Body   []byte
	Tenant string
	// Key is the caller's idempotency key, or empty.
	Key string
	// TimeLeft is the caller's deadline as a duration, or 0 if it set none.
	TimeLeft time.Duration
	Depth    int
	Resent   bool
}

// target returns the path and query of the request line.
func (r Request) target() string {
	if r.Query == "" {
		return r.Path
	}
	return r.Path + "?" + r.Query
}

// Result is the sealed set of results of a request: Relayed, NotRun, InProgress, Unknown and Invalid.
type Result interface{ result() }

// Relayed is the response of the target.
type Relayed struct {
	ID     bfrecord.ID
	Status int
	Header http.Header
	// Body is the start of the response; Rest, if not nil, is the remainder.
	Body []byte
	Rest io.ReadCloser
}

// NotRun means that the request was not run and never will be.
type NotRun struct {
	ID         bfrecord.ID
	Reason     bfrecord.Reason
	RetryAfter time.Duration
	// EarlierMayHaveRun is set if an earlier request with the same key may have run.
	EarlierMayHaveRun bool
}

// InProgress means that an earlier request with the same key has not ended.
type InProgress struct {
	ID bfrecord.ID
	// RetryAfter is the delay before the next request for the outcome.
	RetryAfter time.Duration
}

// Unknown means that the request may have run and will not be run again.
type Unknown struct {
	ID bfrecord.ID
	// Ran is set if the request ran once and only its response is lost.
	Ran bool
}

// Invalid means that the request is malformed or not allowed.
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
