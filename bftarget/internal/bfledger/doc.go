// Package bfledger remembers which requests a stand-in target ran, so that
// at-most-once can be checked from outside the system.
package bfledger
