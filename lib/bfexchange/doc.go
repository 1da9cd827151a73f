// Package bfexchange sends HTTP/1.1 requests over one hop and matches each answer to
// its request.
//
// A target may send a second answer, or stray bytes, after a complete answer; on a
// reused connection they would be taken for the answer to the next request. Answers are
// therefore matched by request ID, no connection carries a request twice, and a connection
// is reused only if no unread bytes are left on it.
package bfexchange
