// Package bffollow follows a table of the platform's store: it reads it whole
// once, then waits for changes, and reads it whole again when the store has
// dropped the changes in between.
package bffollow
