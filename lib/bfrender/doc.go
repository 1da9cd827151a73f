// Package bfrender formats command results as text, with aligned tables, and as
// JSON, one document per line.
package bfrender
