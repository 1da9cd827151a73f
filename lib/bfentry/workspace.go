package bfentry

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfidentity"
	"bilberryflow.org/lib/bftraffic"
)

// Freshness tells how recently the configuration in force was proved to be the newest.
type Freshness = bfidentity.Freshness

// Quota limits the requests of workspaces over all nodes.
type Quota interface {
	// Take counts a request against the quota of its workspace. If the quota is exhausted, ok is
	// false and retryAfter the time until it is expected to allow the request.
	Take(ctx context.Context, workspace *bftraffic.Workspace) (retryAfter time.Duration, ok bool)
	// Return gives back a request that was counted and has not run.
	Return(workspace *bftraffic.Workspace)
}
