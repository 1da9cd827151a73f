// Package bfwalk decides how long a request looks for a target with a free slot, how
// long it waits at one, and when a refused caller is told to come back. It knows no
// clock, no connection and no request: those who ask bring what they observed.
package bfwalk
