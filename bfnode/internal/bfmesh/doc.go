// Package bfmesh joins the parts of a node whose configuration the platform
// keeps: it follows the operators' configuration and the members in the
// platform's store, and serves callers, other nodes and the target beside it.
package bfmesh
