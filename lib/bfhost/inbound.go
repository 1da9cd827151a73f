package bfhost

import (
	"net/http"
	"strconv"
	"time"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfpacer"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bfroutestat"
)

// Inbound serves requests that other nodes send for the target.
type Inbound struct {
	host  *Host
	pacer *bfpacer.Pacer
	// runTimes are the means of each class from the send to the target until the answer begins to leave.
	runTimes bfroutestat.Means
}

// NewInbound makes the handler of the node's inbound port. A nil pacer means no rate limit.
func NewInbound(host *Host, pacer *bfpacer.Pacer) *Inbound { return &Inbound{host: host, pacer: pacer} }

// ServeHTTP serves one request of another node.
func (i *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(bfheader.Probe) != "" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	// Counted here too, since on a slow link the answer is still being sent after the target is done.
	i.host.inProgress.Add(1)
	defer i.host.inProgress.Add(-1)
	holdsBack := r.Header.Get(bfheader.GoAhead) != ""
	job, err := i.read(r)
	if bfresource.IsExhausted(err) {
		w.Header().Set("Connection", "close")
		i.RefuseExhausted(w, r)
		return
	}
	if err != nil {
		// A node of another version may send a policy that can't be parsed. Without the
		// outcome the entry would treat this as the target's own answer.
		w.Header().Set(bfheader.Outcome, outcomeRefused)
		w.Header().Set(bfheader.Reason, string(Unreadable))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if holdsBack {
		job.Request.Sending = func() { writeGoAhead(w) }
	}
	reservation, result := i.admitToLink(job.Policy)
	defer reservation.End()
	if result == nil {
		result = i.host.Run(r.Context(), job)
	}
	used, slots := i.host.Capacity()
	WriteLoad(w.Header(), used, slots)
	WriteLimit(w.Header(), i.host.limit.Known())
	WriteBacklog(w.Header(), i.pacer.Backlog())
	WriteHealth(w.Header(), i.host.Health(job.Policy.Class))
	if i.host.Leaving() || holdsBack && job.Request.Rest != nil && !job.Request.Rest.Begun() {
		// The server would read on before it answers, and wait for a remainder that is held back.
		w.Header().Set("Connection", "close")
	}
	answered, ok := result.(Answered)
	if !ok {
		if job.Policy.LongAnswer != nil {
			// Overloaded links refuse more often than they answer, and refusals take bytes too.
			i.pacer.Charge(0)
		}
		writeResult(w, result)
		return
	}
	defer answered.Answer.Close()
	bfheader.Strip(answered.Answer.Header)
	WriteSpent(w.Header(), answered.Answer.Spent)
	WriteLeaving(w.Header(), answered.Answer.Leaving)
	i.runTimes.Add(job.Policy.Class, answered.Answer.Spent.Run.Nanoseconds())
	answered.Answer.Reservation = reservation
	sent := bfanswer.Relay(w, r, answered.Answer, i.pacer)
	if answered.Answer.Status < http.StatusBadRequest && r.Method != http.MethodHead {
		i.pacer.Observe(job.Policy.Class, sent)
	}
}

// RefuseExhausted answers a request for which the node has no memory left. It has not run.
func (i *Inbound) RefuseExhausted(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, Refused{Reason: Full, RetryAfter: bfresource.RetryAfter})
}

// writeGoAhead asks the other node for the remainder of a request's body.
func writeGoAhead(w http.ResponseWriter) {
	w.Header().Set(bfheader.GoAhead, bfheader.GoAheadMark)
	w.WriteHeader(http.StatusProcessing)
	w.Header().Del(bfheader.GoAhead)
}

// read parses a request between nodes.
func (i *Inbound) read(r *http.Request) (Job, error) {
	names := i.host.config.Names
	policy, err := ReadPolicy(r.Header)
	if err != nil {
		return Job{}, err
	}
	left, err := strconv.ParseInt(r.Header.Get(names.Deadline), 10, 64)
	if err != nil {
		return Job{}, &bfheader.ValueError{Header: names.Deadline, Value: r.Header.Get(names.Deadline), Allowed: "milliseconds"}
	}
	request, err := ReadRequest(r, names.RequestID)
	if err != nil {
		return Job{}, err
	}
	known := ReadLimit(r.Header)
	bfheader.Strip(request.Header)
	return Job{
		Request: request, Policy: policy, KnownLimit: known,
		Deadline: i.host.config.Timer.Now().Add(time.Duration(left) * time.Millisecond),
	}, nil
}

// ReadRequest reads up to bfanswer.TargetBufferBytes of a request's body and prepares the request
// for the next hop. A longer body stays in Rest.
func ReadRequest(r *http.Request, idHeader string) (*bfexchange.Request, error) {
	return bfexchange.ReadRequest(r, idHeader, bfanswer.TargetBufferBytes)
}
