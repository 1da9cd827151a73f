package bfhost

import (
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfquarantine"
)

// flight is one request that the target works on.
type flight struct {
	run    *bfbudget.Run
	target *Target
	id     string
	began  time.Time
	asked  bfquarantine.Request
}

func (h *Host) newFlight(job Job, run *bfbudget.Run, target *Target) *flight {
	return &flight{
		run: run, target: target, id: job.Request.ID, began: h.parts.Timer.Now(),
		asked: Asked(job.Request, h.parts.Names.CallerService),
	}
}
