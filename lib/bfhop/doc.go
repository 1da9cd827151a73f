// Package bfhop defines the HTTP headers of a request and its reply between the
// entry node and the target's node.
package bfhop
