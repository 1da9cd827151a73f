// Package bfbackend runs operators' commands on a node: it connects the query language with the
// commit protocol, the membership and the platform.
package bfbackend
