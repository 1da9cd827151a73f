package bfbackend

import (
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery"
)

// Quarantine lists the requests under which targets crashed.
func (b *Backend) Quarantine() []bfquarantine.Item { return b.config.Quarantine.List(b.Now()) }

// Workspaces returns nil: only a configuration that the platform manages has workspaces.
func (b *Backend) Workspaces() []bfquery.Workspace { return nil }

// Release permits a quarantined request again; the release is replicated like other records of
// the book.
func (b *Backend) Release(content string) error {
	return bfquery.ReleaseContent(b.config.Quarantine, content, b.Now())
}
