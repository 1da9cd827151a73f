// Package bfmeasure measures the control plane with real nodes on loopback:
// convergence time, control bytes, table reads, processor time and memory as
// the fleet grows, beside a baseline in which every node polls the table for
// the whole state.
package bfmeasure
