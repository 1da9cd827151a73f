// Package bftable implements a client of the platform's protocol, HTTP with JSON bodies. It
// maps each kind of failure to what is known about the effect of the call: none, a conflict
// with another writer, or unknown.
package bftable
