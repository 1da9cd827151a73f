// Package bfprogram is what the mains of the daemons share: their command line,
// their settings file, the logger, graceful stop on a signal, and exit codes.
package bfprogram
