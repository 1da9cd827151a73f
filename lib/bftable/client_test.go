package bftable

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
)

// effect returns what a call's error states about its effect.
func effect(err error) string {
	var conflict *bfstore.ConflictError
	var unavailable *bfstore.UnavailableError
	var unknown *bfstore.UnknownError
	var missing *bfstore.NotFoundError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &unavailable):
		return "none"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &missing):
		return "missing"
	}
	return "unclassified error: " + err.Error()
}

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	server := httptest.NewServer(handler)
	client := New(server.URL, time.Second, bfmetric.New())
	t.Cleanup(func() { client.Close(); server.Close() })
	return client
}

var transaction = bfstore.Transaction{Writes: []bfstore.Write{{Key: "k", Value: []byte("v")}}}

// An intermediary responds instead of the platform: a gateway's page, a redirect, an empty
// body, unrelated JSON. The platform may have performed a write all the same, so a write must
// be reported as unknown, neither as done nor as without effect; a read must never report an
// empty result.
func TestResponsesOfIntermediaries(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		status                    int
		body                      string
		commit, scan, get, object string
	}{
		{200, "<html>welcome</html>", "unknown", "none", "none", "done"},
		{200, "", "unknown", "none", "none", "done"},
		{200, "{}", "done", "none", "none", "done"},
		{200, "null", "done", "none", "none", "done"},
		{200, `{"rows":[{"key":"other"}]}`, "done", "done", "none", "done"},
		{302, "", "unknown", "none", "none", "none"},
		{307, "", "unknown", "none", "none", "none"},
		{400, "bad gateway config", "unknown", "none", "none", "none"},
		{404, "not here", "unknown", "none", "none", "none"},
		{404, `{"reason":"no such object"}`, "unknown", "none", "none", "missing"},
		{409, `{}`, "unknown", "none", "none", "none"},
		{409, `{"row":{"key":"k","revision":3}}`, "conflict", "none", "none", "none"},
		{429, "slow down", "unknown", "none", "none", "none"},
		{429, `{"reason":"ceiling"}`, "none", "none", "none", "none"},
		{500, `{"reason":"oops"}`, "unknown", "none", "none", "none"},
		{503, "<html>upstream</html>", "unknown", "none", "none", "none"},
		{503, `{"reason":"down"}`, "none", "none", "none", "none"},
		{504, "", "unknown", "none", "none", "none"},
	} {
		client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			if r.URL.Path != "/elsewhere" {
				w.WriteHeader(test.status)
			}
			_, _ = w.Write([]byte(test.body))
		})
		ctx := t.Context()
		_, scan := client.Range(ctx, "a", "b", 5)
		_, get := client.Get(ctx, "k")
		_, object := client.Object(ctx, "o")
		got := []string{effect(client.Commit(ctx, transaction)), effect(scan), effect(get), effect(object)}
		t.Log(test.status, test.body)
		is.Equal(got, []string{test.commit, test.scan, test.get, test.object})
		is.Equal(effect(client.PutObject(ctx, "o", nil)), test.commit)
		is.Equal(effect(client.DeleteObject(ctx, "o")), test.commit)
	}
}

// The connection breaks before, during or instead of a response.
func TestBrokenConnections(t *testing.T) {
	is := is.New(t)
	for name, answer := range map[string]string{
		"nothing": "", "half a header": "HTTP/1.1 200 O", "half a body": "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{",
		"noise": strings.Repeat("\xff", 100), "endless header": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 12<<20),
	} {
		client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = conn.Write([]byte(answer))
				conn.Close()
			}
		})
		t.Log(name)
		is.Equal(effect(client.Commit(t.Context(), transaction)), "unknown")
		_, err := client.Get(t.Context(), "k")
		is.Equal(effect(err), "none")
	}
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	closed := New(server.URL, time.Second, bfmetric.New())
	is.Equal(effect(closed.Commit(t.Context(), transaction)), "none") // connection refused
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(effect(closed.Commit(ctx, transaction)), "unknown")
}

// A commit must be sent only once even if its connection fails: a second copy sent by net/http
// would conflict with the first.
func TestCommitIsSentOnce(t *testing.T) {
	is := is.New(t)
	sent := make(chan struct{}, 10)
	drop := false
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		sent <- struct{}{}
		if drop {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("{}"))
	})
	is.NoErr(client.Commit(t.Context(), transaction)) // leaves a connection to reuse
	drop = true
	is.Equal(effect(client.Commit(t.Context(), transaction)), "unknown")
	is.Equal(len(sent), 2)
}

// An excessive Retry-After must not block an operator's command.
func TestRetryAfterIsBounded(t *testing.T) {
	is := is.New(t)
	for header, want := range map[string]time.Duration{"3": 3 * time.Second, "-1": 0, "soon": 0, "99999999999": maxRetryAfter} {
		response := &http.Response{Header: http.Header{"Retry-After": {header}}}
		is.Equal(retryAfter(response), want)
	}
}
