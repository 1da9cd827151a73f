package bfsimtarget

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
)

// RefuseFaultily has a percentage of the requests refused by an answer that is repeated before the next one on
// the connection, and half as many that ran answered as if they were refused, without saying so.
func (t *Target) RefuseFaultily(percent int32) { t.refusedPercent.Store(percent) }

// refusal returns the answer that states that a request has not run.
func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headers.RequestID, id, headers.NotRun)
}

// answersUnproven draws whether a request that ran is answered as if it was refused.
func (t *Target) answersUnproven() bool { return rand.Int32N(200) < t.refusedPercent.Load() }

// refuses draws whether a request is refused.
func (t *Target) refuses() bool { return rand.Int32N(100) < t.refusedPercent.Load() }

// refuseRepeatedly refuses a request and serves the following ones of its connection.
func (t *Target) refuseRepeatedly(w http.ResponseWriter, id string) {
	c, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	repeated := refusal(id)
	if _, err := io.WriteString(c, repeated); err != nil {
		return
	}
	for {
		next, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return
		}
		answer := recorder{header: http.Header{}, status: http.StatusOK}
		id := next.Header.Get(headers.RequestID)
		if t.refuses() {
			_, _ = io.Copy(io.Discard, next.Body)
			if _, err := io.WriteString(c, repeated+refusal(id)); err != nil {
				return
			}
			repeated = refusal(id)
			continue
		}
		t.serve(&answer, next)
		if _, err := io.WriteString(c, repeated+answer.String()); err != nil {
			return
		}
		repeated = ""
	}
}

// recorder keeps an answer in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader sets the status of the answer.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write adds to the body of the answer.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// String returns the answer as it is sent.
func (r *recorder) String() string {
	var head strings.Builder
	_ = r.header.Write(&head) // a strings.Builder never fails
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", r.status, http.StatusText(r.status), head.String(), r.body.Len(), r.body.String())
}
