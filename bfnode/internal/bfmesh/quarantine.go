package bfmesh

import (
	"bilberryflow.org/lib/bfbackup"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfrumor"
)

// quarantineTable is where a copy of what the fleet holds in quarantine is kept.
const quarantineTable = "quarantine"

// shareQuarantine has the node know what others know of requests under which targets end.
func (n *node) shareQuarantine() {
	n.rumor = bfrumor.New(bfrumor.Config{
		Self: n.common.Peer, Book: n.book, Calls: n.calls, Timer: n.timer, Spawn: n.group.Go,
		Recipients: func(own bool) []string { return n.news.Recipients(own) },
	})
	n.backup = bfbackup.New(bfbackup.Config{
		Table: quarantineTable, Rows: n.store, Book: n.book, Restore: n.rumor.Merge, FirstStart: n.settings.FirstStart,
		IsMaintainer: func() bool { return n.news.IsFirstSource() }, Timer: n.timer, Logger: n.logger,
	})
}

// targetCrashed tells of a target that ended, and of what it ran.
func (n *node) targetCrashed(crash bfflight.Crash) {
	n.metrics.Counter("target_crashes").Add(1)
	bfflight.LogCrash(n.logger, crash, n.book.View(), n.timer.Now())
}
