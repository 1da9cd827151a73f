package bfnews

// Reconciler keeps further state equal on all nodes. Its digest is piggybacked on the messages
// that nodes exchange anyway.
type Reconciler interface {
	// Digest identifies this node's state, 0 if it is empty.
	Digest() uint64
	// ObserveDigest receives the digest of a peer.
	ObserveDigest(peer string, digest uint64)
}

// Orders is a Reconciler whose contents a node needs before it serves.
type Orders interface {
	Reconciler
	// Encode returns the contents for another node, which merges them.
	Encode() ([]byte, error)
	Merge(data []byte) error
}

// noReconciler is the Reconciler of a node that has none.
type noReconciler struct{}

// Digest returns the digest of the empty state.
func (noReconciler) Digest() uint64 { return 0 }

// ObserveDigest ignores the digest.
func (noReconciler) ObserveDigest(string, uint64) {}

// Encode returns nothing.
func (noReconciler) Encode() ([]byte, error) { return nil, nil }

// Merge ignores the contents.
func (noReconciler) Merge([]byte) error { return nil }
