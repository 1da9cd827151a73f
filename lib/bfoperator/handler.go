package bfoperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// CommandPath is the URL path to which clients post commands.
const CommandPath = "/v1/commands"

const (
	// maxRequestBytes is the maximum size of a request body.
	maxRequestBytes = 1 << 20
	// maxRequestDuration limits the duration of a request, such as a long watch.
	maxRequestDuration = time.Hour
)

// Token authenticates one operator.
type Token struct {
	// Name is recorded as the author of the operator's changes.
	Name   string `json:"name" jsonschema:"minLength=1,description=Author of the changes made under this token."`
	Secret string `json:"secret" jsonschema:"minLength=16,description=What the operator's client sends."`
}

// anonymousAuthor is the author of unauthenticated requests.
const anonymousAuthor = "anybody"

// Handler serves the operator endpoint of a node.
type Handler struct {
	backend bfquery.Backend
	// authors maps the hash of a secret to its author. Comparing hashes prevents
	// timing attacks on the secret.
	authors map[[sha256.Size]byte]string
	// allowAnonymous disables authentication.
	allowAnonymous bool
	mux            *http.ServeMux
}

// New returns a handler that requires one of the tokens for commands.
func New(backend bfquery.Backend, tokens []Token) *Handler {
	h := &Handler{backend: backend, authors: map[[sha256.Size]byte]string{}, mux: http.NewServeMux()}
	for _, token := range tokens {
		h.authors[sha256.Sum256([]byte(token.Secret))] = token.Name
	}
	h.mux.HandleFunc("POST "+CommandPath, h.commands)
	h.mux.Handle("GET /debug/vars", bfmetric.Handler())
	return h
}

// NewUnauthenticated returns a handler without authentication, for a backend that is read-only.
func NewUnauthenticated(backend bfquery.Backend) *Handler {
	h := New(backend, nil)
	h.allowAnonymous = true
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// author returns the author of the request's token, or the reason for refusing it.
func (h *Handler) author(r *http.Request) (author, refusal string) {
	if h.allowAnonymous {
		return anonymousAuthor, ""
	}
	secret, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || secret == "" {
		return "", "no token was sent"
	}
	hash := sha256.Sum256([]byte(secret))
	for known, name := range h.authors {
		if subtle.ConstantTimeCompare(known[:], hash[:]) == 1 {
			return name, ""
		}
	}
	return "", "the token is not in this node's settings"
}

func (h *Handler) commands(w http.ResponseWriter, r *http.Request) {
	author, refusal := h.author(r)
	if refusal != "" {
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, refusal, http.StatusUnauthorized)
		return
	}
	var request bfresult.CommandRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, fmt.Sprintf("not a command request: %v", err), http.StatusBadRequest)
		return
	}
	h.serve(w, r, author, request)
}

// serve streams the results and flushes each one.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, author string, request bfresult.CommandRequest) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder, control := json.NewEncoder(w), http.NewResponseController(w)
	emit := func(message bfresult.ResultMessage) error {
		if err := encoder.Encode(message); err != nil {
			return err
		}
		return control.Flush()
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxRequestDuration)
	defer cancel()
	if err := bfquery.Serve(ctx, author, request, h.backend, emit); err != nil {
		// Aborts the connection; the missing end message tells the client that the
		// response is truncated.
		panic(http.ErrAbortHandler)
	}
}
