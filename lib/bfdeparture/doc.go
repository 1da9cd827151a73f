// Package bfdeparture records in the platform's store which starts of a node's target have said that they
// leave.
//
// A node acknowledges such a report only once it is recorded, since the acknowledgement binds every later
// process of the node: a target that departed sends nothing further, and a restarted node could not tell
// a heartbeat that is late from one of a running target. Each node writes one row, and reads it at its
// start. If the store doesn't answer it, other nodes read and write the row for it, and tell what they
// were told of earlier departures.
package bfdeparture
