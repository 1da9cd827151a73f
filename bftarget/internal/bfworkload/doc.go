// Package bfworkload implements the work of a simulated target: slots, a service time
// that is longer while cold, shedding, cancellation, deadlines, and health and load
// endpoints whose answers can be stale or false.
package bfworkload
