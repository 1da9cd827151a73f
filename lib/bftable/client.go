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

// maxAnswer is the largest answer in bytes that the client reads.
const maxAnswer = 256 << 20

// Client is the platform's table and object store as seen over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	reads   *bfmetric.Counter
	writes  *bfmetric.Counter
	bytes   *bfmetric.Counter
}

var (
	_ bfstore.Table   = (*Client)(nil)
	_ bfstore.Objects = (*Client)(nil)
)

// New makes a client for the platform at base, such as http://10.0.0.1:7900; each call gets at most timeout.
func New(base string, timeout time.Duration, metrics *bfmetric.Registry) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
	}
	return &Client{
		base: base, timeout: timeout,
		http:   &http.Client{Transport: transport, CheckRedirect: neverRedirect},
		reads:  metrics.Counter("table_reads"),
		writes: metrics.Counter("table_writes"),
		bytes:  metrics.Counter("table_bytes"),
	}
}

// neverRedirect has a redirect taken as the answer it is. Followed, a commit
// would become a GET of some page, whose 200 would tell that it took effect.
func neverRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads rows as of one moment.
func (c *Client) Get(ctx context.Context, keys ...string) ([]bfstore.Row, error) {
	c.reads.Add(1)
	var answer RowsAnswer
	if err := c.post(ctx, PathGet, GetRequest{Keys: keys}, &answer); err != nil {
		return nil, asRead(err)
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
		// Whoever takes "no answer" for "no rows" believes that it is the first
		// node of the fleet.
		err = &bfstore.UnavailableError{Reason: "answer without rows"}
	}
	return answer.Rows, asRead(err)
}

// Commit runs the transaction.
func (c *Client) Commit(ctx context.Context, tx bfstore.Transaction) error {
	c.writes.Add(1)
	return asWrite(c.post(ctx, PathCommit, tx, nil))
}

// PutObject stores data under name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	c.writes.Add(1)
	return asWrite(c.call(ctx, http.MethodPut, c.objectPath(name), data, acknowledged))
}

// Object reads what is stored under name.
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
	return data, asRead(err)
}

// ListObjects lists the names that start with prefix.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	c.reads.Add(1)
	var answer NamesAnswer
	path := PathObjects + "?prefix=" + url.QueryEscape(prefix)
	err := c.call(ctx, http.MethodGet, path, nil, func(body []byte) error { return json.Unmarshal(body, &answer) })
	if err == nil && answer.Names == nil {
		err = &bfstore.UnavailableError{Reason: "answer without names"}
	}
	return answer.Names, asRead(err)
}

// DeleteObject removes what is stored under name.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	c.writes.Add(1)
	return asWrite(c.call(ctx, http.MethodDelete, c.objectPath(name), nil, acknowledged))
}

func (c *Client) objectPath(name string) string { return PathObjects + url.PathEscape(name) }

func (c *Client) post(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &bfstore.UnavailableError{Reason: err.Error()}
	}
	return c.call(ctx, http.MethodPost, path, body, func(data []byte) error {
		if answer == nil {
			return acknowledged(data)
		}
		return json.Unmarshal(data, answer)
	})
}

// acknowledged reads the answer to a write. A page from something between this
// node and the platform has status 200 too, and says nothing of the write.
func acknowledged(data []byte) error { return json.Unmarshal(data, &struct{}{}) }

var errNotFound = errors.New("not found")

// onceBody keeps net/http from sending a request a second time by itself: a
// commit whose first copy took effect would come back as a conflict with
// itself, and its operator would be told that somebody else won.
type onceBody struct{ io.Reader }

func (c *Client) call(ctx context.Context, method, path string, body []byte, read func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, onceBody{bytes.NewReader(body)})
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	c.bytes.Add(int64(len(body) + len(data)))
	if err != nil {
		return &bfstore.UnknownError{Reason: "answer cut: " + err.Error()}
	}
	if len(data) > maxAnswer {
		return &bfstore.UnknownError{Reason: fmt.Sprintf("answer over %d bytes", maxAnswer)}
	}
	return interpret(response, data, read)
}

// transportError tells a call that never reached the platform from one that may have.
func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &bfstore.UnavailableError{Reason: err.Error()}
	}
	return &bfstore.UnknownError{Reason: err.Error()}
}

// interpret takes only what the platform itself says. Something between this
// node and the platform gives the same status codes with other bodies, also
// after the platform took a write.
func interpret(response *http.Response, data []byte, read func([]byte) error) error {
	switch response.StatusCode {
	case http.StatusOK:
		if err := read(data); err != nil {
			return &bfstore.UnknownError{Reason: "unreadable answer: " + err.Error()}
		}
		return nil
	case http.StatusConflict:
		var conflict ConflictAnswer
		if err := json.Unmarshal(data, &conflict); err != nil || conflict.Row.Key == "" {
			return &bfstore.UnknownError{Reason: "unreadable conflict"}
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
		// By the platform's protocol these are given before a call has any effect.
		return &bfstore.UnavailableError{Reason: failure.Reason, RetryAfter: retryAfter(response)}
	}
	return &bfstore.UnknownError{Reason: response.Status}
}

// maxRetryAfter bounds what an answer can make callers wait.
const maxRetryAfter = time.Minute

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}

// asRead gives a read's error its meaning: whatever went wrong, nothing was written.
func asRead(err error) error {
	var unavailable *bfstore.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return err
	}
	return &bfstore.UnavailableError{Reason: err.Error()}
}

// asWrite gives a write's error its meaning: what is no known refusal may have taken effect.
func asWrite(err error) error {
	if errors.Is(err, errNotFound) {
		return &bfstore.UnknownError{Reason: err.Error()}
	}
	return err
}
