// Package bfstore defines the platform's table service and object store,
// independent of transport: rows with revisions, conditional multi-row
// transactions, watchable tables and named objects. Memory and MemoryTableStore
// implement them in memory, for tests and the platform stand-in.
package bfstore
