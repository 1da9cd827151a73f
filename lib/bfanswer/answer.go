package bfanswer

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bflimit"
	"bilberryflow.org/lib/bfpacer"
	"bilberryflow.org/lib/bftransfer"
)

// Answer is a target's answer. Its user must call Close.
type Answer struct {
	Status int
	Header http.Header
	// Head is the beginning of the body, or all of it.
	Head []byte
	// Rest is the remainder of the body, nil if Head is complete.
	Rest io.Reader
	// Length is the length of the body in bytes, bfexchange.Chunked if unknown.
	Length int64
	// Spent is the time spent at the target's node.
	Spent Spent
	// Reservation is the room reserved for the answer on the node's link, nil for none.
	Reservation *bfpacer.Reservation
	// Leaving is the start of the target that says in this answer that it leaves, zero for none.
	Leaving bflimit.Start
	// Transfer tracks whether the client reads the answer, nil for no tracking.
	Transfer *bftransfer.Transfer
	// Done is called once, by Close.
	Done func()
}

// Spent is a breakdown of the time that a request spent at its target's node.
type Spent struct {
	// Wait is the time spent waiting for a slot.
	Wait time.Duration
	// Run is the time from the send to the end of the buffered part of the answer.
	Run time.Duration
	// Warm is set if the target had warmed up.
	Warm bool
}

// IsLong reports whether the answer is passed on before it is known to be whole, also at its target's node.
func (a *Answer) IsLong() bool {
	return a.Rest != nil && (a.Length < 0 || a.Length > TargetBufferBytes)
}

// Close releases the answer's connection and slot. It may be called more than once.
func (a *Answer) Close() {
	if a.Done != nil {
		a.Done()
		a.Done = nil
	}
}

const (
	// TargetBufferBytes is how much of an answer the target's node reads before it relays
	// any of it. An answer that breaks off within it can still be reported as lost or
	// retried. It exceeds the mean download of 90 kB.
	TargetBufferBytes = 256 << 10
	// EntryBufferBytes is the same at the entry. It is smaller, since nodes fail less often
	// than targets and buffering adds latency: 100 ms per 64 kB on a link of 5 Mbit/s.
	EntryBufferBytes = 16 << 10
)

// Read reads the first limit bytes of an answer, or all of it. It reads less if the buffers of other
// answers take too much memory. done is called at the end of the answer; if Read returns an error, done
// is not called.
func Read(from *bfexchange.Answer, limit int, done func()) (*Answer, error) {
	answer := &Answer{Status: from.Status(), Header: from.Header(), Length: from.Length()}
	size := int64(limit)
	if from.Length() >= 0 {
		size = min(size, from.Length())
	}
	taken := max(size-freeBufferBytes, 0)
	if !buffers.take(taken) {
		taken, limit = 0, min(limit, freeBufferBytes)
	}
	head, complete, err := readHead(from, limit)
	if err != nil {
		buffers.put(taken)
		from.Close()
		return nil, err
	}
	answer.Head = head
	if complete {
		unused := taken - min(taken, max(int64(cap(head))-freeBufferBytes, 0))
		buffers.put(unused)
		taken -= unused
		answer.Length = int64(len(head))
		from.Close()
		done()
		answer.Done = func() { buffers.put(taken) }
		return answer, nil
	}
	answer.Rest = from
	answer.Done = func() {
		from.Close()
		done()
		buffers.put(taken)
	}
	return answer, nil
}

// readHead reads up to limit bytes; complete is set if the body has ended.
func readHead(from *bfexchange.Answer, limit int) (head []byte, complete bool, err error) {
	size := int64(512)
	if from.Length() >= 0 {
		// One byte more than the body, so that EOF is reached without growing the buffer.
		size = min(from.Length(), int64(limit)) + 1
	}
	head = make([]byte, 0, size)
	for len(head) < limit {
		if len(head) == cap(head) {
			head = append(head, 0)[:len(head)]
		}
		n, err := from.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			return head, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return head, false, nil
}
