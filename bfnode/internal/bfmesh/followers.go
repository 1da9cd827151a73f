package bfmesh

import (
	"time"

	"bilberryflow.org/lib/bfbatch"
	"bilberryflow.org/lib/bfera"
	"bilberryflow.org/lib/bffollow"
	"bilberryflow.org/lib/bfpresence"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/platform/bfdialect"
)

const (
	// versionBatchDelay and memberBatchDelay delay the next read after a change, so that
	// several changes are read at once. A version must be in force everywhere within two
	// seconds; a new member must get its first request within four, and one that leaves
	// refuses requests itself.
	versionBatchDelay = 450 * time.Millisecond
	memberBatchDelay  = time.Second
	// maxVersionWait and versionAnswerMargin bound how long a node that reads the versions for
	// others counts as reading although the store has stopped answering it. The others read
	// them after that, within the same two seconds.
	maxVersionWait      = 700 * time.Millisecond
	versionAnswerMargin = 500 * time.Millisecond
)

// newStoreFollowers builds what reads and writes the platform's store.
func (n *node) newStoreFollowers(store *bfera.Store) {
	n.presence = bfpresence.New(bfpresence.Config{
		Table: membersTable, Key: n.common.Inbound, Rows: store, WriteBatched: n.writeBatched,
		Timer: n.timer, Logger: n.logger, Metrics: n.metrics,
	})
	n.batcher = bfbatch.New(bfbatch.Config{Table: membersTable, Rows: store, Timer: n.timer, Logger: n.logger, Spawn: n.group.Go})
	n.state = &state{
		logger: n.logger, traffic: n.traffic, fleet: n.fleet, presence: n.presence, self: n.common.Inbound,
		follows: n.follows, current: n.current, changed: n.stateChanged, restoreTarget: n.restoreTarget, observeEra: store.Observe,
		storeRestored: n.storeRestored, observeOrder: func(order bfrollout.Order, isNew bool) { n.conductor.Observe(order, isNew) }, ordersKnown: n.rollouts.SetSynced,
		readVersions: func() bfstore.Revision { return n.config.Revision() },
	}
	if n.settings.FirstStart {
		// The table is empty on the first start: the row can be written without a read.
		n.presence.Observe(bfstore.Entry{Key: n.common.Inbound, Removed: true})
	}
	n.config = bffollow.New(bffollow.Config{
		Table: bfdialect.ConfigurationTable, Rows: store, Apply: n.state.applyConfiguration, BatchDelay: versionBatchDelay,
		MaxWait: maxVersionWait, AnswerMargin: versionAnswerMargin, Changed: func() { n.news.Changed() },
		ShouldFollow: func() bool { return n.news.ReadsVersions() }, KnownRevision: n.state.VersionAsOf,
		Proved: n.freshness.proved(func() peerVersions { return n.news }, func() { n.news.Proved() }), NeedsProof: func() bool { return n.news.NeedsProof() }, Clock: n.freshness.clock, Timer: n.timer, Logger: n.logger, Metrics: n.metrics,
	})
	n.members = bffollow.New(bffollow.Config{
		Table: membersTable, Rows: store, Apply: n.state.applyMembers, BatchDelay: memberBatchDelay,
		ShouldFollow: func() bool { return n.news.ReadsStore() }, KnownRevision: n.state.Revision, Timer: n.timer, Logger: n.logger, Metrics: n.metrics,
	})
}

// stateChanged propagates a change to other nodes. A restarted node has callers
// waiting for its first version, so it reads one as soon as it knows the members.
func (n *node) stateChanged() {
	n.news.Changed()
	if n.traffic.Current() == nil {
		n.config.Wake()
	}
}

// current reports whether the node's state is up to date with the store, by its own
// calls or through another node that follows the store.
func (n *node) current() bool { return n.news.ReceivesFresh() || n.follows() }

// follows reports whether the node's own calls follow the store now.
func (n *node) follows() bool { return n.config.Follows() && n.members.Follows() }
