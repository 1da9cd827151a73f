// Package bfpipeline is an HTTP/1.1 server that runs pipelined requests concurrently.
//
// The server of net/http reads a connection's next request only after it has answered the
// previous one. Here idempotent requests of one connection run concurrently, and their
// answers are written in the order of the requests. Requests are parsed by net/http; this
// package decides which of them run together and when a connection is closed.
package bfpipeline
