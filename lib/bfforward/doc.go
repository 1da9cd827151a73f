// Package bfforward sends one request over one hop, node to node or node to
// target, and says how far it certainly got.
package bfforward
