package bfoperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// CommandPath is where commands are posted.
const CommandPath = "/v1/commands"

const (
	// maxCommand is the longest request in bytes.
	maxCommand = 1 << 20
	// maxDuration ends a request that watches for too long.
	maxDuration = time.Hour
)

// Token lets one operator in.
type Token struct {
	// Name is the author of what the operator does.
	Name   string `json:"name" jsonschema:"minLength=1,description=Author of the changes made under this token."`
	Secret string `json:"secret" jsonschema:"minLength=16,description=What the operator's client sends."`
}

// anybody is the author where no token is asked for.
const anybody = "anybody"

// Handler is the operators' port.
type Handler struct {
	backend bfquery.Backend
	// authors maps the hash of a secret to its author: comparing hashes tells
	// nothing by its time about how much of a guess was right.
	authors map[[sha256.Size]byte]string
	// open lets everybody in.
	open bool
	mux  *http.ServeMux
}

// New makes the operators' port of a node.
func New(backend bfquery.Backend, tokens []Token) *Handler {
	h := &Handler{backend: backend, authors: map[[sha256.Size]byte]string{}, mux: http.NewServeMux()}
	for _, token := range tokens {
		h.authors[sha256.Sum256([]byte(token.Secret))] = token.Name
	}
	h.mux.HandleFunc("POST "+CommandPath, h.commands)
	h.mux.Handle("GET /debug/vars", expvar.Handler())
	return h
}

// NewOpen makes the operators' port of a node whose backend changes nothing: like
// the metrics beside it, it asks for no token.
func NewOpen(backend bfquery.Backend) *Handler {
	h := New(backend, nil)
	h.open = true
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// author is whose token the request carries, or why none is.
func (h *Handler) author(r *http.Request) (author, refusal string) {
	if h.open {
		return anybody, ""
	}
	secret, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || secret == "" {
		return "", "no token was sent"
	}
	given := sha256.Sum256([]byte(secret))
	for known, name := range h.authors {
		if subtle.ConstantTimeCompare(known[:], given[:]) == 1 {
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
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommand))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, fmt.Sprintf("not a command request: %v", err), http.StatusBadRequest)
		return
	}
	h.serve(w, r, author, request)
}

// serve streams the results, each as soon as it is there.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, author string, request bfresult.CommandRequest) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder, control := json.NewEncoder(w), http.NewResponseController(w)
	emit := func(message bfresult.ResultMessage) error {
		if err := encoder.Encode(message); err != nil {
			return err
		}
		return control.Flush()
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxDuration)
	defer cancel()
	if err := bfquery.Serve(ctx, author, request, h.backend, emit); err != nil {
		// Without its end message the client takes the answer for cut, which it is.
		panic(http.ErrAbortHandler)
	}
}
