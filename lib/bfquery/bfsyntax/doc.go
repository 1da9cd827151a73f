// Package bfsyntax is the abstract syntax of operators' commands: the commands
// with their fields and conditions, the tables that they ask for, and the
// canonical text of each.
package bfsyntax
