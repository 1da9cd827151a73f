// Package bfguard is the target's node as seen by requests: all traffic to the
// target passes it, so it knows exactly what runs there. It keeps the record of
// each request, admits it or refuses it at once, claims callers' keys, and hands
// the request to the target at most once.
package bfguard
