// Package bfmesh wires the components of a node whose configuration the platform
// keeps. Such a node follows the operators' configuration and the table of members in
// the platform's store, and serves callers, other nodes and the target beside it.
package bfmesh
