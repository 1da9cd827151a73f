// Package bfrumor replicates between nodes the records of requests under which targets crashed.
// A node sends its own new records at once to its first recipients, and these forward records
// that are new to them. Nodes whose digests differ exchange all their records.
//
// The digest is piggybacked on messages that nodes exchange anyway, so that an empty set of
// records causes no traffic.
package bfrumor
