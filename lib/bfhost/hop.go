package bfhost

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfheader"
)

// policyHeader carries a Policy from the entry to the target's node.
const policyHeader = bfheader.Policy

// WritePolicy writes the policy to the header of a request between nodes.
func WritePolicy(h http.Header, p Policy) {
	h[policyHeader] = []string{fmt.Sprintf("%s %d %s %s %s %s %s %d %d %s", p.Service, p.Rank, flag(p.Nested, flagNested),
		flag(p.Repeatable, flagRepeatable), flag(p.Repeat, flagRepeat), flag(p.Inherited, flagInherited), flag(p.Late, flagLate),
		p.MaxSlotWait.Milliseconds(), p.MaxLinkWait.Milliseconds(), p.Class)}
	if p.Workspace != "" {
		h[bfheader.Workspace] = []string{p.Workspace}
	}
	p.LongAnswer.write(h)
	switch {
	case p.Trial:
		h[bfheader.Version] = []string{versionTrial}
	case p.ChosenVersion:
		h[bfheader.Version] = []string{versionChosen}
	}
}

// Values of the version header between nodes, which is missing if the entry did not choose the
// version.
const (
	versionChosen = "chosen"
	versionTrial  = "trial"
)

// Flags of an encoded policy.
const (
	flagNested     = "nested"
	flagRepeatable = "repeatable"
	flagRepeat     = "repeat"
	flagInherited  = "inherited"
	flagLate       = "late"
)

func flag(set bool, name string) string {
	if set {
		return name
	}
	return "-"
}

// PolicyError reports a policy header that can't be parsed.
type PolicyError struct{ Text string }

// Error includes the header's value.
func (e *PolicyError) Error() string { return fmt.Sprintf("malformed policy header %q", e.Text) }

// policyFields is the number of fields of an encoded policy.
const policyFields = 10

// ReadPolicy parses what WritePolicy wrote. Its errors are of type PolicyError.
func ReadPolicy(h http.Header) (Policy, error) {
	text := h.Get(policyHeader)
	fields := strings.SplitN(text, " ", policyFields)
	if len(fields) != policyFields {
		return Policy{}, &PolicyError{text}
	}
	rank, err := strconv.Atoi(fields[1])
	if err != nil {
		return Policy{}, &PolicyError{text}
	}
	slotWait, err := strconv.Atoi(fields[7])
	if err != nil {
		return Policy{}, &PolicyError{text}
	}
	linkWait, err := strconv.Atoi(fields[8])
	if err != nil {
		return Policy{}, &PolicyError{text}
	}
	version := h.Get(bfheader.Version)
	return Policy{
		ChosenVersion: version != "", Trial: version == versionTrial,
		Service: fields[0], Rank: rank, Nested: fields[2] == flagNested, Repeatable: fields[3] == flagRepeatable,
		Repeat: fields[4] == flagRepeat, Inherited: fields[5] == flagInherited, Late: fields[6] == flagLate,
		MaxSlotWait: time.Duration(slotWait) * time.Millisecond, MaxLinkWait: time.Duration(linkWait) * time.Millisecond,
		Class: fields[9], Workspace: h.Get(bfheader.Workspace), LongAnswer: readLongAnswer(h),
	}, nil
}

// WriteLoad writes the target's load to the header of an answer between nodes.
func WriteLoad(h http.Header, used, slots int) {
	h[bfheader.Load] = []string{strconv.Itoa(used) + "/" + strconv.Itoa(slots)}
}

// ReadLoad parses what WriteLoad wrote; ok is false if the header is missing or malformed.
func ReadLoad(h http.Header) (used, slots int, ok bool) {
	before, after, found := strings.Cut(h.Get(bfheader.Load), "/")
	used, errUsed := strconv.Atoi(before)
	slots, errSlots := strconv.Atoi(after)
	return used, slots, found && errUsed == nil && errSlots == nil
}

// WriteBacklog writes how long the node's link needs for the long answers in progress.
func WriteBacklog(h http.Header, backlog time.Duration) {
	if backlog > 0 {
		h[bfheader.Backlog] = []string{strconv.FormatInt(backlog.Milliseconds(), 10)}
	}
}

// ReadBacklog parses what WriteBacklog wrote, 0 if the header is missing or malformed.
func ReadBacklog(h http.Header) time.Duration {
	backlog, err := strconv.ParseInt(h.Get(bfheader.Backlog), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(backlog) * time.Millisecond
}

// WriteSpent writes the time spent at a target's node to the header of an answer between nodes.
func WriteSpent(h http.Header, s bfanswer.Spent) {
	h[bfheader.Spent] = []string{strconv.FormatInt(s.Wait.Microseconds(), 10) + "/" + strconv.FormatInt(s.Run.Microseconds(), 10)}
	if s.Warm {
		h[bfheader.Spent][0] += "/" + spentWarm
	}
}

// spentWarm marks the time at a target that had warmed up.
const spentWarm = "warm"

// ReadSpent parses what WriteSpent wrote, zero if the header is missing or malformed.
func ReadSpent(h http.Header) bfanswer.Spent {
	before, after, _ := strings.Cut(h.Get(bfheader.Spent), "/")
	after, warm, _ := strings.Cut(after, "/")
	wait, errWait := strconv.ParseInt(before, 10, 64)
	run, errRun := strconv.ParseInt(after, 10, 64)
	if errWait != nil || errRun != nil {
		return bfanswer.Spent{}
	}
	return bfanswer.Spent{Wait: time.Duration(wait) * time.Microsecond, Run: time.Duration(run) * time.Microsecond, Warm: warm == spentWarm}
}

// Values of the outcome header between nodes.
const (
	outcomeRefused = "refused"
	outcomeShed    = "shed"
	outcomeLost    = "lost"
	outcomeExpired = "expired"
)

// beyondShareMark and underLoadMark are the values of the headers of a refusal beyond the fair share
// and of a reset under load.
const (
	beyondShareMark = "1"
	underLoadMark   = "1"
)

// ReadResult parses the result of a job from the header of another node's answer; ok is
// false if the answer is the target's own.
func ReadResult(h http.Header) (result Result, ok bool) {
	switch h.Get(bfheader.Outcome) {
	case outcomeRefused:
		return Refused{
			Reason: Reason(h.Get(bfheader.Reason)), RetryAfter: bfheader.ReadRetryAfter(h), BeyondShare: h.Get(bfheader.BeyondShare) != "",
		}, true
	case outcomeShed:
		return Shed{Status: http.StatusServiceUnavailable}, true
	case outcomeLost:
		return Lost{Reason: h.Get(bfheader.Reason), UnderLoad: h.Get(bfheader.UnderLoad) != ""}, true
	case outcomeExpired:
		return Expired{Sent: true}, true
	}
	return nil, false
}

// writeResult answers another node with the result of a job that has no target answer.
func writeResult(w http.ResponseWriter, result Result) {
	h := w.Header()
	status := http.StatusBadGateway
	switch end := result.(type) {
	case Refused:
		status = http.StatusServiceUnavailable
		h.Set(bfheader.Outcome, outcomeRefused)
		h.Set(bfheader.Reason, string(end.Reason))
		bfheader.WriteRetryAfter(h, end.RetryAfter)
		if end.BeyondShare {
			h.Set(bfheader.BeyondShare, beyondShareMark)
		}
	case Shed:
		status = http.StatusServiceUnavailable
		h.Set(bfheader.Outcome, outcomeShed)
	case Lost:
		h.Set(bfheader.Outcome, outcomeLost)
		h.Set(bfheader.Reason, bfheader.Printable(end.Reason))
		if end.UnderLoad {
			h.Set(bfheader.UnderLoad, underLoadMark)
		}
	case Expired:
		status = http.StatusGatewayTimeout
		h.Set(bfheader.Outcome, outcomeExpired)
	}
	w.WriteHeader(status)
}
