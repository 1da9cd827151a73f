package bfhost

import (
	"context"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bflifecycle"
)

const (
	// verifyTimeout bounds one question; a target that is full answers late.
	verifyTimeout = 500 * time.Millisecond
	// verifyInterval is the time between two questions, and maxQuestions bounds them: the next heartbeat
	// leads to new ones.
	verifyInterval = 250 * time.Millisecond
	maxQuestions   = 4
	// pathInterval is the time between two looks for the path, of which maxLooks are made.
	pathInterval = 50 * time.Millisecond
	maxLooks     = 20
)

// Verification is the answer of a start to the question whether it accepts requests.
type Verification struct {
	Incarnation string
	// Accepting is not set for a start that fails or leaves, and for one that another start at its
	// address answers for.
	Accepting bool
	// Status is the HTTP status of the answer.
	Status int
}

// evaluate returns what an answer says about an incarnation; ok is false for a target that was too full to
// say anything.
func (h *Host) evaluate(status int, header http.Header, incarnation string) (v Verification, ok bool) {
	if header.Get(h.config.Names.NotRun) != "" {
		return Verification{}, false
	}
	accepting := status == http.StatusOK && header.Get(h.config.Names.Target) == incarnation && !h.saysLeaving(header)
	return Verification{Incarnation: incarnation, Accepting: accepting, Status: status}, true
}

// verify asks the start of a heartbeat whether it accepts requests, unless another question is being
// asked. Earlier processes may have been told that it leaves, and the heartbeat may be older than that.
func (h *Host) verify(beat bflifecycle.Heartbeat) {
	if h.config.HealthPath == nil || !h.verifying.CompareAndSwap(false, true) {
		return
	}
	h.config.Spawn("verify target", func(ctx context.Context) error {
		defer h.verifying.Store(false)
		path := h.awaitHealthPath(ctx)
		for question := 0; path != "" && question < maxQuestions; question++ {
			if question > 0 && h.config.Timer.Wait(ctx, verifyInterval) != nil {
				return nil
			}
			if v, ok := h.ask(ctx, beat, path); ok {
				h.applyVerification(v)
				return nil
			}
		}
		return nil
	})
}

// awaitHealthPath returns the path of the question, "" if it stays unknown.
func (h *Host) awaitHealthPath(ctx context.Context) string {
	for range maxLooks {
		if path := h.config.HealthPath(); path != "" || h.config.Timer.Wait(ctx, pathInterval) != nil {
			return path
		}
	}
	return ""
}

// ask asks a start once whether it accepts requests; ok is false without an answer.
func (h *Host) ask(ctx context.Context, beat bflifecycle.Heartbeat, path string) (v Verification, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	question := &bfexchange.Request{Method: http.MethodGet, Target: path, Host: beat.Address, Header: http.Header{}}
	answer, err := h.config.Client.Send(ctx, beat.Address, question)
	if err != nil {
		return Verification{}, false
	}
	defer answer.Discard()
	return h.evaluate(answer.Status(), answer.Header(), beat.Incarnation)
}

func (h *Host) applyVerification(v Verification) {
	if v.Accepting {
		now := h.config.Timer.Now()
		h.change(func(tr *bflifecycle.Tracker) bool { return tr.Confirm(v.Incarnation, now) })
	}
	if h.config.Verified != nil {
		h.config.Verified(v)
	}
}
