// Package bfcommand implements the operators' client: it reads its settings and the
// commands, sends each command to a node, and exits with a code on which scripts can
// rely.
//
// What follows when a node does not answer is decided by execution, which does no I/O;
// client sends the requests.
package bfcommand
