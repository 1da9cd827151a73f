// Package bfgroup starts the goroutines of all programs. Each one has a name, is waited for at
// shutdown, and cancels its group when it fails or panics.
package bfgroup
