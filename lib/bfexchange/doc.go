// Package bfexchange sends one HTTP/1.1 request over one hop and reads the
// answer that belongs to it.
//
// A target may send a second answer, or bytes that are no answer, after a
// complete one; on a kept connection the next request would take them for its
// own. Answers are therefore matched by the request's ID, and a connection is
// kept only if nothing is left on it.
package bfexchange
