// Package bfrender writes results for people, as aligned tables and sentences,
// and for scripts, as one JSON document a line.
package bfrender
