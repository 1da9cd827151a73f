package bfrecord

// Answer is the result of a request that was forwarded to its target. It is a
// sealed interface: WholeAnswer, DroppedAnswer or LostAnswer.
type Answer interface {
	// size is the answer's approximate memory in a Tracker, in bytes.
	size() int
}

// WholeAnswer is the target's complete answer.
type WholeAnswer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewWholeAnswer returns a complete answer; the caller must not modify header or body afterwards.
func NewWholeAnswer(status int, header map[string][]string, body []byte) WholeAnswer {
	return WholeAnswer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a WholeAnswer) Status() int { return a.status }

// Header returns the HTTP header.
func (a WholeAnswer) Header() map[string][]string { return a.header }

// Body returns the response body.
func (a WholeAnswer) Body() []byte { return a.body }

func (a WholeAnswer) size() int {
	const perField = 48 // bytes of map and slice overhead
	n := len(a.body)
	for name, values := range a.header {
		n += perField + len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}

// DroppedAnswer is the answer of a completed request whose header and body were too large or too old to keep.
type DroppedAnswer struct{ status int }

// NewDroppedAnswer returns an answer of which only the status was kept.
func NewDroppedAnswer(status int) DroppedAnswer { return DroppedAnswer{status: status} }

// Status returns the HTTP status.
func (a DroppedAnswer) Status() int { return a.status }

func (a DroppedAnswer) size() int { return 0 }

// LostAnswer is the result of a request that was forwarded to its target and whose outcome is unknown.
type LostAnswer struct{ reason string }

// NewLostAnswer returns the result of a request whose target or connection failed before it answered.
func NewLostAnswer(reason string) LostAnswer { return LostAnswer{reason: reason} }

// Reason returns why the answer was lost, for logs.
func (a LostAnswer) Reason() string { return a.reason }

func (a LostAnswer) size() int { return len(a.reason) }
