// Package bflog declares the numbered log events of the system and writes them
// through log/slog. docs/EVENTS.md is made from the declarations.
package bflog
