// Package bfserver creates the HTTP servers of all programs on kratos's HTTP transport, with
// the same limits on the resources that a client can hold.
package bfserver
