// Package bfcredential reads the API key of a request from its Authorization header. The cost is
// bounded whatever the header contains, and neither a result nor an error contains the key.
package bfcredential
