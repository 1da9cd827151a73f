// Package bfrace runs an operation, and a second copy of it if the first one takes too long. The first
// success is the result; the other copy is cancelled, and its result discarded.
package bfrace
