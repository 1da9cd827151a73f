// Package bfproof holds the end-to-end tests that need real processes: kills,
// freezes, platform outages and stops under load. They compare callers' responses
// with the runs in the targets' logs.
package bfproof
