// Package bfroute finds the route of a request: the longest prefix on whole
// path segments, then the method.
//
// A View is built once for each version and read from an atomic pointer. Match
// takes only paths that CleanPath returned, and the same path must be sent to
// the target: if the target read the path in another way than Match did, a
// caller could have a request run under another route's policy.
package bfroute
