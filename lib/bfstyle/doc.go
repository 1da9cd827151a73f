// Package bfstyle checks the style rules of the project that no linter covers. Its tests check
// every source file of the workspace.
package bfstyle
