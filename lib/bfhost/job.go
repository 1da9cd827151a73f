package bfhost

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
)

// Job is one request for the target.
type Job struct {
	Request  *bfexchange.Request
	Deadline time.Time
	Policy   Policy
}

// Policy is how a request is treated, as its entry decided.
type Policy struct {
	// Service is the one that the request goes to.
	Service string
	// Class labels requests of one kind.
	Class string
	// Rank orders requests at a full target; 0 goes first.
	Rank int
	// Nested says that a target makes the request while it runs another one.
	Nested bool
	// Repeat says that this sending follows an earlier one of the same request.
	Repeat bool
	// Inherited says that the request is nested in one whose run is a repeat.
	Inherited bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Late says that the request is expected to miss its objective wherever it runs.
	Late bool
	// Patience is how long the request may wait for a slot.
	Patience time.Duration
	// LinkPatience is how long its answer may wait for the link of the target's
	// node, 0 for as long as it has to.
	LinkPatience time.Duration
}

// origin is why the request is run, as the budgets of repeats count it.
func (p Policy) origin() bfbudget.Origin {
	switch {
	case p.Repeat:
		return bfbudget.Again{}
	case p.Inherited:
		return bfbudget.Inherited{}
	}
	return bfbudget.First{}
}

// Result is the sealed set of ends of a job: Refused, Answered, Shed, Lost and Expired.
type Result interface{ result() }

// Reason is why a node did not hand a request to its target.
type Reason string

// The reasons.
const (
	// Full means that no slot was free in time.
	Full Reason = "full"
	// Leaving means that the target or its node takes no new work.
	Leaving Reason = "leaving"
	// NoTarget means that the node knows of no target of the service.
	NoTarget Reason = "no-target"
	// OtherService means that the node's target is one of another service.
	OtherService Reason = "other-service"
	// Unreadable means that the node could not read what another one asked.
	Unreadable Reason = "unreadable"
	// Unreached means that no byte reached the target.
	Unreached Reason = "unreached"
	// Unborne means that the request is a repeat, and that the budgets of the services
	// that its run calls don't bear those calls once more.
	Unborne Reason = "unborne"
	// Quarantined means that several targets have ended under the request.
	Quarantined Reason = "quarantined"
)

// Refused means that the request has not run and never will by this sending.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
	// Err is what kept the request from being sent, nil where a node refused it.
	Err error
}

// Answered is the target's answer.
type Answered struct{ Answer *Answer }

// Shed is the target's own word that it has not run the request.
type Shed struct {
	Status int
	// RetryAfter is when the caller is told to come back; the entry sets it.
	RetryAfter time.Duration
}

// Lost means that the request was handed over and no whole answer came: it may have run.
type Lost struct{ Reason string }

// Expired means that the deadline passed; Sent says whether the request was handed over.
type Expired struct{ Sent bool }

func (Refused) result()  {}
func (Answered) result() {}
func (Shed) result()     {}
func (Lost) result()     {}
func (Expired) result()  {}

// Answer is a target's answer; Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Head is the beginning of the body, or all of it.
	Head []byte
	// Rest is what follows, nil where nothing does.
	Rest io.Reader
	// Length of the body in bytes, bfexchange.Chunked where it is not known.
	Length int64
	// Spent is how the time at the target's node was spent.
	Spent Spent
	// Done is called once by Close.
	Done func()
}

// Spent is how a request's time at the node of its target was spent.
type Spent struct {
	// Wait is the time for a slot.
	Wait time.Duration
	// Run is the time from the hand-over to the end of what was held of the answer.
	Run time.Duration
}

// Close ends the answer.
func (a *Answer) Close() {
	if a.Done != nil {
		a.Done()
		a.Done = nil
	}
}

const (
	// HoldAtTarget is how much of an answer the target's node reads before any of
	// it goes on. One that breaks off within it can still be told as lost, or be
	// asked for again; the platform's downloads have 90 kB in the mean.
	HoldAtTarget = 256 << 10
	// HoldAtEntry is the same at the entry. Nodes break off far less than targets,
	// and on a link of 5 Mbit/s each 64 kB that are held cost 100 ms.
	HoldAtEntry = 16 << 10
)

// ReadAnswer reads the first hold bytes of an answer, or all of it; done is called at the
// end of an answer that it returns.
func ReadAnswer(from *bfexchange.Answer, hold int, done func()) (*Answer, error) {
	answer := &Answer{Status: from.Status(), Header: from.Header(), Length: from.Length()}
	head, whole, err := readHead(from, hold)
	if err != nil {
		from.Close()
		return nil, err
	}
	answer.Head = head
	if whole {
		answer.Length = int64(len(head))
		from.Close()
		done()
		return answer, nil
	}
	answer.Rest = from
	answer.Done = func() {
		from.Close()
		done()
	}
	return answer, nil
}

// readHead reads up to hold bytes; whole says that the body has ended.
func readHead(from *bfexchange.Answer, hold int) (head []byte, whole bool, err error) {
	size := int64(512)
	if from.Length() >= 0 {
		// One more than the body, so that its end is seen without growing.
		size = min(from.Length(), int64(hold)) + 1
	}
	head = make([]byte, 0, size)
	for len(head) < hold {
		if len(head) == cap(head) {
			head = append(head, 0)[:len(head)]
		}
		n, err := from.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			return head, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return head, false, nil
}
