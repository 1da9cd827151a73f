// Package bfcommand implements the program bftarget: its settings and the wiring of
// its components.
package bfcommand
