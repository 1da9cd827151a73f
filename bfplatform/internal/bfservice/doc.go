// Package bfservice is the stand-in platform's HTTP side: the table service
// and the object store by the protocol of bftable, with ceilings on reads and
// writes, and the switch for faults.
package bfservice
