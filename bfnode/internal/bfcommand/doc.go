// Package bfcommand implements the program bfnode: its settings and the wiring of its
// components.
package bfcommand
