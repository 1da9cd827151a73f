// Package bfpacker compresses the heads of HTTP messages on a connection, with the
// preceding head as the dictionary; bodies are sent unchanged.
package bfpacker
