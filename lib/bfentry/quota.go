package bfentry

import (
	"context"
	"log/slog"
	"net/http"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfoutcome"
)

// hasQuota reports whether the request counts against the quota of its workspace. A nested call
// doesn't: the request that made it has been counted. Only the key tells: a caller may choose the ID of
// a nested call.
func (c *call) hasQuota() bool {
	return c.handler.config.Quota != nil && c.keyed && c.workspace.Rate() > 0
}

// admitQuota counts the request against the quota of its workspace. If that is exhausted, it answers
// the request and returns false.
func (h *Handler) admitQuota(ctx context.Context, w http.ResponseWriter, c *call) bool {
	if !c.hasQuota() {
		return true
	}
	retryAfter, ok := h.config.Quota.Take(ctx, c.workspace)
	if ok {
		return true
	}
	h.metrics.registry.Counter("entry_refused_quota").Add(1)
	h.report(bflog.QuotaExceeded, c, slog.String("reason", "quota"), slog.String("workspace", c.workspace.Name()),
		slog.Duration("come_back", retryAfter))
	refuseWith(w, http.StatusTooManyRequests, retryAfter)
	return false
}

// returnQuota gives the request back to the quota if its result shows that it has not run at any
// target.
func (c *call) returnQuota(result bfhost.Result) {
	if !c.hasQuota() || bfoutcome.MayHaveRun(result) {
		return
	}
	c.handler.config.Quota.Return(c.workspace)
}
