// Package bftraffic defines the traffic configuration that the platform's operators
// maintain: routes by host and path prefix, with their services and limits.
//
// A Snapshot is an immutable version of it. A Holder keeps a node's newest
// snapshot and rejects older ones.
package bftraffic
