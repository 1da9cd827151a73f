package bfoutcome

import (
	"fmt"
	"net/http"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfrollout"
)

// Served reports whether a result is a target's success.
func Served(result bfhost.Result) bool {
	answered, ok := result.(bfhost.Answered)
	return ok && !Failed(answered)
}

// IsAnswered reports whether the target answered.
func IsAnswered(result bfhost.Result) bool {
	_, ok := result.(bfhost.Answered)
	return ok
}

// Failed reports whether the target answered with a server error.
func Failed(result bfhost.Answered) bool {
	return result.Answer.Status >= http.StatusInternalServerError
}

// Proven returns the result that callers may be told. A target's answer whose status promises that the request
// has not run, which the target has not stated, becomes a lost one, unless the request may run more than once.
// Status is that of such an answer, 0 for other results.
func Proven(result bfhost.Result, repeatable bool) (proven bfhost.Result, status int) {
	answered, ok := result.(bfhost.Answered)
	if !ok || !promisesNotRun(answered.Answer.Status) {
		return result, 0
	}
	status = answered.Answer.Status
	if repeatable {
		return result, status
	}
	answered.Answer.Close()
	return bfhost.Lost{Reason: fmt.Sprintf("answered with status %d, not stated as not run", status)}, status
}

// promisesNotRun reports whether callers take an answer with a status for the promise that the request
// has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// MayHaveRun reports whether a target may have run the request of a result.
func MayHaveRun(result bfhost.Result) bool {
	switch result := result.(type) {
	case bfhost.Refused, bfhost.Shed:
		return false
	case bfhost.Expired:
		return result.Sent
	}
	return true
}

// ReachedTarget reports whether a target received the request of a result. A request that was shed reached
// one, although it has not run.
func ReachedTarget(result bfhost.Result) bool {
	_, shed := result.(bfhost.Shed)
	return shed || MayHaveRun(result)
}

// HidesRun reports whether a result says that a request has not run, although by the result of another
// copy of it, it may have.
func HidesRun(other, result bfhost.Result) bool { return MayHaveRun(other) && !MayHaveRun(result) }

// CloseAnswer releases the answer of a result that is not used.
func CloseAnswer(result bfhost.Result) {
	if answered, ok := result.(bfhost.Answered); ok {
		answered.Answer.Close()
	}
}

// Name returns the name of a result for metrics.
func Name(result bfhost.Result) string {
	switch result := result.(type) {
	case bfhost.Answered:
		if Failed(result) {
			return "failed"
		}
		return "answered"
	case bfhost.Refused:
		return "refused_" + string(result.Reason)
	case bfhost.Shed:
		return "shed"
	case bfhost.Expired:
		return "expired"
	}
	return "lost"
}

// OfVersion returns the outcome of a send as it counts for its version; reached is false if no
// target received the request.
func OfVersion(result bfhost.Result) (outcome bfrollout.Outcome, reached bool) {
	switch result := result.(type) {
	case bfhost.Answered:
		outcome.Bad = Failed(result)
		if result.Answer.Spent.Warm {
			outcome.Run = result.Answer.Spent.Run
		}
		return outcome, true
	case bfhost.Shed, bfhost.Lost:
		return bfrollout.Outcome{Bad: true}, true
	case bfhost.Expired:
		return bfrollout.Outcome{Bad: true}, result.Sent
	}
	return bfrollout.Outcome{}, false
}
