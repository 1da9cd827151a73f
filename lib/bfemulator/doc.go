// Package bfemulator simulates a load on a whole fleet in virtual time: several services
// that call each other, targets of different speed that shed, slow down or crash, clients
// that retry, and one node beside each target.
//
// The nodes run the production packages: bffleet selects targets, bfslot schedules slots,
// bfwalk bounds how long a request searches and waits, bfbudget limits repeats, bfquarantine
// holds back requests that crash targets. Networks and targets are simulated. No connection
// is opened and no clock is read, so the same load and seed give the same result.
package bfemulator
