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

// Error names the node, the status and the reason.
func (e *StatusError) Error() string {
	if e.Code == http.StatusUnauthorized || e.Code == http.StatusForbidden {
		return fmt.Sprintf("%s refused the token: %s", e.Address, e.Reason)
	}
	return fmt.Sprintf("%s answered %d %s: %s", e.Address, e.Code, http.StatusText(e.Code), e.Reason)
}

// CutError reports an answer that ended before its end message.
type CutError struct {
	Address string
	Reason  error
}

// Error names the node and the reason.
func (e *CutError) Error() string {
	return fmt.Sprintf("the answer of %s was cut: %v", e.Address, e.Reason)
}

// Unwrap is the reason.
func (e *CutError) Unwrap() error { return e.Reason }

// client talks to one node.
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
	// A connection kept from an earlier command may be dead; on a new one it is
	// certain whether a request was sent at all.
	transport := &http.Transport{DisableKeepAlives: true}
	if s.roots != nil {
		transport.TLSClientConfig = &tls.Config{RootCAs: s.roots, MinVersion: tls.VersionTLS12}
	}
	// Each request's time is bounded by its context.
	kratos, err := khttp.NewClient(ctx, khttp.WithEndpoint(base), khttp.WithTransport(transport),
		khttp.WithTimeout(0), khttp.WithErrorDecoder(statusError(address)))
	if err != nil {
		return nil, &UsageError{Setting: "--node", Reason: err.Error()}
	}
	return &client{address: address, base: base, token: s.token, http: kratos}, nil
}

// statusError reads why a node did not take a request.
func statusError(address string) khttp.DecodeErrorFunc {
	return func(_ context.Context, response *http.Response) error {
		if response.StatusCode == http.StatusOK {
			return nil
		}
		defer response.Body.Close()
		const longest = 500
		reason, err := io.ReadAll(io.LimitReader(response.Body, longest))
		if err != nil {
			reason = []byte(err.Error())
		}
		return &StatusError{Address: address, Code: response.StatusCode, Reason: strings.TrimSpace(string(reason))}
	}
}

// send makes one attempt; progress is shown as it comes, everything else when the answer is whole.
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
		return cut{err: &CutError{Address: c.address, Reason: err}}
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

// failedAttempt tells by the error whether the node can have run the command.
func (c *client) failedAttempt(err error, sent bool) attempt {
	var status *StatusError
	switch {
	case errors.As(err, &status):
		return statusAttempt(status)
	case sent:
		return cut{err: &CutError{Address: c.address, Reason: err}}
	}
	return notSent{err: err}
}

// statusAttempt reads a status: the node refuses before it runs anything,
// except that another server error may come out of a command half done.
func statusAttempt(status *StatusError) attempt {
	switch {
	case status.Code == http.StatusServiceUnavailable, status.Code == http.StatusTooManyRequests:
		return notSent{err: status}
	case status.Code >= http.StatusInternalServerError:
		return cut{err: status}
	}
	return rejected{err: status}
}

// largestAnswer bounds what a broken node can make the client keep.
const largestAnswer = 256 << 20

// readAnswer reads messages up to the end message; without one the answer is not whole.
func readAnswer(body io.Reader, show func(bfresult.Result) error) (answered, error) {
	decoder := json.NewDecoder(io.LimitReader(body, largestAnswer))
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
