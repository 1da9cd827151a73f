package bfhost

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bftransfer"
)

// trackBody tracks whether the client sends the remainder of a body; end ends the request.
func trackBody(request *bfexchange.Request, transfer *bftransfer.Transfer, end func()) {
	if request.Rest == nil {
		return
	}
	transfer.AwaitBody(end)
	request.Received = func(bytes int, err error) {
		transfer.BodyArrived(bytes)
		if err != nil {
			transfer.Rest()
		}
	}
}

// endLateTransfers ends the transfer that is late for the longest time if the target is full, so that the
// request that arrives can have its slot.
func (h *Host) endLateTransfers(ctx context.Context) {
	if used, slots := h.gate.Load(); used >= slots {
		h.transfers.EndLate(ctx, 1)
	}
}

// transferInterval is how often requests that wait are given the slots of late transfers.
const transferInterval = 100 * time.Millisecond

// WatchTransfers ends late transfers while requests wait for the target. ended is called with the number of
// those that were ended since its last call.
func (h *Host) WatchTransfers(ended func(count int64)) {
	reported := int64(0)
	h.config.Timer.Every(func() time.Duration { return transferInterval }, func(time.Time) {
		if used, slots := h.gate.Load(); used > slots {
			h.transfers.StartEnding(used - slots)
		}
		if count := h.transfers.Ended(); count > reported {
			ended(count - reported)
			reported = count
		}
	})
}

// TransfersEnded returns the number of transfers that were ended as their clients were too slow.
func (h *Host) TransfersEnded() int64 { return h.transfers.Ended() }
