package bfguard

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"

	"bilberryflow.org/lib/bfadmit"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrecord"
)

// maxRecordedAnswer is the largest response body in bytes that is buffered in full and
// kept in the record.
const maxRecordedAnswer = 16 << 10

// StatusError reports a response of the target with an invalid status.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("target answered with status %d", e.Status) }

// relay reads the target's response, and streams it if it is too large to buffer.
func (in *inboundRequest) relay(response *http.Response) (inboundResult, bfadmit.Outcome) {
	if response.StatusCode < http.StatusOK {
		return in.recordLost(&StatusError{Status: response.StatusCode}), bfadmit.Abandoned
	}
	bfheader.Strip(response.Header)
	var body bytes.Buffer
	body.Grow(int(min(max(response.ContentLength, 0), maxRecordedAnswer)) + bytes.MinRead)
	_, err := io.CopyN(&body, response.Body, maxRecordedAnswer+1)
	switch {
	case err == nil:
		return in.stream(response, body.Bytes())
	case !errors.Is(err, io.EOF):
		return in.recordLost(err), bfadmit.Abandoned
	}
	answer := bfrecord.NewWholeAnswer(response.StatusCode, response.Header, body.Bytes())
	in.flight.Answered()
	in.finish(answer)
	return finished{answer}, bfadmit.Done
}

// stream forwards a large response; the target's slot is held until its end.
func (in *inboundRequest) stream(response *http.Response, head []byte) (inboundResult, bfadmit.Outcome) {
	in.writeHeader(response.Header)
	in.w.WriteHeader(response.StatusCode)
	writeErr := bfhop.Write(in.w, head)
	var readErr error
	if writeErr == nil {
		readErr, writeErr = bfhop.Copy(in.w, response.Body)
	}
	if readErr != nil {
		in.reportLoss()
	} else {
		in.flight.Answered()
	}
	in.finish(bfrecord.NewDroppedAnswer(response.StatusCode))
	in.truncated = readErr != nil || writeErr != nil
	if readErr != nil {
		return streamed{}, bfadmit.Abandoned
	}
	return streamed{}, bfadmit.Done
}

// writeResult writes the result to the entry node.
func (in *inboundRequest) writeResult(result inboundResult) {
	switch r := result.(type) {
	case refused:
		in.writeRefusal(r)
	case inProgress:
		bfhop.WriteInProgress(in.w, r.id)
	case finished:
		in.writeAnswer(r.answer)
	case streamed:
	}
}

func (in *inboundRequest) writeRefusal(r refused) {
	in.guard.refused.Add(1)
	in.setLoad()
	if r.final {
		in.w.Header().Set(bfheader.Final, bfheader.FinalMark)
	}
	if err := bfhop.WriteRefusal(in.w, r.refusal); err != nil {
		in.guard.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

func (in *inboundRequest) writeAnswer(answer bfrecord.Answer) {
	switch a := answer.(type) {
	case bfrecord.WholeAnswer:
		in.writeWhole(a)
	case bfrecord.DroppedAnswer:
		bfhop.WriteDropped(in.w, a.Status())
	case bfrecord.LostAnswer:
		bfhop.WriteLost(in.w)
	}
}

func (in *inboundRequest) writeWhole(answer bfrecord.WholeAnswer) {
	in.writeHeader(answer.Header())
	if bfhop.HasBody(in.r.Method, answer.Status()) {
		in.w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body())))
	}
	in.w.WriteHeader(answer.Status())
	// An entry node that disconnected queries the outcome.
	_ = bfhop.Write(in.w, answer.Body())
}

// writeHeader copies the response header, including a Content-Length.
func (in *inboundRequest) writeHeader(from http.Header) {
	to := in.w.Header()
	maps.Copy(to, from)
	to.Set(bfheader.Outcome, bfheader.OutcomeDone)
	in.setLoad()
}

func (in *inboundRequest) setLoad() { in.w.Header().Set(bfheader.Load, in.guard.load().String()) }
