// Package bfcommand is the program bftarget: its settings and how its parts are joined.
package bfcommand
