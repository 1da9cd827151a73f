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

// Frame kinds. A frame is its kind byte, its length as a varint, and its bytes.
const (
	// kindPlain frames carry unchanged bytes.
	kindPlain byte = 0
	// kindHead frames carry a message's head, deflated with the preceding head as the
	// dictionary.
	kindHead byte = 1
)

func isKind(b byte) bool { return b == kindPlain || b == kindHead }

const (
	// maxHead is the size in bytes of the largest head that is compressed and kept as a dictionary.
	maxHead = 4 << 10
	// maxHeadFrame is the size in bytes of the largest head frame that is written.
	maxHeadFrame = maxHead
	// maxExpansion is how many bytes longer than maxHeadFrame a head frame may be that is read: nodes of an
	// earlier release also deflate what does not compress.
	maxExpansion = 64
)

// FrameError reports an invalid frame.
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

// initialDictionary is the dictionary of a connection's first head.
const initialDictionary = "GET / HTTP/1.1\r\nHost: \r\nAccept: */*\r\nAccept-Encoding: identity\r\nUser-Agent: \r\nContent-Type: " +
	"application/octet-stream\r\nContent-Length: \r\n\r\nHTTP/1.1 200 OK\r\nHTTP/1.1 503 Service Unavailable\r\nDate: \r\n"

// packer encodes frames.
type packer struct {
	// last is the preceding head, empty before the first.
	last []byte
}

func dictionary(last []byte) []byte {
	if len(last) == 0 {
		return []byte(initialDictionary)
	}
	return last
}

var headEnd = []byte("\r\n\r\n")

// write writes p as frames in one call: a head frame for what may be a message's head at its start, and a
// plain one for the rest. Any bytes may be in either: a part of a body that looks like a head is only
// compressed, or not if that doesn't make it shorter.
func (w *packer) write(to net.Conn, p []byte) (int, error) {
	var frames net.Buffers
	rest := p
	if at := bytes.Index(p[:min(len(p), maxHead)], headEnd); at >= 0 {
		head := p[:at+len(headEnd)]
		if frame := w.pack(head); frame != nil {
			frames = append(frames, frame)
			rest = p[len(head):]
		}
	}
	if len(rest) > 0 {
		frames = append(frames, frameHeader(kindPlain, len(rest)), rest)
	}
	sent, err := frames.WriteTo(to)
	if err != nil {
		// How much of p arrives is unknown. A request of which any byte was sent may run,
		// so 0 must not be returned for it.
		return int(min(sent, int64(len(p)))), err
	}
	return len(p), nil
}

// pack encodes the frame of a head, nil if the frame would not be shorter than the head.
func (w *packer) pack(head []byte) []byte {
	var deflated bytes.Buffer
	// Writes to a bytes.Buffer do not fail.
	_ = kflate.StatelessDeflate(&deflated, head, true, dictionary(w.last))
	if deflated.Len() >= len(head) || deflated.Len() > maxHeadFrame {
		return nil
	}
	w.last = append(w.last[:0], head...)
	return append(frameHeader(kindHead, deflated.Len()), deflated.Bytes()...)
}

func frameHeader(kind byte, length int) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(length))
}

// unpacker decodes frames.
type unpacker struct {
	from *bufio.Reader
	// plain is the number of bytes left in a plain frame.
	plain uint64
	// head is the unread rest of a decoded head, last the whole of it.
	head, last []byte
}

// frameBuffer is the read buffer's size, enough for a typical head; bodies bypass it.
const frameBuffer = 512

func newUnpacker(from io.Reader) *unpacker {
	return &unpacker{from: bufio.NewReaderSize(from, frameBuffer)}
}

// buffered returns the number of received bytes that were not read yet.
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
		err = unexpectedEOF(err)
	}
	return n, err
}

// next reads the header of a frame, and all of a head. It returns io.EOF only if the
// connection ends between two frames.
func (r *unpacker) next() error {
	kind, err := r.from.ReadByte()
	if err != nil {
		return err
	}
	length, err := binary.ReadUvarint(r.from)
	if err != nil {
		return unexpectedEOF(err)
	}
	switch {
	case kind == kindPlain:
		r.plain = length
		return nil
	case kind == kindHead && length <= maxHeadFrame+maxExpansion:
		return r.unpack(length)
	}
	return &FrameError{Kind: kind, Length: length, Reason: errInvalidFrame}
}

var errInvalidFrame = errors.New("unknown kind or head too large")

// unexpectedEOF replaces io.EOF within a frame: it must not look like the end of a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

func (r *unpacker) unpack(length uint64) error {
	deflated := make([]byte, length)
	if _, err := io.ReadFull(r.from, deflated); err != nil {
		return unexpectedEOF(err)
	}
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(deflated), dictionary(r.last)); err != nil {
		return &FrameError{Kind: kindHead, Length: length, Reason: err}
	}
	head, err := io.ReadAll(io.LimitReader(inflater, maxHead+1))
	if err == nil && len(head) > maxHead {
		err = errInvalidFrame
	}
	if err != nil {
		return &FrameError{Kind: kindHead, Length: length, Reason: err}
	}
	r.head, r.last = head, head
	return nil
}
