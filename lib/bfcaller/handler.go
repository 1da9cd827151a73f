package bfcaller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfheader"
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
		h.answer(w, NotRun{Reason: bfrecord.ReasonLeaving, RetryAfter: leavingPause})
		return
	}
	if strings.HasPrefix(r.URL.Path, ownPrefix) {
		h.serveOwn(w, r)
		return
	}
	request, invalid := h.read(w, r)
	if invalid != nil {
		h.answer(w, *invalid)
		return
	}
	h.answer(w, h.entry.Run(r.Context(), request))
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) (Request, *Invalid) {
	path, err := bfroute.CleanPath(r.URL.EscapedPath())
	if err != nil {
		return Request{}, &Invalid{Status: http.StatusBadRequest, Title: "Unacceptable path", Err: err}
	}
	request := Request{
		Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: forwardHeader(r.Header),
		Tenant: r.Header.Get(bfheader.Tenant), Key: r.Header.Get(bfheader.IdempotencyKey),
		Resent: r.Header.Get(bfheader.Resent) != "",
	}
	if request.Left, err = bfheader.ReadDeadline(r.Header); err == nil {
		request.Depth, err = bfheader.ReadDepth(r.Header)
	}
	if err == nil {
		err = checkNames(request)
	}
	if err != nil {
		return Request{}, &Invalid{Status: http.StatusBadRequest, Title: "Unreadable header", Err: err}
	}
	body, invalid := h.readBody(w, r)
	request.Body = body
	return request, invalid
}

func checkNames(r Request) error {
	if len(r.Key) > maxKeyLength {
		return &bfheader.ValueError{Header: bfheader.IdempotencyKey, Value: r.Key[:20] + "…", Allowed: fmt.Sprintf("at most %d bytes", maxKeyLength)}
	}
	if len(r.Tenant) > maxTenantLength {
		return &bfheader.ValueError{Header: bfheader.Tenant, Value: r.Tenant[:20] + "…", Allowed: fmt.Sprintf("at most %d bytes", maxTenantLength)}
	}
	return nil
}

// BodyError reports a request body that was not taken.
type BodyError struct{ Reason string }

// Error gives the reason.
func (e *BodyError) Error() string { return "request body: " + e.Reason }

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Invalid) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	// A caller that sends a byte now and then would hold the connection, and at
	// a spike all of the node's, until it pleases.
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(h.bodyTimeout)); err == nil {
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		reason := fmt.Sprintf("more than %d bytes", h.maxBody)
		return nil, &Invalid{Status: http.StatusRequestEntityTooLarge, Title: "Body too large", Err: &BodyError{reason}}
	}
	return nil, &Invalid{Status: http.StatusRequestTimeout, Title: "Body not received", Err: &BodyError{err.Error()}}
}

// hopHeaders are those of one connection; they do not go on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
	bfheader.IdempotencyKey: true,
}

const ownHeaderPrefix = "Bilberry-"

// forwardHeader copies what goes on: no header of the connection, and none of the mesh's own, which callers can't set.
func forwardHeader(from http.Header) http.Header {
	to := make(http.Header, len(from))
	named := from.Values("Connection")
	for name, values := range from {
		if !hopHeaders[name] && !strings.HasPrefix(name, ownHeaderPrefix) && !namedIn(named, name) {
			to[name] = values
		}
	}
	return to
}

func namedIn(lists []string, name string) bool {
	for _, list := range lists {
		for item := range strings.SplitSeq(list, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(item)) == name {
				return true
			}
		}
	}
	return false
}

func (h *Handler) answer(w http.ResponseWriter, result Result) {
	switch r := result.(type) {
	case Relayed:
		relay(w, r)
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
func relay(w http.ResponseWriter, r Relayed) {
	header := w.Header()
	for name, values := range forwardHeader(r.Header) {
		header[name] = values
	}
	header.Set(bfheader.Outcome, bfheader.OutcomeDone)
	header.Set(bfheader.RequestID, r.ID.String())
	if r.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body)
	if r.Rest == nil {
		return
	}
	defer r.Rest.Close()
	if err == nil {
		_, err = io.Copy(w, r.Rest)
	}
	if err != nil {
		// Ending in the ordinary way would pass a part off as the whole; a broken
		// connection is what every HTTP client takes for a cut answer.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) serveOwn(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != MintPath || r.Method != http.MethodPost {
		h.answer(w, Invalid{Status: http.StatusNotFound, Title: "No such page", Err: &bfroute.NoRouteError{Path: r.URL.Path}})
		return
	}
	query := r.URL.Query()
	key, refused := h.entry.Mint(r.Context(), query.Get("method"), query.Get("path"))
	if refused != nil {
		h.answer(w, refused)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	// A caller that went away needs no key.
	_ = json.NewEncoder(w).Encode(MintedKey{Key: key})
}
