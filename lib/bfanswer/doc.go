// Package bfanswer reads the answers of targets and of other nodes, and relays them. The beginning of an
// answer is buffered, so that one that breaks off early is still reported as lost.
package bfanswer
