// Package bfstore says what the platform's table service and object store do,
// in types that know no transport: rows with revisions, conditional
// transactions of several rows, and named objects. Memory is the whole of it
// in memory, for the stand-in and for tests.
package bfstore
