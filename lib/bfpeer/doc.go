// Package bfpeer carries messages between nodes: small ones as UDP datagrams, large ones
// and calls as JSON-RPC 2.0 over TCP. It counts the bytes of each message by purpose.
package bfpeer
