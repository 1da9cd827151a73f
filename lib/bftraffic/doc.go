// Package bftraffic is the configuration of traffic as the platform's operators
// keep it: routes by host and path prefix, each with its services and limits.
//
// A Snapshot is immutable and is swapped whole. A Holder keeps the newest one
// and never goes back.
package bftraffic
