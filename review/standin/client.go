package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has seen of the answer to one request.
type answer struct {
	status    int
	signature string
	id        string
	body      string
	whole     bool
	err       error
	took      time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes, whole %v", a.status, a.signature, len(a.body), a.whole)
}

// send sends one request over a new connection and reads its answer until the deadline.
func send(rec *record, address, method, host, path, id string, deadline time.Duration, header string, body string) answer {
	began := time.Now()
	rec.line("client sends %s %s %s to %s", id, method, path, address)
	a := exchange(address, method, host, path, id, deadline, header, body)
	a.took = time.Since(began)
	rec.line("client: %s: %s after %d ms", id, a, a.took.Milliseconds())
	return a
}

func exchange(address, method, host, path, id string, deadline time.Duration, header string, body string) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s", method, path, host, id, deadline.Milliseconds(), header)
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, head.String()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), method)
}

func readAnswer(from *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	text, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, signature: response.Header.Get("X-Response-Signature"), id: response.Header.Get("X-Attempt-Id"),
		body: string(text), whole: err == nil, err: err,
	}
}
