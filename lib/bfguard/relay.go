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

// keepBytes is the largest answer that is read whole before any of it goes on,
// and kept for whoever asks later.
const keepBytes = 16 << 10

// StatusError reports an answer of the target's that is none.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("target answered with status %d", e.Status) }

// relay takes the target's answer: whole, or as far as it can be held.
func (v *visit) relay(response *http.Response) (end, bfadmit.Outcome) {
	if response.StatusCode < http.StatusOK {
		return v.lost(&StatusError{Status: response.StatusCode}), bfadmit.Abandoned
	}
	bfheader.Strip(response.Header)
	var body bytes.Buffer
	body.Grow(int(min(max(response.ContentLength, 0), keepBytes)) + bytes.MinRead)
	_, err := io.CopyN(&body, response.Body, keepBytes+1)
	switch {
	case err == nil:
		return v.stream(response, body.Bytes())
	case !errors.Is(err, io.EOF):
		return v.lost(err), bfadmit.Abandoned
	}
	answer := bfrecord.NewWholeAnswer(response.StatusCode, response.Header, body.Bytes())
	v.flight.Answered()
	v.finish(answer)
	return ended{answer}, bfadmit.Done
}

// stream hands on an answer too large to hold; the target works until it has written the end.
func (v *visit) stream(response *http.Response, head []byte) (end, bfadmit.Outcome) {
	v.writeHeader(response.Header)
	v.w.WriteHeader(response.StatusCode)
	writeErr := bfhop.Write(v.w, head)
	var readErr error
	if writeErr == nil {
		readErr, writeErr = bfhop.Copy(v.w, response.Body)
	}
	if readErr != nil {
		v.noteLoss()
	} else {
		v.flight.Answered()
	}
	v.finish(bfrecord.NewDroppedAnswer(response.StatusCode))
	v.cut = readErr != nil || writeErr != nil
	if readErr != nil {
		return streamed{}, bfadmit.Abandoned
	}
	return streamed{}, bfadmit.Done
}

// deliver tells the entry what the request came to.
func (v *visit) deliver(end end) {
	switch e := end.(type) {
	case refused:
		v.refuse(e)
	case busy:
		bfhop.WriteInProgress(v.w, e.id)
	case ended:
		v.answer(e.answer)
	case streamed:
	}
}

func (v *visit) refuse(e refused) {
	v.guard.refused.Add(1)
	v.setLoad()
	if e.final {
		v.w.Header().Set(bfheader.Final, bfheader.FinalMark)
	}
	if err := bfhop.WriteRefusal(v.w, e.refusal); err != nil {
		v.guard.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

func (v *visit) answer(answer bfrecord.Answer) {
	switch a := answer.(type) {
	case bfrecord.WholeAnswer:
		v.whole(a)
	case bfrecord.DroppedAnswer:
		bfhop.WriteDropped(v.w, a.Status())
	case bfrecord.LostAnswer:
		bfhop.WriteLost(v.w)
	}
}

func (v *visit) whole(answer bfrecord.WholeAnswer) {
	v.writeHeader(answer.Header())
	if bfhop.HasBody(v.r.Method, answer.Status()) {
		v.w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body())))
	}
	v.w.WriteHeader(answer.Status())
	// An entry that went away asks what became of the request.
	_ = bfhop.Write(v.w, answer.Body())
}

// writeHeader leaves the answer's own Content-Length, where it has one.
func (v *visit) writeHeader(from http.Header) {
	to := v.w.Header()
	maps.Copy(to, from)
	to.Set(bfheader.Outcome, bfheader.OutcomeDone)
	v.setLoad()
}

func (v *visit) setLoad() { v.w.Header().Set(bfheader.Load, v.guard.load().String()) }
