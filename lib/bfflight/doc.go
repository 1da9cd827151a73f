// Package bfflight knows what the target beside a node works on. It finds out whether the
// target has ended while it did, tells which requests that speaks against, and keeps those
// from the target that the fleet holds (bfquarantine).
package bfflight
