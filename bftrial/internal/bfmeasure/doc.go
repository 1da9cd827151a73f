// Package bfmeasure measures the control plane with real nodes on loopback:
// convergence time, control bytes, table reads, processor time and memory as
// the fleet grows. It compares them with a baseline in which every node polls
// the table for the complete state.
package bfmeasure
