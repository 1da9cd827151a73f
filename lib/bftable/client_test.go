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

// meaning is what a call's error says of its effect.
func meaning(err error) string {
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
	return "no meaning: " + err.Error()
}

func against(t *testing.T, handler http.HandlerFunc) *Client {
	server := httptest.NewServer(handler)
	client := New(server.URL, time.Second, bfmetric.New())
	t.Cleanup(func() { client.Close(); server.Close() })
	return client
}

var transaction = bfstore.Transaction{Writes: []bfstore.Write{{Key: "k", Value: []byte("v")}}}

// Something between the node and the platform answers in its place: a gateway's
// page, a redirect, an empty body, a foreign JSON. A write may have passed it
// before. The operator must be told "unknown, ask by the change ID", never
// "done" and never "not run"; a read must never see "there is nothing".
func TestAnswersThatAreNotThePlatforms(t *testing.T) {
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
		client := against(t, func(w http.ResponseWriter, r *http.Request) {
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
		got := []string{meaning(client.Commit(ctx, transaction)), meaning(scan), meaning(get), meaning(object)}
		t.Log(test.status, test.body)
		is.Equal(got, []string{test.commit, test.scan, test.get, test.object})
		is.Equal(meaning(client.PutObject(ctx, "o", nil)), test.commit)
		is.Equal(meaning(client.DeleteObject(ctx, "o")), test.commit)
	}
}

// The connection breaks before, in the middle of and instead of an answer.
func TestBrokenConnections(t *testing.T) {
	is := is.New(t)
	for name, answer := range map[string]string{
		"nothing": "", "half a header": "HTTP/1.1 200 O", "half a body": "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{",
		"noise": strings.Repeat("\xff", 100), "endless header": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 12<<20),
	} {
		client := against(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = conn.Write([]byte(answer))
				conn.Close()
			}
		})
		t.Log(name)
		is.Equal(meaning(client.Commit(t.Context(), transaction)), "unknown")
		_, err := client.Get(t.Context(), "k")
		is.Equal(meaning(err), "none")
	}
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	gone := New(server.URL, time.Second, bfmetric.New())
	is.Equal(meaning(gone.Commit(t.Context(), transaction)), "none") // nothing listened there
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(meaning(gone.Commit(ctx, transaction)), "unknown")
}

// A commit is sent once, whatever happens to its connection: sent twice by the
// HTTP library, the second copy would conflict with the first.
func TestCommitIsSentOnce(t *testing.T) {
	is := is.New(t)
	sent := make(chan struct{}, 10)
	drop := false
	client := against(t, func(w http.ResponseWriter, _ *http.Request) {
		sent <- struct{}{}
		if drop {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("{}"))
	})
	is.NoErr(client.Commit(t.Context(), transaction)) // leaves a connection to reuse
	drop = true
	is.Equal(meaning(client.Commit(t.Context(), transaction)), "unknown")
	is.Equal(len(sent), 2)
}

// The platform asks for a wait that would keep an operator's command for years.
func TestRetryAfterIsBounded(t *testing.T) {
	is := is.New(t)
	for header, want := range map[string]time.Duration{"3": 3 * time.Second, "-1": 0, "soon": 0, "99999999999": maxRetryAfter} {
		response := &http.Response{Header: http.Header{"Retry-After": {header}}}
		is.Equal(retryAfter(response), want)
	}
}
