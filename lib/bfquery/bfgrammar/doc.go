// Package bfgrammar reads operators' commands: the grammar, the errors that
// tell where a text goes wrong, and the help. It knows nothing of a node;
// docs/LANGUAGE.md is its page.
package bfgrammar
