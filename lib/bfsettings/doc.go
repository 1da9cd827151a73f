// Package bfsettings reads a program's JSON settings and validates them against the schema
// generated from their struct. It renders the example and the reference page from that struct.
package bfsettings
