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
	"bilberryflow.org/lib/bfroute"
)

const ownPrefix = "/.well-known/bilberryflow/"

// MintPath is where callers get idempotency keys that need no store.
const MintPath = ownPrefix + "keys"

// Limits of what a caller may send.
const (
	maxKeyLength    = 255
	maxTenantLength = 64
)

// Handler is the callers' port.
type Handler struct {
	entry   *Entry
	maxBody int64
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout time.Duration
	leaving     atomic.Bool
	inFlight    atomic.Int64
}

// NewHandler makes the callers' port of entry.
func NewHandler(entry *Entry, maxBody int64, bodyTimeout time.Duration) *Handler {
	return &Handler{entry: entry, maxBody: maxBody, bodyTimeout: bodyTimeout}
}

// Leave refuses requests that come from now on; those in flight go on.
func (h *Handler) Leave() { h.leaving.Store(true) }

// InFlight is how many callers have no answer yet.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Idle waits until every caller has its answer or ctx ends.
func (h *Handler) Idle(ctx context.Context) {
	const poll = 20 * time.Millisecond
	for h.InFlight() > 0 && h.entry.parts.Timer.Wait(ctx, poll) == nil {
	}
}

// leavingPause is when to come back to a node that stops; another node takes the request at once.
const leavingPause = time.Second

// ServeHTTP answers one caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
		answer(w, r.Method, NotRun{Reason: bfrecord.ReasonLeaving, RetryAfter: later(leavingPause)})
		return
	}
	if strings.HasPrefix(r.URL.Path, ownPrefix) {
		h.serveOwn(w, r)
		return
	}
	request, invalid := h.read(w, r)
	if invalid != nil {
		answer(w, r.Method, *invalid)
		return
	}
	answer(w, r.Method, h.entry.Run(r.Context(), request))
}

// VersionError reports a request by a version of HTTP in which a cut answer looks whole.
type VersionError struct{ Version string }

// Error names the version.
func (e *VersionError) Error() string { return e.Version + " marks no end of an answer; use HTTP/1.1" }

func (h *Handler) read(w http.ResponseWriter, r *http.Request) (Request, *Invalid) {
	if !r.ProtoAtLeast(1, 1) {
		return Request{}, &Invalid{Status: http.StatusHTTPVersionNotSupported, Title: "HTTP version", Err: &VersionError{r.Proto}}
	}
	path, err := bfroute.CleanPath(r.URL.EscapedPath())
	if err != nil {
		return Request{}, &Invalid{Status: http.StatusBadRequest, Title: "Unacceptable path", Err: err}
	}
	request := Request{Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: r.Header}
	if err := readHeader(&request, r.Header); err != nil {
		return Request{}, &Invalid{Status: http.StatusBadRequest, Title: "Unreadable header", Err: err}
	}
	bfheader.Strip(r.Header)
	request.Body, err = bfhop.ReadBody(w, r, h.maxBody, h.bodyTimeout)
	if err != nil {
		return Request{}, invalidBody(err)
	}
	return request, nil
}

func readHeader(request *Request, h http.Header) (err error) {
	if request.Left, err = bfheader.ReadDeadline(h); err != nil {
		return err
	}
	if request.Depth, err = bfheader.ReadDepth(h); err != nil {
		return err
	}
	if request.Resent, err = bfheader.ReadResent(h); err != nil {
		return err
	}
	if request.Key, err = readName(h, bfheader.IdempotencyKey, maxKeyLength); err != nil {
		return err
	}
	request.Tenant, err = readName(h, bfheader.Tenant, maxTenantLength)
	return err
}

func readName(h http.Header, header string, longest int) (string, error) {
	name, err := bfheader.SingleValue(h, header)
	if err != nil {
		return "", err
	}
	if len(name) > longest {
		const shown = 20
		return "", &bfheader.ValueError{Header: header, Value: name[:shown] + "…", Allowed: fmt.Sprintf("at most %d bytes", longest)}
	}
	if !utf8.ValidString(name) {
		return "", &bfheader.ValueError{Header: header, Value: name, Allowed: "UTF-8"}
	}
	return name, nil
}

func invalidBody(err error) *Invalid {
	var body *bfhop.BodyError
	if errors.As(err, &body) && body.TooLarge {
		return &Invalid{Status: http.StatusRequestEntityTooLarge, Title: "Body too large", Err: err}
	}
	return &Invalid{Status: http.StatusRequestTimeout, Title: "Body not received", Err: err}
}

func answer(w http.ResponseWriter, method string, result Result) {
	switch r := result.(type) {
	case Relayed:
		relay(w, method, r)
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

// relay hands the target's answer on, whole or visibly cut.
func relay(w http.ResponseWriter, method string, r Relayed) {
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
		// A caller that went away needs no answer.
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
		// Ending in the ordinary way would pass a part off as the whole; a broken
		// connection is what every HTTP client takes for a cut answer.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) serveOwn(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != MintPath || r.Method != http.MethodPost {
		answer(w, r.Method, Invalid{Status: http.StatusNotFound, Title: "No such page", Err: &bfroute.NoRouteError{Path: r.URL.Path}})
		return
	}
	query := r.URL.Query()
	key, refused := h.entry.Mint(r.Context(), query.Get("method"), query.Get("path"))
	if refused != nil {
		answer(w, r.Method, refused)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	// A caller that went away needs no key.
	_ = json.NewEncoder(w).Encode(MintedKey{Key: key})
}
