package bfanswer

import "sync/atomic"

const (
	// freeBufferBytes is how much of an answer is buffered in any case.
	freeBufferBytes = 32 << 10
	// defaultBufferBytes bounds the buffers above that of all answers together. Without a bound, 500
	// answers without end would take 128 MB, which some machines don't have.
	defaultBufferBytes = 16 << 20
)

// LimitBuffers sets the bound of the large buffers of the process in bytes.
func LimitBuffers(bytes int64) { buffers.limit.Store(bytes) }

func init() { LimitBuffers(defaultBufferBytes) }

// buffers counts the bytes of large buffers of the process.
var buffers budget

// budget is a bounded number of bytes.
type budget struct{ used, limit atomic.Int64 }

// take takes bytes; ok is false if too few are left.
func (b *budget) take(bytes int64) (ok bool) {
	if b.used.Add(bytes) > b.limit.Load() {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// put returns bytes.
func (b *budget) put(bytes int64) { b.used.Add(-bytes) }
