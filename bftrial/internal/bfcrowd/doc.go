// Package bfcrowd tests nodes, as processes, against crowds of clients that misbehave: each connection sends
// a request within the limits of the configuration and stops just short of its end, or doesn't read its
// answer.
//
// The tests check that every process lives, stays within the memory and descriptors of its machine, and
// answers an ordinary request afterwards. They run one at a time, apart from other tests.
package bfcrowd
