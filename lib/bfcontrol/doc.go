// Package bfcontrol runs a node's part in the control plane: it feeds messages,
// times and the answers of the platform to the cores of membership, spreading
// and recovery on one goroutine, and carries out what they decide.
//
// Readers on the request path never enter that goroutine: they load the view
// and the directory, which it swaps whole.
package bfcontrol
