// Package bfguard implements the node's proxy in front of its local target. All
// requests to the target pass it, so its records show exactly what ran there: it
// admits or rejects each request, claims callers' idempotency keys, and forwards a
// request to the target at most once.
package bfguard
