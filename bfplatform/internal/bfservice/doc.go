// Package bfservice serves the simulated platform over HTTP: the table service and the
// object store by the protocol of bftable, and the rows by that of bfdialect, with
// rate limits on reads and writes and with injected faults.
package bfservice
