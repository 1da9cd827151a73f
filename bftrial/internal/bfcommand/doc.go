// Package bfcommand is the program bftrial: its command line.
package bfcommand
