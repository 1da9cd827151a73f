// Package bffollow follows a table of the platform's store: it reads the full table once,
// then waits for changes, and reads the full table again if the store no longer has the changes
// in between.
package bffollow
