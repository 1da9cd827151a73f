// Package bfboot reads a clock that counts the time during which the machine was suspended. Go's
// monotonic clock doesn't, so that what expires by it lasts longer than it should.
package bfboot
