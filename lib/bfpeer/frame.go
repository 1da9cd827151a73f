package bfpeer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/zstd"
	"golang.org/x/exp/jsonrpc2"

	"bilberryflow.org/lib/bfresource"
)

// framer frames JSON-RPC messages as a varint length, a mark byte, and the plain or
// zstd-compressed message. jsonrpc2's own framers add header lines and don't compress.
type framer struct {
	traffic *Traffic
	// purposes maps methods to the purposes that their messages are counted as.
	purposes map[string]Purpose
	// calls holds the purpose of each call until its answer.
	calls *sync.Map
}

const (
	// maxMessage bounds the decompressed size of a message in bytes. It fits the largest
	// snapshot and a node's memory of 128 MB.
	maxMessage = 16 << 20
	// compressAbove is the message size in bytes from which compression reduces the size.
	compressAbove  = 128
	plainMark      = 0
	compressedMark = 1
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessage))
)

// FrameError reports a malformed message on a connection.
type FrameError struct{ Reason string }

// Error includes the reason.
func (e *FrameError) Error() string { return "malformed frame: " + e.Reason }

// purposeOf returns the purpose of a message. A response has the purpose of its call.
func (f *framer) purposeOf(message jsonrpc2.Message, outgoing bool) Purpose {
	switch m := message.(type) {
	case *jsonrpc2.Request:
		purpose := f.purposes[m.Method]
		if m.IsCall() {
			f.calls.Store(callKey{m.ID, outgoing}, purpose)
		}
		return purpose
	case *jsonrpc2.Response:
		if purpose, found := f.calls.LoadAndDelete(callKey{m.ID, !outgoing}); found {
			return purpose.(Purpose)
		}
	}
	return Operators
}

type callKey struct {
	id       jsonrpc2.ID
	outgoing bool
}

// Reader reads messages from a connection.
func (f *framer) Reader(r io.Reader) jsonrpc2.Reader {
	reader := &frameReader{framer: f, in: bufio.NewReader(r)}
	if s, ok := r.(*stream); ok {
		reader.held, reader.evict = s.held(), func() { s.Conn.Close() }
	}
	return reader
}

// Writer writes messages to a connection.
func (f *framer) Writer(w io.Writer) jsonrpc2.Writer { return &frameWriter{framer: f, out: w} }

type frameReader struct {
	framer *framer
	in     *bufio.Reader
	// held is what the process holds for the connection, nil for one that it has opened. evict closes it.
	held  *bfresource.Conn
	evict func()
	// message is what the process holds for the last message.
	message *bfresource.Request
}

// Read reads one message. What it takes is charged to the connection until the next Read.
func (r *frameReader) Read(ctx context.Context) (jsonrpc2.Message, int64, error) {
	r.message.End()
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	if _, err := r.in.Peek(1); err != nil {
		return nil, 0, err
	}
	var err error
	if r.message, err = r.held.Begin(r.evict); err != nil {
		return nil, 0, r.failed(err)
	}
	message, total, err := r.read()
	if err != nil {
		return nil, total, r.failed(err)
	}
	r.message.Arrived()
	r.framer.traffic.addReceived(r.framer.purposeOf(message, false), int(total))
	return message, total, nil
}

// failed releases a message that can't be read; nothing more is read from the connection.
func (r *frameReader) failed(err error) error {
	r.message.End()
	return err
}

func (r *frameReader) read() (message jsonrpc2.Message, total int64, err error) {
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return nil, 0, err
	}
	if size < 1 || size > maxMessage {
		return nil, 0, &FrameError{Reason: fmt.Sprintf("length %d out of range", size)}
	}
	data, err := readBody(r.in, int64(size), r.message)
	if err != nil {
		return nil, 0, err
	}
	total = int64(size) + int64(binary.PutUvarint(make([]byte, binary.MaxVarintLen64), size))
	if err := r.message.Charge(decodedBytes(data)); err != nil {
		return nil, total, err
	}
	message, err = decodeFrame(data)
	return message, total, err
}

// readBody reads size bytes into a buffer that grows with the received bytes. Allocating by
// the stated length alone would let a few connections exhaust the node's memory.
func readBody(in io.Reader, size int64, message *bfresource.Request) ([]byte, error) {
	body, err := bfresource.ReadAll(io.LimitReader(pacedReader{in, message}, size), size, message)
	if err == nil && int64(len(body)) < size {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// pacedReader marks when a message waits for its bytes.
type pacedReader struct {
	from    io.Reader
	message *bfresource.Request
}

// Read reads bytes of the message.
func (r pacedReader) Read(p []byte) (int, error) {
	r.message.BeginRead()
	n, err := r.from.Read(p)
	r.message.EndRead(n)
	return n, err
}

// decodedBytes returns what decoding a frame takes: the decompressed message and its parsed form.
func decodedBytes(data []byte) int64 {
	size := int64(len(data))
	if data[0] == compressedMark {
		size = decompressedBytes(data[1:])
	}
	return 2 * size
}

// maxBlock is the size in bytes of the largest block of a compressed message.
const maxBlock = 128 << 10

// decompressedBytes returns a bound of the size of a compressed message. A short one doesn't state its size, but
// has a single block, which is no longer than its window.
func decompressedBytes(data []byte) int64 {
	var header zstd.Header
	switch err := header.Decode(data); {
	case err == nil && header.HasFCS:
		return int64(min(header.FrameContentSize, maxMessage))
	case err == nil && header.FirstBlock.OK && header.FirstBlock.Last:
		return int64(min(header.WindowSize, maxBlock))
	}
	return maxMessage
}

func decodeFrame(data []byte) (jsonrpc2.Message, error) {
	mark, body := data[0], data[1:]
	switch mark {
	case plainMark:
	case compressedMark:
		var err error
		if body, err = decoder.DecodeAll(body, nil); err != nil {
			return nil, &FrameError{Reason: err.Error()}
		}
	default:
		return nil, &FrameError{Reason: fmt.Sprintf("unknown mark %d", mark)}
	}
	return jsonrpc2.DecodeMessage(body)
}

type frameWriter struct {
	framer *framer
	out    io.Writer
}

// Write writes one message.
func (w *frameWriter) Write(ctx context.Context, message jsonrpc2.Message) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	data, err := jsonrpc2.EncodeMessage(message)
	if err != nil {
		return 0, err
	}
	if len(data) >= maxMessage {
		// The other end would close the connection.
		return 0, &FrameError{Reason: fmt.Sprintf("message of %d bytes is too long", len(data))}
	}
	frame := encodeFrame(data)
	// The purpose of a call is stored before it is written: otherwise an answer that
	// arrives first would be counted wrongly, and the entry would never be removed.
	purpose := w.framer.purposeOf(message, true)
	n, err := w.out.Write(frame)
	w.framer.traffic.addSent(purpose, n)
	return int64(n), err
}

// encodeFrame compresses the message if that makes it smaller. A snapshot is already
// compressed.
func encodeFrame(data []byte) []byte {
	body := append([]byte{plainMark}, data...)
	if len(data) >= compressAbove {
		if compressed := encoder.EncodeAll(data, []byte{compressedMark}); len(compressed) < len(body) {
			body = compressed
		}
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(body)+binary.MaxVarintLen64), uint64(len(body)))
	return append(frame, body...)
}
