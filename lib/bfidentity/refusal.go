package bfidentity

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reason is why a request was refused for its API key: the kind of a bfcredential.Error, Unknown or
// Unproven.
type Reason string

const (
	// Unknown means that no workspace of the version in force holds the key.
	Unknown Reason = "unknown"
	// Unproven means that the key is valid in the version in force, which may be outdated.
	Unproven Reason = "unproven"
)

// Refusal is the answer to a request that was refused for its API key.
type Refusal struct {
	reason Reason
	// final is set if the caller need not repeat the request.
	final bool
}

// minRetryAfter is the shortest retry delay after a refusal that isn't final. A proof from another
// node or a read of the store usually takes less.
const minRetryAfter = 300 * time.Millisecond

// Answer answers the request. The retry delay is spread up to twice its minimum, since all callers of
// a node without a proof are refused at once.
func (r *Refusal) Answer(w http.ResponseWriter) {
	if !r.final {
		after := minRetryAfter + rand.N(minRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		w.WriteHeader(r.status())
		return
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	http.Error(w, "API key "+strings.ReplaceAll(string(r.reason), "-", " "), r.status())
}

func (r *Refusal) status() int {
	if r.final {
		return http.StatusUnauthorized
	}
	return http.StatusServiceUnavailable
}

func (r *Refusal) counter() string {
	if r.final {
		return "key_refused_" + string(r.reason)
	}
	return "key_deferred_" + string(r.reason)
}
