// Package bfprobe finds out which nodes of the fleet answer. A node that refuses connections, or that
// answers neither a request nor a probe, gets no requests until it answers a probe. A node to which no
// connection can be opened for some time is reported as lost. Where many nodes are silent or unreachable,
// this one is presumably partitioned or short of processor time, so that few are excluded for their
// silence and none is reported as lost.
package bfprobe
