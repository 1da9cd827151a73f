package bfcaller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bfroute"
)

const wellKnownPrefix = "/.well-known/bilberryflow/"

// MintPath is the path at which callers get minted idempotency keys. Unlike keys that
// callers choose, they need no row in the platform's table.
const MintPath = wellKnownPrefix + "keys"

// Maximum lengths of header values, in bytes.
const (
	maxKeyLength    = 255
	maxTenantLength = 64
)

// Handler serves the port for callers.
type Handler struct {
	entry   *Entry
	maxBody int64
	// bodyTimeout limits the time a caller may take to send its body.
	bodyTimeout time.Duration
	leaving     atomic.Bool
	inFlight    atomic.Int64
}

// NewHandler returns the HTTP handler of an entry, with the body limit in bytes.
func NewHandler(entry *Entry, maxBody int64, bodyTimeout time.Duration) *Handler {
	return &Handler{entry: entry, maxBody: maxBody, bodyTimeout: bodyTimeout}
}

// Leave rejects new requests; requests in flight are completed.
func (h *Handler) Leave() { h.leaving.Store(true) }

// InFlight returns the number of requests that have no response yet.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Idle waits until no request is in flight or ctx ends.
func (h *Handler) Idle(ctx context.Context) {
	const poll = 20 * time.Millisecond
	for h.InFlight() > 0 && h.entry.config.Timer.Wait(ctx, poll) == nil {
	}
}

// leavingRetryAfter is the retry delay returned while the node shuts down; other nodes accept the request at once.
const leavingRetryAfter = time.Second

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
		writeResult(w, r.Method, NotRun{Reason: bfrecord.ReasonLeaving, RetryAfter: addJitter(leavingRetryAfter)})
		return
	}
	if strings.HasPrefix(r.URL.Path, wellKnownPrefix) {
		h.serveWellKnown(w, r)
		return
	}
	request, refusal := h.read(w, r)
	if refusal != nil {
		writeResult(w, r.Method, refusal)
		return
	}
	writeResult(w, r.Method, h.entry.Run(r.Context(), request))
}

// VersionError reports an HTTP version in which a truncated response looks complete.
type VersionError struct{ Version string }

// Error names the version.
func (e *VersionError) Error() string {
	return e.Version + " marks no end of an answer; use HTTP/1.1"
}

// read reads a request. refusal is nil if it can be run.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (request Request, refusal Result) {
	if !r.ProtoAtLeast(1, 1) {
		return Request{}, Invalid{Status: http.StatusHTTPVersionNotSupported, Title: "HTTP version", Err: &VersionError{r.Proto}}
	}
	path, err := bfroute.CleanPath(r.URL.EscapedPath())
	if err != nil {
		return Request{}, Invalid{Status: http.StatusBadRequest, Title: "Unacceptable path", Err: err}
	}
	request = Request{Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: r.Header}
	if err := readHeader(&request, r.Header); err != nil {
		return Request{}, Invalid{Status: http.StatusBadRequest, Title: "Unreadable header", Err: err}
	}
	bfheader.Strip(r.Header)
	request.Body, err = bfhop.ReadBody(w, r, h.maxBody, h.bodyTimeout)
	var body *bfhop.BodyError
	switch {
	case errors.As(err, &body) && body.Exhausted:
		w.Header().Set("Connection", "close")
		return Request{}, exhausted()
	case err != nil:
		return Request{}, invalidBody(err)
	}
	return request, nil
}

// exhausted is the result of a request for which the node has no memory left.
func exhausted() NotRun {
	return NotRun{Reason: bfrecord.ReasonOverload, RetryAfter: addJitter(bfresource.RetryAfter)}
}

// RefuseExhausted answers a request for which the node has no memory left. It has not run.
func (h *Handler) RefuseExhausted(w http.ResponseWriter, r *http.Request) {
	writeResult(w, r.Method, exhausted())
}

func readHeader(request *Request, h http.Header) (err error) {
	if request.TimeLeft, err = bfheader.ReadDeadline(h); err != nil {
		return err
	}
	if request.Depth, err = bfheader.ReadDepth(h); err != nil {
		return err
	}
	if request.Resent, err = bfheader.ReadResent(h); err != nil {
		return err
	}
	if request.Key, err = readValue(h, bfheader.IdempotencyKey, maxKeyLength); err != nil {
		return err
	}
	request.Tenant, err = readValue(h, bfheader.Tenant, maxTenantLength)
	return err
}

func readValue(h http.Header, header string, maxLength int) (string, error) {
	value, err := bfheader.SingleValue(h, header)
	if err != nil {
		return "", err
	}
	if len(value) > maxLength {
		const shown = 20
		return "", &bfheader.ValueError{Header: header, Value: value[:shown] + "…", Allowed: fmt.Sprintf("at most %d bytes", maxLength)}
	}
	if !utf8.ValidString(value) {
		return "", &bfheader.ValueError{Header: header, Value: value, Allowed: "UTF-8"}
	}
	return value, nil
}

func invalidBody(err error) Invalid {
	var body *bfhop.BodyError
	if errors.As(err, &body) && body.TooLarge {
		return Invalid{Status: http.StatusRequestEntityTooLarge, Title: "Body too large", Err: err}
	}
	return Invalid{Status: http.StatusRequestTimeout, Title: "Body not received", Err: err}
}

func writeResult(w http.ResponseWriter, method string, result Result) {
	switch r := result.(type) {
	case Relayed:
		writeRelayed(w, method, r)
	case NotRun:
		writeProblem(w, notRunProblem(r))
	case InProgress:
		writeProblem(w, inProgressProblem(r))
	case Unknown:
		writeProblem(w, unknownProblem(r))
	case Invalid:
		writeProblem(w, invalidProblem(r))
	}
}

// writeRelayed writes the target's response, and aborts the connection if it is incomplete.
func writeRelayed(w http.ResponseWriter, method string, r Relayed) {
	header := w.Header()
	bfheader.Strip(r.Header)
	maps.Copy(header, r.Header)
	header.Set(bfheader.Outcome, bfheader.OutcomeDone)
	header.Set(bfheader.RequestID, r.ID.String())
	if r.Rest == nil && bfhop.HasBody(method, r.Status) {
		header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	if r.Rest == nil {
		// Nothing to do if the caller has disconnected.
		_ = bfhop.Write(w, r.Body)
		return
	}
	defer r.Rest.Close()
	writeErr := bfhop.Write(w, r.Body)
	var readErr error
	if writeErr == nil {
		readErr, writeErr = bfhop.Copy(w, r.Rest)
	}
	if readErr != nil || writeErr != nil {
		// A normal return would make a truncated response look complete; HTTP clients
		// detect truncation by the aborted connection.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) serveWellKnown(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != MintPath || r.Method != http.MethodPost {
		writeResult(w, r.Method, Invalid{Status: http.StatusNotFound, Title: "No such page", Err: &bfroute.NoRouteError{Path: r.URL.Path}})
		return
	}
	query := r.URL.Query()
	key, refused := h.entry.Mint(r.Context(), query.Get("method"), query.Get("path"))
	if refused != nil {
		writeResult(w, r.Method, refused)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	// Nothing to do if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(MintedKey{Key: key})
}
