// Package bfheader defines the HTTP headers that callers, nodes and targets
// exchange, and reads and writes those with a structured value.
package bfheader
