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
		http:   &http.Client{Transport: transport},
		reads:  metrics.Counter("table_reads"),
		writes: metrics.Counter("table_writes"),
		bytes:  metrics.Counter("table_bytes"),
	}
}

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
	return answer.Rows, nil
}

// Range reads up to limit rows with from <= key < to.
func (c *Client) Range(ctx context.Context, from, to string, limit int) ([]bfstore.Row, error) {
	c.reads.Add(1)
	var answer RowsAnswer
	err := c.post(ctx, PathRange, RangeRequest{From: from, To: to, Limit: limit}, &answer)
	return answer.Rows, asRead(err)
}

// Commit runs the transaction.
func (c *Client) Commit(ctx context.Context, tx bfstore.Transaction) error {
	c.writes.Add(1)
	return c.post(ctx, PathCommit, tx, nil)
}

// PutObject stores data under name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	c.writes.Add(1)
	return c.call(ctx, http.MethodPut, c.objectPath(name), data, nil)
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
	return answer.Names, asRead(err)
}

// DeleteObject removes what is stored under name.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	c.writes.Add(1)
	return c.call(ctx, http.MethodDelete, c.objectPath(name), nil, nil)
}

func (c *Client) objectPath(name string) string { return PathObjects + url.PathEscape(name) }

func (c *Client) post(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &bfstore.UnavailableError{Reason: err.Error()}
	}
	return c.call(ctx, http.MethodPost, path, body, func(data []byte) error {
		if answer == nil {
			return nil
		}
		return json.Unmarshal(data, answer)
	})
}

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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	c.bytes.Add(int64(len(body) + len(data)))
	if err != nil {
		return &bfstore.UnknownError{Reason: "answer cut: " + err.Error()}
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

func interpret(response *http.Response, data []byte, read func([]byte) error) error {
	switch response.StatusCode {
	case http.StatusOK:
		if read == nil {
			return nil
		}
		if err := read(data); err != nil {
			return &bfstore.UnknownError{Reason: "unreadable answer: " + err.Error()}
		}
		return nil
	case http.StatusConflict:
		var conflict ConflictAnswer
		if err := json.Unmarshal(data, &conflict); err != nil {
			return &bfstore.UnknownError{Reason: "unreadable conflict: " + err.Error()}
		}
		return &bfstore.ConflictError{Row: conflict.Row}
	case http.StatusNotFound:
		return errNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		// By the platform's protocol these are given before a call has any effect.
		var failure FailureAnswer
		if err := json.Unmarshal(data, &failure); err != nil {
			failure.Reason = response.Status
		}
		return &bfstore.UnavailableError{Reason: failure.Reason, RetryAfter: retryAfter(response)}
	}
	return &bfstore.UnknownError{Reason: response.Status}
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// asRead gives a read's error its meaning: whatever went wrong, nothing was written.
func asRead(err error) error {
	var unknown *bfstore.UnknownError
	if errors.As(err, &unknown) {
		return &bfstore.UnavailableError{Reason: unknown.Reason}
	}
	return err
}
