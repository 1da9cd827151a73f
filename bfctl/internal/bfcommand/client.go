package bfcommand

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"bilberryflow.org/lib/bfquery/bfresult"
)

const commandsPath = "/v1/commands"

// StatusError reports an HTTP status other than success.
type StatusError struct {
	Address string
	Code    int
	Reason  string
}

// Error returns the node, the status and the reason.
func (e *StatusError) Error() string {
	if e.Code == http.StatusUnauthorized || e.Code == http.StatusForbidden {
		return fmt.Sprintf("%s refused the token: %s", e.Address, e.Reason)
	}
	return fmt.Sprintf("%s answered %d %s: %s", e.Address, e.Code, http.StatusText(e.Code), e.Reason)
}

// IncompleteError reports a response that ended before its end message.
type IncompleteError struct {
	Address string
	Reason  error
}

// Error returns the node and the reason.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("the answer of %s was cut: %v", e.Address, e.Reason)
}

// Unwrap returns the reason.
func (e *IncompleteError) Unwrap() error { return e.Reason }

// client sends requests to one node.
type client struct {
	address string
	base    string
	token   string
	http    *khttp.Client
}

func newClient(ctx context.Context, address string, s settings) (*client, error) {
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
		if s.roots != nil {
			base = "https://" + address
		}
	}
	// A reused connection may be dead; on a new one it is certain whether a request was
	// sent.
	transport := &http.Transport{DisableKeepAlives: true}
	if s.roots != nil {
		transport.TLSClientConfig = &tls.Config{RootCAs: s.roots, MinVersion: tls.VersionTLS12}
	}
	// The context of each request bounds its time.
	httpClient, err := khttp.NewClient(ctx, khttp.WithEndpoint(base), khttp.WithTransport(transport),
		khttp.WithTimeout(0), khttp.WithErrorDecoder(statusError(address)))
	if err != nil {
		return nil, &UsageError{Setting: "--node", Reason: err.Error()}
	}
	return &client{address: address, base: base, token: s.token, http: httpClient}, nil
}

// statusError returns a decoder of a response with an error status.
func statusError(address string) khttp.DecodeErrorFunc {
	return func(_ context.Context, response *http.Response) error {
		if response.StatusCode == http.StatusOK {
			return nil
		}
		defer response.Body.Close()
		const maxReasonBytes = 500
		reason, err := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		if err != nil {
			reason = []byte(err.Error())
		}
		return &StatusError{Address: address, Code: response.StatusCode, Reason: strings.TrimSpace(string(reason))}
	}
}

// send makes one attempt. Progress is shown as it arrives, everything else once the
// response is complete.
func (c *client) send(
	ctx context.Context, timeout time.Duration, request bfresult.CommandRequest, show func(bfresult.Result) error,
) attempt {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	response, err := c.post(httptrace.WithClientTrace(ctx, trace), request)
	if err != nil {
		return c.failedAttempt(err, sent.Load())
	}
	defer response.Body.Close()
	answer, err := readAnswer(response.Body, show)
	if err != nil {
		return interrupted{err: &IncompleteError{Address: c.address, Reason: err}}
	}
	return answer
}

func (c *client) post(ctx context.Context, request bfresult.CommandRequest) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+commandsPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	r.Header.Set("Content-Type", "application/json")
	return c.http.Do(r)
}

// failedAttempt classifies an error by whether the node can have run the command.
func (c *client) failedAttempt(err error, sent bool) attempt {
	var status *StatusError
	switch {
	case errors.As(err, &status):
		return statusAttempt(status)
	case sent:
		return interrupted{err: &IncompleteError{Address: c.address, Reason: err}}
	}
	return notSent{err: err}
}

// statusAttempt classifies an error status. A node refuses before it runs anything,
// except that other server errors may come from a command that has run in part.
func statusAttempt(status *StatusError) attempt {
	switch {
	case status.Code == http.StatusServiceUnavailable, status.Code == http.StatusTooManyRequests:
		return notSent{err: status}
	case status.Code >= http.StatusInternalServerError:
		return interrupted{err: status}
	}
	return rejected{err: status}
}

// maxResponseBytes bounds the memory that a faulty node can make the client use.
const maxResponseBytes = 256 << 20

// readAnswer reads messages up to the end message, without which the response is
// incomplete.
func readAnswer(body io.Reader, show func(bfresult.Result) error) (answered, error) {
	decoder := json.NewDecoder(io.LimitReader(body, maxResponseBytes))
	answer := answered{}
	for {
		var message bfresult.ResultMessage
		if err := decoder.Decode(&message); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return answered{}, err
		}
		if message.End != nil {
			answer.status = message.End.Status
			return answer, nil
		}
		result, err := message.Result()
		if err != nil {
			return answered{}, err
		}
		if _, isProgress := result.(bfresult.Progress); !isProgress {
			answer.results = append(answer.results, result)
			continue
		}
		if err := show(result); err != nil {
			return answered{}, err
		}
	}
}
