// Package bfgrammar parses operators' commands. It holds the grammar, syntax
// errors with their positions, and the help texts, and does not depend on a
// running node. docs/LANGUAGE.md is the language reference.
package bfgrammar
