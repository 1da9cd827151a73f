package bfpacker

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	kflate "github.com/klauspost/compress/flate"
)

// Kinds of a frame, its first byte; its length follows as a varint, then its bytes.
const (
	// kindPlain frames carry bytes as they are.
	kindPlain byte = 0
	// kindHead frames carry a message's head, deflated with the head before as the
	// dictionary.
	kindHead byte = 1
)

func isKind(b byte) bool { return b == kindPlain || b == kindHead }

// maxHead bounds a head that is packed, and so what is kept of the one before: heads
// between nodes are of about 300 bytes.
const maxHead = 4 << 10

// FrameError reports bytes that no peer writes.
type FrameError struct {
	Kind   byte
	Length uint64
	Reason error
}

// Error names the frame's kind and length.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of kind %d, %d bytes: %v", e.Kind, e.Length, e.Reason)
}

// Unwrap is the reason.
func (e *FrameError) Unwrap() error { return e.Reason }

// firstHead stands for the head before a connection's first one.
const firstHead = "GET / HTTP/1.1\r\nHost: \r\nAccept: */*\r\nAccept-Encoding: identity\r\nUser-Agent: \r\nContent-Type: " +
	"application/octet-stream\r\nContent-Length: \r\n\r\nHTTP/1.1 200 OK\r\nHTTP/1.1 503 Service Unavailable\r\nDate: \r\n"

// packer writes frames.
type packer struct {
	// last is the head before, empty before the first.
	last []byte
}

func dictionary(last []byte) []byte {
	if len(last) == 0 {
		return []byte(firstHead)
	}
	return last
}

var headEnd = []byte("\r\n\r\n")

// write writes p as frames in one go: a message's head, if p begins with one, and the rest.
func (w *packer) write(to net.Conn, p []byte) (int, error) {
	var frames net.Buffers
	rest := p
	if at := bytes.Index(p[:min(len(p), maxHead)], headEnd); at >= 0 {
		head := p[:at+len(headEnd)]
		frames = append(frames, w.pack(head))
		rest = p[len(head):]
	}
	if len(rest) > 0 {
		frames = append(frames, frameHeader(kindPlain, len(rest)), rest)
	}
	sent, err := frames.WriteTo(to)
	if err != nil {
		// How much of p arrives is not known any more. A request of which a byte left may
		// run: told that none did, the caller would be told that it has not.
		return int(min(sent, int64(len(p)))), err
	}
	return len(p), nil
}

// pack makes the frame of a head.
func (w *packer) pack(head []byte) []byte {
	var deflated bytes.Buffer
	// A bytes.Buffer takes every write.
	_ = kflate.StatelessDeflate(&deflated, head, true, dictionary(w.last))
	w.last = append(w.last[:0], head...)
	return append(frameHeader(kindHead, deflated.Len()), deflated.Bytes()...)
}

func frameHeader(kind byte, length int) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(length))
}

// unpacker reads frames.
type unpacker struct {
	from *bufio.Reader
	// plain is how many bytes of a plain frame are still to come.
	plain uint64
	// head is what is left to be read of an unpacked head, last the whole of it.
	head, last []byte
}

// frameBuffer is the size of what is read ahead: a frame of a head. Bodies are read past it.
const frameBuffer = 512

func newUnpacker(from io.Reader) *unpacker {
	return &unpacker{from: bufio.NewReaderSize(from, frameBuffer)}
}

// buffered is how many bytes came that were not read yet.
func (r *unpacker) buffered() int { return len(r.head) + r.from.Buffered() }

func (r *unpacker) read(p []byte) (int, error) {
	for len(r.head) == 0 && r.plain == 0 {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	if len(r.head) > 0 {
		n := copy(p, r.head)
		r.head = r.head[n:]
		return n, nil
	}
	n, err := r.from.Read(p[:min(uint64(len(p)), r.plain)])
	r.plain -= uint64(n)
	if r.plain > 0 {
		err = cut(err)
	}
	return n, err
}

// next reads the beginning of a frame, and all of a head. A connection that ends between
// two frames gives io.EOF.
func (r *unpacker) next() error {
	kind, err := r.from.ReadByte()
	if err != nil {
		return err
	}
	length, err := binary.ReadUvarint(r.from)
	if err != nil {
		return cut(err)
	}
	switch {
	case kind == kindPlain:
		r.plain = length
		return nil
	case kind == kindHead && length <= maxHead:
		return r.unpack(length)
	}
	return &FrameError{Kind: kind, Length: length, Reason: errUnknownFrame}
}

var errUnknownFrame = errors.New("no peer writes such a frame")

// cut is the error of a connection that ends within a frame: it must not look like one
// that ended between two messages.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

func (r *unpacker) unpack(length uint64) error {
	deflated := make([]byte, length)
	if _, err := io.ReadFull(r.from, deflated); err != nil {
		return cut(err)
	}
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(deflated), dictionary(r.last)); err != nil {
		return &FrameError{Kind: kindHead, Length: length, Reason: err}
	}
	head, err := io.ReadAll(io.LimitReader(inflater, maxHead+1))
	if err == nil && len(head) > maxHead {
		err = errUnknownFrame
	}
	if err != nil {
		return &FrameError{Kind: kindHead, Length: length, Reason: err}
	}
	r.head, r.last = head, head
	return nil
}
