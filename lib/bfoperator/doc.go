// Package bfoperator is the HTTP handler of a node's operator endpoint, which
// executes commands, with token authentication, and exposes the process's metrics.
package bfoperator
