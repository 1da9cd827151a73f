// Package bfemulator plays a load on a whole fleet in simulated time: several services
// whose requests call each other, targets of different speed that shed, slow down or
// crash, callers that come back, and one node beside each target. The nodes decide by the
// very parts that run in production: bffleet chooses targets, bfslot hands out slots,
// bfwalk says how long requests look and wait, bfbudget who is sent once more. Networks
// and targets are simulated; no connection is opened and no clock is read, so that a load
// with the same seed comes out the same each time.
package bfemulator
