package bfmesh

import (
	"bilberryflow.org/lib/bfbackup"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfrumor"
)

// quarantineTable is the store's table with a copy of the fleet's quarantine.
const quarantineTable = "quarantine"

// newQuarantineExchange builds the exchange of quarantine entries, requests that crash
// targets, with other nodes, and their backup in the store.
func (n *node) newQuarantineExchange() {
	n.rumor = bfrumor.New(bfrumor.Config{
		Self: n.common.Peer, Book: n.quarantine, Calls: n.calls, Timer: n.timer, Spawn: n.group.Go,
		Recipients: func(own bool) []string { return n.news.Recipients(own) },
	})
	n.backup = bfbackup.New(bfbackup.Config{
		Table: quarantineTable, Rows: n.store, Book: n.quarantine, Restore: n.rumor.Merge, Era: n.store.Era, FirstStart: n.settings.FirstStart,
		IsMaintainer: func() bool { return n.news.IsFirstSource() }, Timer: n.timer, Logger: n.logger,
	})
}

// targetCrashed counts and logs a crash of the target with the requests that it was
// running.
func (n *node) targetCrashed(crash bfflight.Crash) {
	n.metrics.Counter("target_crashes").Add(1)
	bfflight.LogCrash(n.logger, crash, n.quarantine.View(), n.timer.Now())
}
