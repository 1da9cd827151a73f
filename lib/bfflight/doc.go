// Package bfflight tracks the requests in flight at the target of a node. It detects
// crashes of the target, records which requests ran at each crash, and blocks the requests
// that are quarantined in the fleet (bfquarantine).
package bfflight
