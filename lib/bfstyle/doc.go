// Package bfstyle holds the house style's rules that no linter knows. Its tests
// read every source file of the workspace.
package bfstyle
