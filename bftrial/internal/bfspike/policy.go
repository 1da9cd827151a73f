package bfspike

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfheader"
)

// policy is the sealed set of ways in which callers send: mesh and naive.
type policy interface{ policy() }

// mesh sends to any node; a refused caller comes back once when it was told to.
type mesh struct{ nodes []string }

// naive sends to a random target of the service, and up to naiveRetries times more at once.
type naive struct{ targets [][]string }

func (mesh) policy()  {}
func (naive) policy() {}

const (
	naiveRetries = 3
	// grace is how much longer than its deadline a caller listens, to tell late from never.
	grace = time.Second
	// connectTries is how many addresses a caller tries that take no connection.
	connectTries = 3
)

func policyName(p policy) string {
	if _, isNaive := p.(naive); isNaive {
		return "naive"
	}
	return "bilberryflow"
}

// mark names an arrival in the targets' logs.
func mark(p policy, a arrival) string {
	return fmt.Sprintf("%c%d-%d", policyName(p)[0], a.class, a.number)
}

// send takes one caller's request to its end.
func (l *load) send(ctx context.Context, a arrival, due time.Time) result {
	deadline := deadlineOf(a.class)
	began := time.Now()
	r := result{outcome: failed}
	switch p := l.policy.(type) {
	case mesh:
		ctx, cancel := context.WithDeadline(ctx, due.Add(deadline+grace))
		defer cancel()
		r = l.sendMesh(ctx, p, a)
	case naive:
		r = l.sendNaive(ctx, p, a, deadline)
	}
	r.began = began
	return r
}

func (l *load) sendMesh(ctx context.Context, p mesh, a arrival) (r result) {
	for range connectTries {
		answered := time.Now()
		var err error
		r, err = l.once(ctx, p.nodes[rand.IntN(len(p.nodes))], a)
		r.answered = answered
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			break
		}
	}
	return r
}

func (l *load) sendNaive(ctx context.Context, p naive, a arrival, timeout time.Duration) (r result) {
	targets := p.targets[a.service]
	for range 1 + naiveRetries {
		answered := time.Now()
		try, cancel := context.WithTimeout(ctx, timeout)
		r, _ = l.once(try, targets[rand.IntN(len(targets))], a)
		cancel()
		r.answered = answered
		if r.outcome == served {
			break
		}
	}
	return r
}

func (l *load) request(ctx context.Context, address string, a arrival) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if a.class == write {
		method, body = http.MethodPost, strings.NewReader("content")
	}
	url := "http://" + address + l.shape.path(a.service, a.class) + "?mark=" + mark(l.policy, a)
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	// Without this net/http may send a request again by itself.
	request.GetBody = nil
	request.Header.Set(bfheader.Tenant, fmt.Sprintf("tenant-%d", a.tenant))
	return request, nil
}

// once sends a request to one address.
func (l *load) once(ctx context.Context, address string, a arrival) (result, error) {
	request, err := l.request(ctx, address, a)
	if err != nil {
		return result{outcome: failed}, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return result{outcome: failed}, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return result{outcome: failed}, err
	}
	r := result{outcome: failed}
	switch said := response.Header.Get(bfheader.Outcome); {
	case response.StatusCode == http.StatusOK:
		r.outcome, r.own = served, targetTime(response.Header)
	case said == bfheader.OutcomeNotRun:
		r.outcome, r.retryAfter = refused, bfheader.ReadRetryAfter(response.Header)
	case said == bfheader.OutcomeUnknown:
		r.outcome = unknown
	}
	return r, nil
}

// targetTime is the target's own time, 0 where it told none.
func targetTime(header http.Header) time.Duration {
	_, text, _ := strings.Cut(header.Get("Server-Timing"), "dur=")
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
