// Package bflog declares the numbered log events of all programs and writes them through
// log/slog. docs/EVENTS.md is generated from the declarations.
package bflog
