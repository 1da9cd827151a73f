// Package bfnews replicates the contents of the platform's store between nodes by polling and
// pushing, so that a node whose calls the store rejects stays up to date.
//
// Each node polls a random member periodically, and more often while the store does not answer
// it. A node that receives the version or revision of a peer with newer data fetches that data.
package bfnews
