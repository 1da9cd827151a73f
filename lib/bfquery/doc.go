// Package bfquery carries out operators' commands on a node.
//
// It sits between the language (bfgrammar) and the node (Backend) and knows no
// transport: Serve takes the text of a request and answers with messages. What
// a command means for the configuration is decided here by pure functions over
// immutable states; what is kept or agreed is the backend's.
package bfquery
