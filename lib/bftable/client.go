package bftable

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
)

// maxResponseBytes is the largest response body that the client reads.
const maxResponseBytes = 256 << 20

// Client accesses the platform's table and object store over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	reads   *bfmetric.Counter
	writes  *bfmetric.Counter
	bytes   *bfmetric.Counter
}

var (
	_ bfstore.Table       = (*Client)(nil)
	_ bfstore.ObjectStore = (*Client)(nil)
)

// New returns a client for the platform at base, such as http://10.0.0.1:7900; timeout bounds
// each call.
func New(base string, timeout time.Duration, metrics *bfmetric.Registry) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
	}
	return &Client{
		base: base, timeout: timeout,
		http:   &http.Client{Transport: transport, CheckRedirect: noRedirects},
		reads:  metrics.Counter("table_reads"),
		writes: metrics.Counter("table_writes"),
		bytes:  metrics.Counter("table_bytes"),
	}
}

// noRedirects makes a redirect the final response. A commit that followed it would become a GET
// of some page, whose status 200 would falsely report success.
func noRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads rows at one point in time.
func (c *Client) Get(ctx context.Context, keys ...string) ([]bfstore.Row, error) {
	c.reads.Add(1)
	var answer RowsAnswer
	if err := c.post(ctx, PathGet, GetRequest{Keys: keys}, &answer); err != nil {
		return nil, readError(err)
	}
	if len(answer.Rows) != len(keys) {
		return nil, &bfstore.UnavailableError{Reason: fmt.Sprintf("%d rows for %d keys", len(answer.Rows), len(keys))}
	}
	for i, row := range answer.Rows {
		if row.Key != keys[i] {
			return nil, &bfstore.UnavailableError{Reason: fmt.Sprintf("row %q for key %q", row.Key, keys[i])}
		}
	}
	return answer.Rows, nil
}

// Range reads up to limit rows with from <= key < to.
func (c *Client) Range(ctx context.Context, from, to string, limit int) ([]bfstore.Row, error) {
	c.reads.Add(1)
	var answer RowsAnswer
	err := c.post(ctx, PathRange, RangeRequest{From: from, To: to, Limit: limit}, &answer)
	if err == nil && answer.Rows == nil {
		// Treating a missing list as an empty one would make a node assume that it is the first
		// of the fleet.
		err = &bfstore.UnavailableError{Reason: "response without rows"}
	}
	return answer.Rows, readError(err)
}

// Commit runs the transaction.
func (c *Client) Commit(ctx context.Context, tx bfstore.Transaction) error {
	c.writes.Add(1)
	return writeError(c.post(ctx, PathCommit, tx, nil))
}

// PutObject stores data under name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	c.writes.Add(1)
	return writeError(c.call(ctx, http.MethodPut, c.objectPath(name), data, checkAcknowledgment))
}

// Object returns the data stored under name, or a NotFoundError.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	c.reads.Add(1)
	var data []byte
	err := c.call(ctx, http.MethodGet, c.objectPath(name), nil, func(body []byte) error {
		data = body
		return nil
	})
	if errors.Is(err, errNotFound) {
		return nil, &bfstore.NotFoundError{Name: name}
	}
	return data, readError(err)
}

// ListObjects lists the names that start with prefix.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	c.reads.Add(1)
	var answer NamesAnswer
	path := PathObjects + "?prefix=" + url.QueryEscape(prefix)
	err := c.call(ctx, http.MethodGet, path, nil, func(body []byte) error { return json.Unmarshal(body, &answer) })
	if err == nil && answer.Names == nil {
		err = &bfstore.UnavailableError{Reason: "response without names"}
	}
	return answer.Names, readError(err)
}

// DeleteObject removes the object stored under name.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	c.writes.Add(1)
	return writeError(c.call(ctx, http.MethodDelete, c.objectPath(name), nil, checkAcknowledgment))
}

func (c *Client) objectPath(name string) string { return PathObjects + url.PathEscape(name) }

func (c *Client) post(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &bfstore.UnavailableError{Reason: err.Error()}
	}
	return c.call(ctx, http.MethodPost, path, body, func(data []byte) error {
		if answer == nil {
			return checkAcknowledgment(data)
		}
		return json.Unmarshal(data, answer)
	})
}

// checkAcknowledgment parses the response to a write. A page from an intermediary between this
// node and the platform can also have status 200, and does not confirm the write.
func checkAcknowledgment(data []byte) error { return json.Unmarshal(data, &struct{}{}) }

var errNotFound = errors.New("not found")

// singleUseBody prevents net/http from retrying a request by itself: if the first copy of a
// commit took effect, the second would be reported as a conflict with another writer.
type singleUseBody struct{ io.Reader }

func (c *Client) call(ctx context.Context, method, path string, body []byte, read func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, singleUseBody{bytes.NewReader(body)})
	if err != nil {
		return &bfstore.UnavailableError{Reason: err.Error()}
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	c.bytes.Add(int64(len(body) + len(data)))
	if err != nil {
		return &bfstore.UnknownError{Reason: "response truncated: " + err.Error()}
	}
	if len(data) > maxResponseBytes {
		return &bfstore.UnknownError{Reason: fmt.Sprintf("response exceeds %d bytes", maxResponseBytes)}
	}
	return decodeResponse(response, data, read)
}

// transportError distinguishes a call that never reached the platform from one that may have.
func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &bfstore.UnavailableError{Reason: err.Error()}
	}
	return &bfstore.UnknownError{Reason: err.Error()}
}

// decodeResponse accepts only responses in the platform's format. An intermediary between this
// node and the platform can use the same status codes with other bodies, even after the
// platform performed a write.
func decodeResponse(response *http.Response, data []byte, read func([]byte) error) error {
	switch response.StatusCode {
	case http.StatusOK:
		if err := read(data); err != nil {
			return &bfstore.UnknownError{Reason: "invalid response body: " + err.Error()}
		}
		return nil
	case http.StatusConflict:
		var conflict ConflictAnswer
		if err := json.Unmarshal(data, &conflict); err != nil || conflict.Row.Key == "" {
			return &bfstore.UnknownError{Reason: "invalid conflict response"}
		}
		return &bfstore.ConflictError{Row: conflict.Row}
	}
	var failure FailureAnswer
	if err := json.Unmarshal(data, &failure); err != nil || failure.Reason == "" {
		return &bfstore.UnknownError{Reason: response.Status}
	}
	switch response.StatusCode {
	case http.StatusNotFound:
		return errNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		// By the platform's protocol, these statuses precede any effect of a call.
		return &bfstore.UnavailableError{Reason: failure.Reason, RetryAfter: retryAfter(response)}
	}
	return &bfstore.UnknownError{Reason: response.Status}
}

// maxRetryAfter bounds the wait that a response can impose on callers.
const maxRetryAfter = time.Minute

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}

// readError maps the error of a read: it is always UnavailableError, since a read has no
// effect.
func readError(err error) error {
	var unavailable *bfstore.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return err
	}
	return &bfstore.UnavailableError{Reason: err.Error()}
}

// writeError maps the error of a write: anything but a known rejection may have taken effect.
func writeError(err error) error {
	if errors.Is(err, errNotFound) {
		return &bfstore.UnknownError{Reason: err.Error()}
	}
	return err
}
