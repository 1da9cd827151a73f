// Package bfstall detects and logs that the process did not run for a while. The processor time
// used meanwhile distinguishes a suspended process from one that is short of processor time.
package bfstall
