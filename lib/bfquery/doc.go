// Package bfquery executes operators' commands on a node.
//
// It connects the command language (bfgrammar) with the node (Backend) and is
// independent of the transport: Serve takes the text of a request and emits
// messages. Effects on the configuration are computed here by pure functions
// over immutable states; storage and consensus belong to the backend.
package bfquery
