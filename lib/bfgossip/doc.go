// Package bfgossip defines the messages of the membership protocol with their
// codec, and the queues of updates that are piggybacked on them.
//
// Queue sends each change of a row a bounded number of times, the newest first,
// within the byte budget of a datagram; Outages does so for failure domains.
package bfgossip
