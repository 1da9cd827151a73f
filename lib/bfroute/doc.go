// Package bfroute matches requests to routes by the longest prefix of whole
// path segments, then by method.
//
// A View is immutable, built once per configuration version and safe for
// concurrent reads. Match accepts only paths returned by CleanPath, and the same
// path must be forwarded to the target: if the target parsed the path
// differently from Match, a request could run under another route's policy.
package bfroute
