// Package bfpace measures whether bytes arrive at a rate: a sender may pause for some time, however much it has
// sent before, and is late once it falls behind.
package bfpace
