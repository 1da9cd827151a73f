// Package bfcommand implements the program bfplatform: its settings and the wiring of
// its components.
package bfcommand
