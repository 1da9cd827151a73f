package bfbackend

import (
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery"
)

// Quarantine lists the requests under which targets ended.
func (b *Backend) Quarantine() []bfquarantine.Item { return b.parts.Quarantine.List(b.Now()) }

// Release has a request run again; the other nodes are told as of everything in the book.
func (b *Backend) Release(content string) error {
	return bfquery.ReleaseIn(b.parts.Quarantine, content, b.Now())
}
