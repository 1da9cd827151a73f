// Package bfcommand implements the command line of the program bftrial.
package bfcommand
