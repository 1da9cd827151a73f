package bftransfer

import (
	"time"

	"bilberryflow.org/lib/bfpace"
)

// Terms bound how slow a transfer may be while others wait. The zero value bounds nothing.
type Terms struct {
	// Body is the pace at which a body must arrive.
	Body bfpace.Terms
	// AnswerPause is how long the client may take for one piece of its answer.
	AnswerPause time.Duration
}
