// Package bfspike measures the request policy during a load spike at the start of
// a scheduled event, with real processes on loopback. It sends an open-loop load at
// twenty times the usual rate through the nodes, repeats it with naive callers that
// bypass them, and can inject a fault into one target.
package bfspike
