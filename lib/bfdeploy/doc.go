// Package bfdeploy carries out on a node what bfrollout decides: it exchanges records and counts
// with other nodes and writes the status of roll-outs to the platform's store.
//
// No node leads. A record that changes is sent at once to the nodes that receive other updates
// first and to those beside targets of the new version; the rest detect it by a digest, which
// is piggybacked on messages that nodes exchange anyway. Each write of a status is due on every
// node: the first of an order that all nodes derive alike makes it, and each later one after a
// while, conditional on the row that it has read.
package bfdeploy
