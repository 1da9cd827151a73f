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

// policy is how callers send requests: mesh or naive.
type policy interface{ policy() }

// mesh sends to random nodes and retries a refused request once, at the time given in Retry-After.
type mesh struct{ nodes []string }

// naive sends to random targets of the service and retries immediately, up to naiveRetries times.
type naive struct{ targets [][]string }

func (mesh) policy()  {}
func (naive) policy() {}

const (
	naiveRetries = 3
	// lateGrace is how long callers wait beyond the deadline, to distinguish late responses from missing ones.
	lateGrace = time.Second
	// maxConnectTries is the maximum number of nodes tried when connections fail.
	maxConnectTries = 3
)

func policyName(p policy) string {
	if _, isNaive := p.(naive); isNaive {
		return "naive"
	}
	return "bilberryflow"
}

// mark returns the ID of an arrival in the targets' logs.
func mark(p policy, a arrival) string {
	return fmt.Sprintf("%c%d-%d", policyName(p)[0], a.class, a.number)
}

// send sends one request under the load's policy and returns its final result.
func (l *load) send(ctx context.Context, a arrival, due time.Time) result {
	deadline := deadlineOf(a.class)
	began := time.Now()
	r := result{outcome: failed}
	switch p := l.policy.(type) {
	case mesh:
		ctx, cancel := context.WithDeadline(ctx, due.Add(deadline+lateGrace))
		defer cancel()
		r = l.sendMesh(ctx, p, a)
	case naive:
		r = l.sendNaive(ctx, p, a, deadline)
	}
	r.began = began
	return r
}

func (l *load) sendMesh(ctx context.Context, p mesh, a arrival) (r result) {
	for range maxConnectTries {
		tryStart := time.Now()
		var err error
		r, err = l.sendOnce(ctx, p.nodes[rand.IntN(len(p.nodes))], a)
		r.lastTry = tryStart
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
		tryStart := time.Now()
		try, cancel := context.WithTimeout(ctx, timeout)
		r, _ = l.sendOnce(try, targets[rand.IntN(len(targets))], a)
		cancel()
		r.lastTry = tryStart
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
	// A nil GetBody keeps net/http from retrying the request.
	request.GetBody = nil
	request.Header.Set(bfheader.Tenant, fmt.Sprintf("tenant-%d", a.tenant))
	return request, nil
}

// sendOnce sends a request to one address.
func (l *load) sendOnce(ctx context.Context, address string, a arrival) (result, error) {
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
	switch reported := response.Header.Get(bfheader.Outcome); {
	case response.StatusCode == http.StatusOK:
		r.outcome, r.serviceTime = served, targetTime(response.Header)
	case reported == bfheader.OutcomeNotRun:
		r.outcome, r.retryAfter = refused, bfheader.ReadRetryAfter(response.Header)
	case reported == bfheader.OutcomeUnknown:
		r.outcome = unknown
	}
	return r, nil
}

// targetTime returns the service time in a target's Server-Timing header, or 0.
func targetTime(header http.Header) time.Duration {
	_, text, _ := strings.Cut(header.Get("Server-Timing"), "dur=")
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
