// Package bfgrammar is the operators' language: its commands as typed values,
// the parser from text, and the canonical text of each command. It knows
// nothing of a node; docs/LANGUAGE.md is its page.
package bfgrammar
