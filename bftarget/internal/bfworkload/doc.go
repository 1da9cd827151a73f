// Package bfworkload is the work of a stand-in target: slots, a service time
// that is longer while cold, shedding, cancellation, deadlines, and health and
// load endpoints that lag or lie.
package bfworkload
