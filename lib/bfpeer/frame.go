package bfpeer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/zstd"
	"golang.org/x/exp/jsonrpc2"
)

// framer puts JSON-RPC messages on a stream as a length and a zstd frame.
//
// The library's own framings spend a header line and plain JSON on each
// message; docs/design/wire.md has the figures.
type framer struct {
	traffic *Traffic
	// purposes maps methods to what they are counted as.
	purposes map[string]Purpose
	// calls remembers the purpose of each outgoing call until its answer.
	calls *sync.Map
}

const (
	// maxMessage bounds what a message may unpack to, in bytes. A node has 128 MB
	// in all; docs/design/wire.md has the size of the largest snapshot.
	maxMessage = 16 << 20
	// firstRead is how much is allocated on the word of a length alone.
	firstRead = 64 << 10
	// compressAbove is the message size in bytes from which compression pays.
	compressAbove = 128
	plainMark     = 0
	packedMark    = 1
)

var (
	packer, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	unpacker, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessage))
)

// FrameError reports bytes on a connection that are not a message.
type FrameError struct{ Reason string }

// Error gives the reason.
func (e *FrameError) Error() string { return "unreadable frame: " + e.Reason }

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

// Reader reads messages from one end of a connection.
func (f *framer) Reader(r io.Reader) jsonrpc2.Reader {
	return &frameReader{framer: f, in: bufio.NewReader(r)}
}

// Writer writes messages to one end of a connection.
func (f *framer) Writer(w io.Writer) jsonrpc2.Writer { return &frameWriter{framer: f, out: w} }

type frameReader struct {
	framer *framer
	in     *bufio.Reader
}

// Read reads one message.
func (r *frameReader) Read(ctx context.Context) (jsonrpc2.Message, int64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return nil, 0, err
	}
	if size < 1 || size > maxMessage {
		return nil, 0, &FrameError{Reason: fmt.Sprintf("length %d", size)}
	}
	data, err := readBody(r.in, int64(size))
	if err != nil {
		return nil, 0, err
	}
	total := int64(size) + int64(binary.PutUvarint(make([]byte, binary.MaxVarintLen64), size))
	message, err := decodeFrame(data)
	if err != nil {
		return nil, total, err
	}
	r.framer.traffic.addReceived(r.framer.purposeOf(message, false), int(total))
	return message, total, nil
}

// readBody grows with what has come: on the word of a length alone a few
// connections of a stranger could make the node allocate all of its memory.
func readBody(in io.Reader, size int64) ([]byte, error) {
	body := bytes.NewBuffer(make([]byte, 0, min(size, firstRead)))
	n, err := io.CopyN(body, in, size)
	if n < size && errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return body.Bytes(), err
}

func decodeFrame(data []byte) (jsonrpc2.Message, error) {
	mark, body := data[0], data[1:]
	switch mark {
	case plainMark:
	case packedMark:
		var err error
		if body, err = unpacker.DecodeAll(body, nil); err != nil {
			return nil, &FrameError{Reason: err.Error()}
		}
	default:
		return nil, &FrameError{Reason: fmt.Sprintf("mark %d", mark)}
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
	frame := encodeFrame(data)
	// The purpose of a call is noted before its bytes leave: an answer that came
	// first would find none, be counted as another's, and leave the note for good.
	purpose := w.framer.purposeOf(message, true)
	n, err := w.out.Write(frame)
	w.framer.traffic.addSent(purpose, n)
	return int64(n), err
}

// encodeFrame packs what gets smaller by it; a snapshot is packed already.
func encodeFrame(data []byte) []byte {
	body := append([]byte{plainMark}, data...)
	if len(data) >= compressAbove {
		if packed := packer.EncodeAll(data, []byte{packedMark}); len(packed) < len(body) {
			body = packed
		}
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(body)+binary.MaxVarintLen64), uint64(len(body)))
	return append(frame, body...)
}
