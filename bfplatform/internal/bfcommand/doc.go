// Package bfcommand is the program bfplatform: its settings and how its parts are joined.
package bfcommand
