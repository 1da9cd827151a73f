// Package bfgolden compares what a test made with a file that is committed, and
// writes the file anew under the flag -update.
package bfgolden
