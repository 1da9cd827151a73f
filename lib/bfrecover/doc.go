// Package bfrecover prevents an instance without persistent storage from serving
// an older version after a restart than it served before, even while the table is
// unavailable.
//
// Before a node puts a version in force, a majority of its witnesses, a few peers
// in other failure domains, record it in memory (Gate, Notes). After a restart
// the node starts from the table's head, which is never older than any version in
// force, or from the highest version recorded by a majority of its last witnesses
// (Start). The two majorities intersect, so the version is never older.
//
// Three events can break the intersection. A witness that restarts loses its
// notes: it has a new memory number, and counts again only after the node has
// registered with it again. Witnesses change with the membership: an old set
// stays binding until a majority of it has registered a newer one, or until its
// notes have expired. A paused witness may resume with stale notes in its socket
// buffers: it treats a pause as a restart.
//
// Assumptions: the monotonic clocks of two nodes drift apart by less than Margin
// during NoteTTL, and a message to a running node arrives within Margin or never.
package bfrecover
