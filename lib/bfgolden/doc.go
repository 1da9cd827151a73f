// Package bfgolden compares test output with golden files, and rewrites these with the flag
// -update.
package bfgolden
