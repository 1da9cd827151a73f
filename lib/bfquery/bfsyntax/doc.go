// Package bfsyntax is the abstract syntax of operators' commands: the commands
// with their fields and conditions, the tables that they query, and the
// canonical text of each command.
package bfsyntax
