// Package bfcodec is the one way in which messages and rows become CBOR: its
// limits on what is read, its error, and the form byte before a datagram's body.
package bfcodec
