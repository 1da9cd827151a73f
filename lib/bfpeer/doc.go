// Package bfpeer carries messages between nodes: small ones as UDP datagrams,
// large ones and questions as jsonrpc2 calls over TCP. It counts every byte at
// the socket by the purpose it was sent for.
package bfpeer
