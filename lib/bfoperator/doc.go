// Package bfoperator is the operators' port of a node: commands for the query
// language under a token, and the process's metrics.
package bfoperator
