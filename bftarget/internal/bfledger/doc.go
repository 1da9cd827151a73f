// Package bfledger records which requests a simulated target ran, so that at-most-once
// execution can be checked from outside the system.
package bfledger
