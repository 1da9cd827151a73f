package bfrecord

// Answer is the sealed set of ends that a request handed to its target can
// have: WholeAnswer, DroppedAnswer and LostAnswer.
type Answer interface {
	// size is what the answer takes in a book, in bytes.
	size() int
}

// WholeAnswer is the target's answer, complete.
type WholeAnswer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewWholeAnswer makes an answer; header and body must not be changed afterwards.
func NewWholeAnswer(status int, header map[string][]string, body []byte) WholeAnswer {
	return WholeAnswer{status: status, header: header, body: body}
}

// Status is the HTTP status.
func (a WholeAnswer) Status() int { return a.status }

// Header is the HTTP header.
func (a WholeAnswer) Header() map[string][]string { return a.header }

// Body is the whole body.
func (a WholeAnswer) Body() []byte { return a.body }

func (a WholeAnswer) size() int {
	const perField = 48
	n := len(a.body)
	for name, values := range a.header {
		n += perField + len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}

// DroppedAnswer says that the request ran to its end and its answer was too large or too old to keep.
type DroppedAnswer struct{ status int }

// NewDroppedAnswer makes an answer of which only the status is left.
func NewDroppedAnswer(status int) DroppedAnswer { return DroppedAnswer{status: status} }

// Status is the HTTP status.
func (a DroppedAnswer) Status() int { return a.status }

func (a DroppedAnswer) size() int { return 0 }

// LostAnswer says that the request was handed to its target and what came of it can't be known.
type LostAnswer struct{ reason string }

// NewLostAnswer makes the answer of a target that was lost in the middle.
func NewLostAnswer(reason string) LostAnswer { return LostAnswer{reason: reason} }

// Reason is why it was lost, for logs.
func (a LostAnswer) Reason() string { return a.reason }

func (a LostAnswer) size() int { return len(a.reason) }
