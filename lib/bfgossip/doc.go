// Package bfgossip holds what members tell one another: the messages of
// membership with their codec, and the queues of news that ride on them.
//
// Queue tells each change of a row a bounded number of times, the newest first,
// within the byte budget of a datagram; Outages does so for whole domains.
package bfgossip
