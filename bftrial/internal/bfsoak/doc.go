// Package bfsoak runs real nodes and the stand-in platform as processes on
// loopback, injects external faults in a seeded random order, and checks the
// responses that callers receive and the runs that targets record for violations
// of the request guarantees.
package bfsoak
