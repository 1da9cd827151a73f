// Package bfforward sends a request over one hop, node to node or node to target,
// and reports whether any of it was sent.
package bfforward
