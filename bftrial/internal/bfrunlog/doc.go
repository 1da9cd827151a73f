// Package bfrunlog records what simulated targets ran, so that a soak can compare it with what
// callers received.
package bfrunlog
