// Package bfcommand is the program bfnode: its settings and how its parts are joined.
package bfcommand
