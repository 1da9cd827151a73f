// Package bfserver makes the HTTP servers of every program from kratos's HTTP
// transport, all with the same limits on what a peer may make them hold.
package bfserver
