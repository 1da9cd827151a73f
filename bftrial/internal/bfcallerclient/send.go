package bfcallerclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberryflow.org/bftrial/internal/bfsimtarget"
	"bilberryflow.org/platform/bfdialect"
)

// Request is one request of a caller.
type Request struct {
	// Address is that of the node's callers' port.
	Address          string
	ID, Method, Path string
	Host             string
	// Deadline is the time that the caller states; it waits longer for a late answer.
	Deadline time.Duration
	// Header holds further headers; nil for none.
	Header http.Header
}

// Outcome is the result of one request as seen by its caller.
type Outcome struct {
	ID           string
	Idempotent   bool
	Began, Ended time.Time
	// Status is 0 if the connection ended before a complete response.
	Status int
	Err    error
	// Mismatch describes a successful response whose content doesn't match the request; empty otherwise.
	Mismatch string
}

// extraWait is how long after its deadline a caller still waits for an answer.
const extraWait = 3 * time.Second

var headers = bfdialect.Headers()

// Send sends one request and reads the whole response.
func Send(ctx context.Context, client *http.Client, r Request) Outcome {
	o := Outcome{ID: r.ID, Idempotent: r.Method == http.MethodGet, Began: time.Now()}
	// The end of the run must not cancel a request in flight: that would count as a failed request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Deadline+extraWait)
	defer cancel()
	var body []byte
	if r.Method == http.MethodPost {
		body = bfsimtarget.UploadBody(r.ID)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, bytes.NewReader(body))
	if err != nil {
		o.Err = err
		return o
	}
	request.Host = r.Host
	if r.Header != nil {
		request.Header = r.Header
	}
	request.Header.Set(headers.RequestID, r.ID)
	if body != nil {
		request.Header.Set(bfsimtarget.BodySumHeader, bfsimtarget.BodySum(body))
	}
	if len(body)%2 == 1 {
		// In chunks.
		request.ContentLength, request.Body = -1, io.NopCloser(bytes.NewReader(body))
	}
	request.Header.Set(headers.Deadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		o.Err, o.Ended = err, time.Now()
		return o
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	o.Ended = time.Now()
	if err != nil {
		o.Err = err
		return o
	}
	o.Status = response.StatusCode
	if o.Status == http.StatusOK && (string(answer) != bfsimtarget.ResponseBody(o.ID) || response.Header.Get(bfsimtarget.SignatureHeader) != bfsimtarget.Signature(o.ID)) {
		o.Mismatch = fmt.Sprintf("%d bytes signed %q", len(answer), response.Header.Get(bfsimtarget.SignatureHeader))
	}
	return o
}
