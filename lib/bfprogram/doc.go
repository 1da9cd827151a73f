// Package bfprogram implements what the main packages of the daemons share: command line,
// settings file, logger, graceful shutdown on a signal, reload on SIGHUP, and exit codes.
package bfprogram
