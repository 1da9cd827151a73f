package bfinspect

import (
	"context"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery"
)

// Stage is refused: the platform keeps the configuration.
func (b *Backend) Stage(context.Context, bfquery.StageRequest) (bfquery.StagedChange, error) {
	return bfquery.StagedChange{}, &KeptElsewhereError{}
}

// StagedList is refused: the platform keeps the configuration.
func (b *Backend) StagedList(context.Context) ([]bfquery.StagedChange, error) {
	return nil, &KeptElsewhereError{}
}

// Discard is refused: the platform keeps the configuration.
func (b *Backend) Discard(context.Context, string) error { return &KeptElsewhereError{} }

// Confirm is refused: the platform keeps the configuration.
func (b *Backend) Confirm(context.Context, string, string, string) (bfquery.ConfirmOutcome, error) {
	return nil, &KeptElsewhereError{}
}

// History is refused: the platform keeps the configuration.
func (b *Backend) History(context.Context, bfconfig.Ref, int) (bfquery.History, error) {
	return bfquery.History{}, &KeptElsewhereError{}
}

// VersionOps is refused: the platform keeps the configuration.
func (b *Backend) VersionOps(context.Context, bfconfig.Version) ([]bfconfig.Op, error) {
	return nil, &KeptElsewhereError{}
}

// Versions is refused: the platform keeps the configuration.
func (b *Backend) Versions(context.Context, int) ([]bfquery.VersionInfo, error) {
	return nil, &KeptElsewhereError{}
}

// Drain is refused: a target says itself that it leaves.
func (b *Backend) Drain(context.Context, string) error { return &KeptElsewhereError{} }

// Quarantine lists the requests under which targets ended.
func (b *Backend) Quarantine() []bfquarantine.Item { return b.parts.Quarantine.List(b.Now()) }

// Release is refused: the port asks for no token, and what is held may end targets.
func (b *Backend) Release(string) error { return &KeptElsewhereError{} }
