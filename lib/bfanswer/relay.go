package bfanswer

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberryflow.org/lib/bfpacer"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bftransfer"
)

// relayBufferBytes is the size of the buffer through which the rest of an answer is copied.
const relayBufferBytes = 32 << 10

// Relay writes an answer to w, at the pacer's rate. If the answer breaks off, Relay panics
// with http.ErrAbortHandler, which closes the connection, so that the answer looks incomplete. It
// returns the number of bytes of the body, also of a caller that has disconnected if it is stated.
func Relay(w http.ResponseWriter, r *http.Request, answer *Answer, pacer *bfpacer.Pacer) int64 {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		// Prevents net/http from detecting a type from the body.
		header["Content-Type"] = nil
	}
	if answer.Length >= 0 && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	var to io.Writer = writerOnly{w}
	if answer.Rest != nil {
		bfresource.FromContext(r.Context()).Hold(relayBufferBytes)
	}
	if answer.Rest != nil && answer.Transfer != nil {
		to = watchedWriter{w, answer.Transfer}
	}
	if pacer.Paces(answer.Length) {
		paced := pacer.BeginReserved(answer.Length, answer.Reservation)
		defer paced.End()
		to = paced.Writer(r.Context(), to)
	} else {
		pacer.Charge(int(max(answer.Length, int64(len(answer.Head)))))
	}
	if _, err := to.Write(answer.Head); err != nil || answer.Rest == nil {
		return max(answer.Length, int64(len(answer.Head)))
	}
	rest, err := io.CopyBuffer(to, answer.Rest, make([]byte, relayBufferBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return int64(len(answer.Head)) + rest
}

// watchedWriter marks that the client is to read while a write waits for it.
type watchedWriter struct {
	to       http.ResponseWriter
	transfer *bftransfer.Transfer
}

// Write writes p. It fails if the transfer is ended meanwhile.
func (w watchedWriter) Write(p []byte) (int, error) {
	w.transfer.AwaitReader(func() {
		// Only the recorders of tests don't support deadlines.
		_ = http.NewResponseController(w.to).SetWriteDeadline(time.Unix(1, 0))
	})
	defer w.transfer.Rest()
	return w.to.Write(p)
}

// writerOnly hides the ResponseWriter's ReadFrom, so that io.CopyBuffer uses its own buffer.
type writerOnly struct{ io.Writer }
