// Package bfrecover keeps an instance that keeps nothing from ever serving an
// older version than one it has served, with the table away too.
//
// Before a node puts a version in force, a majority of its witnesses, a few
// peers in other failure domains, have noted it in memory (Gate, Notes). After
// a restart it starts from the table's head, which is never older than anything
// held, or from the highest version that a majority of its last witnesses noted
// (Start). The two majorities share a witness, so the version is never older.
//
// Three things break a shared witness, and each has its safeguard. A witness
// that restarted has forgotten: it has a new memory number, and counts again
// only once the node has registered with it anew. Witnesses change with the
// membership: an old set binds until a majority of it has been told of the next
// one, or until its notes have lapsed. A frozen witness may wake with old notes
// in its sockets: it treats a pause as a restart.
//
// What is assumed: monotonic clocks of two nodes differ by less than Margin in
// Lapse, and a message to a node that runs arrives within Margin or never.
package bfrecover
