// Package bfsettings reads a program's JSON settings, checks them by the
// schema made from their declaration, and renders the example and the
// reference page from that same declaration.
package bfsettings
