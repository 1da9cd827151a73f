// Package bfdemo demonstrates the system with separate processes: a configuration
// change by an operator reaches every node, and callers' requests reach targets.
package bfdemo
