// Package bfheader names the HTTP headers that callers, nodes and targets
// exchange, and reads and writes those with a form of their own.
package bfheader
