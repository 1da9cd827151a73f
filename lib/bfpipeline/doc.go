// Package bfpipeline serves HTTP/1.1 connections on which callers send further
// requests before the first is answered.
//
// The server of net/http reads a connection's next request once the one before it is
// answered, so that a request waits for the whole run of each one ahead of it. Here
// requests that may be repeated run side by side, and their answers leave in the order
// in which the requests came. Requests are parsed by net/http; what this package
// decides is which of them run together and when a connection ends.
package bfpipeline
