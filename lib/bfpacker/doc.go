// Package bfpacker makes the heads of HTTP messages small on a connection, by what the
// connection carried before; bodies pass as they are.
package bfpacker
