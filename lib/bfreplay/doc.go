// Package bfreplay simulates how one service's requests are placed, queued and refused, in
// virtual time and without connections. It runs the production packages: bffleet selects
// targets, bfslot schedules slots, and bfwalk bounds how long requests search and wait.
// It compares two policies on the same arrivals.
package bfreplay
