// Package bfcommand is the operators' client: it reads its settings and the
// commands, sends each command to a node, and exits with a code that scripts
// can trust.
//
// What to do when a node does not answer is decided by pursuit, which knows no
// network; client carries it out.
package bfcommand
