package bfinspect

import (
	"context"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery"
)

// Stage returns a ManagedByPlatformError.
func (b *Backend) Stage(context.Context, bfquery.StageRequest) (bfquery.StagedChange, error) {
	return bfquery.StagedChange{}, &ManagedByPlatformError{}
}

// StagedList returns a ManagedByPlatformError.
func (b *Backend) StagedList(context.Context) ([]bfquery.StagedChange, error) {
	return nil, &ManagedByPlatformError{}
}

// Discard returns a ManagedByPlatformError.
func (b *Backend) Discard(context.Context, string) error { return &ManagedByPlatformError{} }

// Confirm returns a ManagedByPlatformError.
func (b *Backend) Confirm(context.Context, string, string, string) (bfquery.ConfirmOutcome, error) {
	return nil, &ManagedByPlatformError{}
}

// History returns a ManagedByPlatformError.
func (b *Backend) History(context.Context, bfconfig.Ref, int) (bfquery.History, error) {
	return bfquery.History{}, &ManagedByPlatformError{}
}

// VersionOps returns a ManagedByPlatformError.
func (b *Backend) VersionOps(context.Context, bfconfig.Version) ([]bfconfig.Op, error) {
	return nil, &ManagedByPlatformError{}
}

// Versions returns a ManagedByPlatformError.
func (b *Backend) Versions(context.Context, int) ([]bfquery.VersionInfo, error) {
	return nil, &ManagedByPlatformError{}
}

// Drain returns a ManagedByPlatformError: in this mode only the target itself can start to drain.
func (b *Backend) Drain(context.Context, string) error { return &ManagedByPlatformError{} }

// Quarantine lists the requests during which targets crashed.
func (b *Backend) Quarantine() []bfquarantine.Item { return b.config.Quarantine.List(b.Now()) }

// Workspaces lists the workspaces of the version in force, without their API keys.
func (b *Backend) Workspaces() (list []bfquery.Workspace) {
	traffic := b.config.Traffic.Current()
	if traffic == nil {
		return nil
	}
	for _, w := range traffic.Workspaces() {
		rank, hasRank := w.Rank()
		list = append(list, bfquery.Workspace{Name: w.Name(), Rank: rank, HasRank: hasRank, Rate: w.Rate(), Burst: w.Burst(), Keys: w.KeyCount()})
	}
	return list
}

// Release returns a ManagedByPlatformError: the endpoint is unauthenticated, and a
// released request may crash targets.
func (b *Backend) Release(string) error { return &ManagedByPlatformError{} }
