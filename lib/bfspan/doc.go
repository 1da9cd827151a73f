// Package bfspan partitions the fleet's Order among the relays of a broadcast tree.
//
// A Span is an interval of keys, and Splitter cuts it into one part per relay, so that
// each region and failure domain is entered by one message. A Range is the encoding of a
// Span relative to its receiver.
package bfspan
