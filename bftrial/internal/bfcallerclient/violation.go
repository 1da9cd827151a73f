package bfcallerclient

import (
	"fmt"
	"net/http"
	"time"
)

// Circumstances are what is known of a request beside what its caller saw.
type Circumstances struct {
	// Runs is how often targets ran it.
	Runs int
	// AnswerLimit is the time after which it may no longer be unanswered.
	AnswerLimit time.Duration
	// Calm is set if its node had no unplanned fault meanwhile, Maintained if the node was under planned
	// maintenance and no node had an unplanned fault.
	Calm, Maintained bool
	// KeyMayBeUnknown is set if its key was not valid all the time.
	KeyMayBeUnknown bool
}

// Violation returns which rule an outcome breaks, "" for none.
func (o Outcome) Violation(c Circumstances) string {
	promisedNotRun := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	switch {
	case o.Mismatch != "":
		return "received another request's response or an incomplete one: " + o.Mismatch
	case !o.Idempotent && c.Runs > 1:
		return fmt.Sprintf("is not idempotent and ran %d times", c.Runs)
	case promisedNotRun && c.Runs > 0 && !o.Idempotent:
		return fmt.Sprintf("was answered as not run, but ran %d times", c.Runs)
	case o.Status == http.StatusOK && c.Runs == 0:
		return "was answered as served, but never ran"
	case c.Calm && o.Ended.Sub(o.Began) > c.AnswerLimit:
		return fmt.Sprintf("was unanswered for %v", o.Ended.Sub(o.Began))
	case c.Calm && o.Err != nil && c.Runs > 0 && c.Maintained:
		return fmt.Sprintf("ran and lost its connection during planned maintenance: %v", o.Err)
	case o.Status == http.StatusUnauthorized && c.KeyMayBeUnknown:
		return ""
	case o.Status >= 300 && o.Status < 500 && o.Status != http.StatusTooManyRequests:
		return fmt.Sprintf("was rejected with status %d", o.Status)
	}
	return ""
}
