package bfpacer

import "sync/atomic"

// Incoming counts the expected bytes of the long answers that a node waits for, which arrive over its
// own link. Its zero value is ready for use; it is safe for concurrent use.
type Incoming struct{ bytes atomic.Int64 }

// Expect counts an answer of a number of bytes until the returned function is called.
func (i *Incoming) Expect(bytes int64) (end func()) {
	i.bytes.Add(bytes)
	return func() { i.bytes.Add(-bytes) }
}

// Bytes returns the expected bytes of the answers under way.
func (i *Incoming) Bytes() int64 { return i.bytes.Load() }
