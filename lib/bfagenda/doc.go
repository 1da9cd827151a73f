// Package bfagenda keeps what is to happen in a simulation, and has it happen in the
// order of its times.
package bfagenda
