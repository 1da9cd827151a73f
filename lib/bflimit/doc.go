// Package bflimit decides how many requests a target gets that names a limit in its answers. The
// node beside the target passes on every request to it, so the limit holds for the sum over all
// nodes without any exchange between them.
package bflimit
