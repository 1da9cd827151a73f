// Package bfroom learns how many requests a target runs before it resets connections.
//
// Some targets reset a connection when they are full, instead of answering that they are. After a
// reset a request may have run, so the load is kept below that point. Room is pure: it uses neither
// clock nor goroutines.
package bfroom
