// Package bfidentity decides which workspace a caller's request belongs to, by its API key and the
// version in force, and whether it is refused for its key. It has no state.
package bfidentity
