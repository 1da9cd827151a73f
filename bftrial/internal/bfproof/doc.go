// Package bfproof holds the proofs that need real processes: kills, freezes,
// outages of the platform and stops under load, checked from outside by what
// the targets logged of each run.
package bfproof
