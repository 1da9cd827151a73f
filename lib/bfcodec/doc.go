// Package bfcodec encodes messages and rows as CBOR. It sets the decoding limits,
// defines the error type, and adds the kind byte that precedes a datagram's body.
package bfcodec
