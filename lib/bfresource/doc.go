// Package bfresource bounds what a process holds for its clients: connections and their descriptors,
// parsed heads, the kept parts of bodies, and buffers.
//
// All of it is charged to one Budget, which is a share of the machine. When the budget is used up, requests
// that arrive too slowly are evicted first, then others that are still arriving, then idle connections are
// closed, and then new requests are refused. Complete requests keep what they have.
package bfresource
