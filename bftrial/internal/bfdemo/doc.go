// Package bfdemo shows the whole path with separate processes: a change goes
// from an operator to every node, and a request from a caller to a target.
package bfdemo
